#include <gtest/gtest.h>

#include "sardinestream/store/instance_list.h"
#include "sardinestream/testing/platform_standin.h"

namespace sardinestream::platform {
namespace {

using sardinestream::testing::outage_mode;
using sardinestream::testing::platform_standin;

constexpr char agent_spec[] = R"({"role":"agent","address":"10.0.0.1:7000","data_centre":"a"})";
constexpr char leaving_spec[] = R"({"role":"agent","address":"10.0.0.1:7000","leaving":true})";

bool wait_until(const std::function<bool()>& condition)
{
    const absl::Time deadline = absl::Now() + absl::Seconds(60);
    while (!condition() && absl::Now() < deadline) {
        absl::SleepFor(absl::Milliseconds(5));
    }
    return condition();
}

class instance_list_test : public ::testing::Test {
protected:
    void TearDown() override { this->store->cancel_watches(); }

    std::unique_ptr<platform_standin> standin = platform_standin::create({"127.0.0.1", 0}).value();
    std::unique_ptr<object_store> store =
        object_store::create({.servers = {this->standin->local()}, .timeout = absl::Seconds(1)})
            .value();
    std::unique_ptr<instance_list> list = instance_list::create(
        {.longest_watch = absl::Seconds(1), .on_change = nullptr}, *this->store);
};

TEST_F(instance_list_test, follows_added_changed_and_removed_instances)
{
    this->standin->change_instance("a1", agent_spec);
    ASSERT_TRUE(wait_until([&] { return this->list->current().size() == 1; }));
    const instance listed = this->list->current()[0];
    EXPECT_EQ(listed.id, "a1");
    EXPECT_EQ(listed.links.to_string(), "10.0.0.1:7000");
    EXPECT_FALSE(listed.leaving);
    this->standin->change_instance("a1", leaving_spec);
    EXPECT_TRUE(wait_until([&] { return this->list->current()[0].leaving; }));
    this->standin->change_instance("a1", "");
    EXPECT_TRUE(wait_until([&] { return this->list->current().empty(); }));
}

TEST_F(instance_list_test, an_outage_leaves_the_list_unchanged)
{
    this->standin->change_instance("a1", agent_spec);
    ASSERT_TRUE(wait_until([&] { return this->list->current().size() == 1; }));
    this->standin->set_outage(outage_mode::drop);
    const std::uint64_t before = this->standin->call_counts()["GET instances"];
    ASSERT_TRUE(
        wait_until([&] { return this->standin->call_counts()["GET instances"] > before + 1; }));
    EXPECT_EQ(this->list->current().size(), 1U);
    this->standin->change_instance("a2", agent_spec);
    this->standin->set_outage(outage_mode::none);
    EXPECT_TRUE(wait_until([&] { return this->list->current().size() == 2; }));
}

TEST_F(instance_list_test, an_invalid_instance_does_not_affect_others)
{
    this->standin->change_instance("bad", R"({"role":"agent","address":"not an address"})");
    this->standin->change_instance("good", agent_spec);
    ASSERT_TRUE(wait_until([&] { return this->list->current().size() == 1; }));
    EXPECT_EQ(this->list->current()[0].id, "good");
}

TEST(with_seeds_test, adds_only_seeds_that_are_not_listed)
{
    instance listed;
    listed.id = "a1";
    listed.links = {"10.0.0.1", 7000};
    const std::vector<instance> all =
        with_seeds({listed}, {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}}, instance_role::agent);
    ASSERT_EQ(all.size(), 2U);
    EXPECT_EQ(all[1].links.to_string(), "10.0.0.2:7000");
    EXPECT_TRUE(all[1].id.empty());
}

} // namespace
} // namespace sardinestream::platform
