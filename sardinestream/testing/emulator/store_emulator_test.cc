#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/platform/store_client.h"
#include "sardinestream/testing/emulator/store_emulator.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

class store_emulator_test : public ::testing::Test {
protected:
    const std::unique_ptr<store_emulator> store = *store_emulator::start({"127.0.0.1", 0});
    platform::store_client client{store->local()};
};

TEST_F(store_emulator_test, lists_what_was_put)
{
    this->store->put("servers", "i-1", {{"service", "till"}});
    const auto listed = this->client.list("servers", milliseconds(1000));
    ASSERT_TRUE(listed.ok()) << listed.status();
    ASSERT_EQ(listed->objects.size(), 1U);
    EXPECT_EQ(listed->objects[0].name, "i-1");
    EXPECT_EQ(listed->objects[0].specification, R"({"service":"till"})");
}

// Guards against a name that is not encoded in the call for the next page.
TEST_F(store_emulator_test, a_list_goes_on_after_any_name)
{
    constexpr int objects = 600;
    constexpr int last_ascii = 127;
    std::vector<std::string> infixes = {"\xc3\xa9", "\r\n", "%41", "%zz", "&watch=1"};
    for (int letter = 0; letter <= last_ascii; ++letter) {
        infixes.emplace_back(1, static_cast<char>(letter));
    }
    for (const std::string& infix : infixes) {
        std::set<std::string> put;
        for (int i = 0; i < objects; ++i) {
            put.insert(absl::StrCat("a", infix, absl::Dec(i, absl::kZeroPad4)));
        }
        for (const std::string& name : put) {
            this->store->put("servers", name, 1);
        }
        const auto listed = this->client.list("servers", milliseconds(1000));
        ASSERT_TRUE(listed.ok()) << absl::CHexEscape(infix) << listed.status();
        std::set<std::string> names;
        for (const platform::stored_object& object : listed->objects) {
            names.insert(object.name);
        }
        EXPECT_EQ(listed->objects.size(), put.size()) << absl::CHexEscape(infix);
        EXPECT_EQ(names, put) << absl::CHexEscape(infix);
        for (const std::string& name : put) {
            this->store->remove("servers", name);
        }
    }
}

TEST_F(store_emulator_test, a_watch_tells_changes_and_removals_in_order)
{
    const std::int64_t first = this->store->put("servers", "i-1", {{"slots", 1}});
    this->store->put("servers", "i-1", {{"slots", 2}});
    this->store->remove("servers", "i-1");
    const auto changes =
        this->client.watch("servers", {first, 1}, milliseconds(1000), milliseconds(1000));
    ASSERT_TRUE(changes.ok()) << changes.status();
    ASSERT_EQ(changes->changes.size(), 2U);
    EXPECT_FALSE(changes->changes[0].removed);
    EXPECT_TRUE(changes->changes[1].removed);
}

TEST_F(store_emulator_test, a_put_that_changes_nothing_is_no_change)
{
    const std::int64_t first = this->store->put("config", "main", {{"version", 1}});
    EXPECT_EQ(this->store->put("config", "main", {{"version", 1}}), first);
}

TEST_F(store_emulator_test, a_watch_from_a_dropped_history_must_list_again)
{
    const std::int64_t first = this->store->put("servers", "i-1", {{"slots", 1}});
    this->store->compact();
    EXPECT_TRUE(absl::IsOutOfRange(
        this->client.watch("servers", {first, 1}, milliseconds(10), milliseconds(1000)).status()));
}

TEST_F(store_emulator_test, a_restored_store_has_lost_what_came_after_its_copy)
{
    this->store->put("servers", "kept", {{"slots", 1}});
    this->store->take_copy();
    const std::int64_t lost = this->store->put("servers", "lost", {{"slots", 1}});
    this->store->restore_copy();
    EXPECT_TRUE(absl::IsOutOfRange(
        this->client.watch("servers", {lost, 1}, milliseconds(10), milliseconds(1000)).status()));
    EXPECT_EQ(this->store->put("servers", "next", {{"slots", 1}}), lost);
    const auto listed = this->client.list("servers", milliseconds(1000));
    ASSERT_TRUE(listed.ok()) << listed.status();
    ASSERT_EQ(listed->objects.size(), 2U);
    EXPECT_EQ(listed->objects[0].name, "kept");
    EXPECT_EQ(listed->objects[1].name, "next");
    EXPECT_EQ(listed->position, (store_position{lost, 2}));
}

TEST_F(store_emulator_test, each_trouble_fails_a_list)
{
    for (const store_trouble trouble : {store_trouble::busy, store_trouble::limited,
                                        store_trouble::reset, store_trouble::silent}) {
        this->store->set_trouble(trouble);
        EXPECT_FALSE(this->client.list("servers", milliseconds(100)).ok());
    }
    this->store->set_trouble(store_trouble::none);
    EXPECT_TRUE(this->client.list("servers", milliseconds(1000)).ok());
}

} // namespace
} // namespace sardinestream::testing
