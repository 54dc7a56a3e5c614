// Tests the decisions of acceptors, alone and two at a time.

#include <gtest/gtest.h>

#include "sardinestream/catalogue/acceptor_process.h"
#include "sardinestream/testing/platform_standin.h"

namespace sardinestream::catalogue {
namespace {

using sardinestream::testing::platform_standin;

class acceptor_test : public ::testing::Test {
protected:
    std::unique_ptr<platform_standin> standin = platform_standin::create({"127.0.0.1", 0}).value();
};

TEST_F(acceptor_test, the_first_index_has_number_one_though_there_is_no_entry)
{
    process one("a", this->standin->local());
    ASSERT_TRUE(one.decide().ok());
    EXPECT_EQ(one.state.number(), 1U);
}

TEST_F(acceptor_test, an_accepted_entry_is_in_force_and_its_status_says_so)
{
    process one("a", this->standin->local());
    this->standin->put_entry("till", make_entry("key", 7));
    ASSERT_TRUE(one.decide().ok());
    const catalogue_entry* entry = one.state.current()->find(sha256_hex("key"), "assistant");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->limits.max_in_flight, 7U);
    const std::string status = this->standin->store().get(entry_kind, "till")->status;
    EXPECT_NE(status.find(R"("state":"accepted")"), std::string::npos) << status;
    EXPECT_NE(status.find(R"("number":1)"), std::string::npos) << status;
}

TEST_F(acceptor_test, an_index_write_whose_answer_was_lost_is_recognized)
{
    process one("a", this->standin->local());
    ASSERT_TRUE(one.decide().ok());
    this->standin->put_entry("till", make_entry("key"));
    this->standin->lose_answers("PUT", index_kind, 1);
    ASSERT_TRUE(one.decide().ok());
    EXPECT_EQ(one.state.number(), 2U);
}

TEST_F(acceptor_test, an_acceptor_with_an_old_view_does_not_bring_back_what_was_removed)
{
    process slow("slow", this->standin->local());
    process quick("quick", this->standin->local());
    this->standin->put_entry("till", make_entry("key"));
    ASSERT_TRUE(quick.decide().ok());
    // After the slow acceptor has listed the entries and before it reads the index.
    slow.store.interrupt_before(1, [&] {
        ASSERT_TRUE(this->standin->store().remove(entry_kind, "till").ok());
        ASSERT_TRUE(quick.decide().ok());
    });
    EXPECT_EQ(slow.decide().code(), absl::StatusCode::kFailedPrecondition);
    ASSERT_TRUE(slow.read().ok());
    EXPECT_TRUE(slow.state.current()->entries().empty());
    EXPECT_EQ(slow.state.number(), 2U);
}

TEST_F(acceptor_test, of_two_acceptors_in_a_race_one_decides_again)
{
    process first("first", this->standin->local());
    process second("second", this->standin->local());
    ASSERT_TRUE(first.decide().ok());
    this->standin->put_entry("till", make_entry("key"));
    // After the first acceptor has written its shard and before it writes the index.
    first.store.interrupt_before(3, [&] { ASSERT_TRUE(second.decide().ok()); });
    EXPECT_EQ(first.decide().code(), absl::StatusCode::kAborted);
    ASSERT_TRUE(first.decide().ok());
    EXPECT_EQ(first.state.number(), 2U);
    EXPECT_EQ(this->standin->store().list(shard_kind).objects.size(), 1U);
}

TEST_F(acceptor_test, running_acceptors_put_each_edit_in_force_without_a_lease)
{
    process first("first", this->standin->local());
    process second("second", this->standin->local());
    const absl::Duration longest_watch = absl::Seconds(1);
    first.options.longest_watch = second.options.longest_watch = longest_watch;
    {
        auto sync_first = store_sync::create({.watch = true, .longest_watch = longest_watch},
                                             first.store, first.state);
        auto sync_second = store_sync::create({.watch = true, .longest_watch = longest_watch},
                                              second.store, second.state);
        auto one = acceptor::create(first.options, first.store, first.state);
        auto two = acceptor::create(second.options, second.store, second.state);
        first.state.on_change([&](const auto&) { one->wake(); });
        second.state.on_change([&](const auto&) { two->wake(); });
        for (int round = 0; round < 5; ++round) {
            this->standin->put_entry("till", make_entry("key", 10 + round));
            const std::uint64_t before = first.state.number();
            ASSERT_TRUE(first.state.wait_until_number(before + 1, absl::Now() + absl::Seconds(60)));
        }
        const std::uint64_t number = first.state.number();
        ASSERT_TRUE(second.state.wait_until_number(number, absl::Now() + absl::Seconds(60)));
        first.store.cancel_watches();
        second.store.cancel_watches();
    }
    EXPECT_EQ(second.state.current()->entries()[0].limits.max_in_flight, 14U);
}

} // namespace
} // namespace sardinestream::catalogue
