#include <gtest/gtest.h>

#include "sardinestream/forwarding/crash_guard.h"
#include "sardinestream/peers/suspect_report.h"
#include "sardinestream/programs/suspects_copy.h"

namespace sardinestream {
namespace {

constexpr std::uint32_t agent_ip = 1;
constexpr std::uint32_t entry_ip = 100;

class suspects_copy_test : public testing::Test {
protected:
    suspects_copy_test()
    {
        const suspects::request_traits lost = {suspects::prompt_part_trait("assistant", "bad")};
        this->entry->record_crash(suspects::crash_id(1, 1, 0), {&lost, 1});
    }

    void tell_copy()
    {
        for (const std::string& report : this->entry->split_report(0, max_suspect_report_bytes)) {
            this->copy.merge(*make_suspect_report(report).body.AsSuspectReport());
        }
    }

    [[nodiscard]] std::vector<gossip::MessageT> answer(std::uint32_t entry, std::uint64_t digest)
    {
        gossip::EntryHelloT hello;
        hello.ip = entry;
        hello.suspects_digest = digest;
        return this->copy.answer(hello, this->entries, this->now);
    }

    std::unique_ptr<suspects::suspect_registry> entry =
        suspects::suspect_registry::create(shared_server_suspects());
    suspects_copy copy{agent_ip};
    std::vector<std::uint32_t> entries = {entry_ip};
    steady_time now = steady_clock::now();
};

TEST_F(suspects_copy_test, an_entry_that_has_forgotten_all_receives_it_again)
{
    this->tell_copy();
    EXPECT_EQ(this->copy.digest(), this->entry->digest());
    const std::unique_ptr<suspects::suspect_registry> restarted =
        suspects::suspect_registry::create(shared_server_suspects());
    for (const gossip::MessageT& message : this->answer(entry_ip, restarted->digest())) {
        ASSERT_TRUE(restarted->merge(report_in(*message.body.AsSuspectReport())).ok());
    }
    EXPECT_EQ(restarted->digest(), this->entry->digest());
}

TEST_F(suspects_copy_test, an_entry_that_knows_of_crashes_gets_no_report)
{
    this->tell_copy();
    EXPECT_TRUE(this->answer(entry_ip, this->entry->digest() + 1).empty());
}

TEST_F(suspects_copy_test, an_empty_copy_says_nothing)
{
    EXPECT_TRUE(this->answer(entry_ip, 0).empty());
}

TEST_F(suspects_copy_test, an_entry_is_not_informed_again_at_once)
{
    this->tell_copy();
    EXPECT_FALSE(this->answer(entry_ip, 0).empty());
    EXPECT_TRUE(this->answer(entry_ip, 0).empty());
    this->now += min_suspects_interval;
    EXPECT_FALSE(this->answer(entry_ip, 0).empty());
}

TEST_F(suspects_copy_test, of_many_entries_an_agent_tells_only_a_few)
{
    this->tell_copy();
    constexpr std::uint32_t many = 20;
    for (std::uint32_t i = 1; i < many; ++i) {
        this->entries.push_back(entry_ip + i);
    }
    int answered = 0;
    for (const std::uint32_t one : this->entries) {
        answered += this->answer(one, 0).empty() ? 0 : 1;
    }
    EXPECT_EQ(answered, 2);
}

TEST_F(suspects_copy_test, a_malformed_message_changes_nothing)
{
    this->tell_copy();
    this->copy.merge(*make_suspect_report("no report").body.AsSuspectReport());
    EXPECT_EQ(this->copy.digest(), this->entry->digest());
}

} // namespace
} // namespace sardinestream
