// Tests that the registries of several entries refuse the same requests.

#include <gtest/gtest.h>

#include "sardinestream/suspects/blame_test_requests.h"
#include "sardinestream/suspects/suspect_registry.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::suspects {
namespace {

// A registry of an entry, whose clock the test controls.
struct entry_registry {
    std::shared_ptr<absl::Time> now = std::make_shared<absl::Time>(absl::FromUnixSeconds(10'000));
    std::unique_ptr<suspect_registry> registry =
        suspect_registry::create({.suspicion_period = absl::Minutes(30),
                                  .refusal = {.unproven = absl::Minutes(2),
                                              .proven = absl::Seconds(30),
                                              .undecided = absl::Seconds(3),
                                              .longest = absl::Minutes(10)},
                                  .trial_position = [this](const digest128&) { return position; },
                                  .max_crashes = 20,
                                  .blame = shared_server_options(),
                                  .now = [clock = now] { return *clock; }});
    int position = 0;

    void crash(std::uint64_t server, const std::vector<request_traits>& lost)
    {
        *this->now += absl::Seconds(1);
        this->registry->record_crash(crash_id(server, 1, 0), lost);
    }

    // Each crash ends a server of its own.
    void crash_until_blamed(const request_traits& lost)
    {
        for (std::uint64_t server = 0; server < many_crashes; ++server) {
            this->crash(server, {lost});
        }
    }

    // Requests with each of the parts are lost in every crash.
    void crash_until_undecided(const std::vector<std::string>& parts)
    {
        std::vector<request_traits> lost;
        lost.reserve(parts.size());
        for (const std::string& name : parts) {
            lost.push_back(request({name}));
        }
        for (std::uint64_t server = 0; server < many_crashes; ++server) {
            this->crash(server, lost);
        }
    }

    [[nodiscard]] bool refuses(const request_traits& asked) const
    {
        return this->registry->assess(asked).verdict == suspect_verdict::refuse;
    }
};

TEST(shared_suspects, crashes_seen_by_different_entries_add_up_at_each)
{
    std::array<entry_registry, 3> entries;
    entry_registry started_later;
    *started_later.now += absl::Minutes(7);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i].crash(i, {request({"first", "bad", absl::StrCat("own", i)})});
        *entries[i].now += absl::Seconds(entries.size() - i);
        entries[i].registry->record_completion(request({"first", "other"}));
    }
    for (entry_registry& from : entries) {
        for (entry_registry& to : entries) {
            ASSERT_TRUE(to.registry->merge(from.registry->report()).ok());
        }
    }
    EXPECT_TRUE(*started_later.registry->merge(entries[2].registry->report()));
    EXPECT_FALSE(started_later.refuses(request({"first", "other"})));
    EXPECT_TRUE(started_later.refuses(request({"first", "bad", "new"})));
    for (const entry_registry& entry : entries) {
        EXPECT_TRUE(entry.refuses(request({"first", "bad", "new"})));
        EXPECT_EQ(entry.registry->digest(), started_later.registry->digest());
    }
}

TEST(shared_suspects, one_crash_seen_by_several_entries_counts_once)
{
    entry_registry one;
    entry_registry other;
    for (int i = 0; i < many_crashes; ++i) {
        one.crash(1, {request({"bad", absl::StrCat("own", i)})});
        other.crash(1, {request({"bad", absl::StrCat("own", i + many_crashes)})});
        ASSERT_TRUE(one.registry->merge(other.registry->report()).ok());
    }
    EXPECT_EQ(one.registry->size(), 1U);
    EXPECT_FALSE(one.refuses(request({"bad"})));
}

TEST(shared_suspects, a_completion_at_one_entry_ends_the_blame_at_the_others)
{
    entry_registry one;
    entry_registry other;
    for (std::uint64_t server = 0; server < many_crashes; ++server) {
        one.crash(server, {request({"blamed"})});
    }
    ASSERT_TRUE(*other.registry->merge(one.registry->report()));
    ASSERT_TRUE(other.refuses(request({"blamed"})));
    ASSERT_TRUE(one.registry->record_completion(request({"blamed"})));
    ASSERT_TRUE(*other.registry->merge(one.registry->report()));
    EXPECT_FALSE(other.refuses(request({"blamed"})));
    EXPECT_EQ(one.registry->digest(), other.registry->digest());
}

TEST(shared_suspects, a_part_that_had_completed_before_an_outage_is_refused_for_a_short_time_only)
{
    entry_registry entry;
    entry.registry->record_completion(request({"first"}));
    for (std::uint64_t server = 0; server < max_evidence; ++server) {
        entry.crash(server, {request({"first"})});
    }
    EXPECT_TRUE(entry.refuses(request({"first"})));
    *entry.now += absl::Seconds(31);
    EXPECT_FALSE(entry.refuses(request({"first"})));
}

TEST(shared_suspects, one_request_at_a_time_tries_a_refused_part_again)
{
    entry_registry entry;
    entry.crash_until_blamed(request({"bad"}));
    *entry.now += absl::Minutes(2);
    const suspect_assessment trial = entry.registry->assess(request({"bad", "one"}));
    EXPECT_TRUE(trial.begins_trial);
    EXPECT_NE(trial.verdict, suspect_verdict::refuse);
    EXPECT_TRUE(entry.refuses(request({"bad", "other"})));
    const suspect_assessment again = entry.registry->assess(request({"bad", "one"}));
    EXPECT_FALSE(again.begins_trial);
    EXPECT_NE(again.verdict, suspect_verdict::refuse);
}

TEST(shared_suspects, a_part_that_still_crashes_its_server_is_refused_for_longer)
{
    entry_registry entry;
    entry.crash_until_blamed(request({"bad"}));
    *entry.now += absl::Minutes(2);
    ASSERT_FALSE(entry.refuses(request({"bad", "one"})));
    entry.crash(100, {request({"bad", "one"})});
    *entry.now += absl::Minutes(4) - absl::Seconds(1);
    EXPECT_TRUE(entry.refuses(request({"bad", "one"})));
    *entry.now += absl::Seconds(1);
    EXPECT_FALSE(entry.refuses(request({"bad", "one"})));
}

TEST(shared_suspects, a_part_that_crashes_servers_no_more_is_served_again)
{
    entry_registry entry;
    entry.crash_until_blamed(request({"bad"}));
    *entry.now += absl::Minutes(2);
    ASSERT_FALSE(entry.refuses(request({"bad", "one"})));
    entry.registry->record_completion(request({"bad", "one"}));
    EXPECT_FALSE(entry.refuses(request({"bad", "one"})));
    EXPECT_FALSE(entry.refuses(request({"bad", "other"})));
}

TEST(shared_suspects, a_trial_without_a_result_lets_another_request_try)
{
    entry_registry entry;
    entry.crash_until_blamed(request({"bad"}));
    *entry.now += absl::Minutes(2);
    ASSERT_FALSE(entry.refuses(request({"bad", "one"})));
    *entry.now += request_trials::trial_timeout;
    EXPECT_FALSE(entry.refuses(request({"bad", "other"})));
    EXPECT_TRUE(entry.refuses(request({"bad", "one"})));
}

TEST(shared_suspects, entries_do_not_try_a_part_all_at_once)
{
    entry_registry first;
    entry_registry second;
    second.position = 1;
    first.crash_until_blamed(request({"bad"}));
    second.crash_until_blamed(request({"bad"}));
    *first.now += absl::Minutes(2);
    *second.now += absl::Minutes(2);
    EXPECT_FALSE(first.refuses(request({"bad"})));
    EXPECT_TRUE(second.refuses(request({"bad"})));
    first.crash(100, {request({"bad"})});
    ASSERT_TRUE(second.registry->merge(first.registry->report()).ok());
    *second.now += absl::Seconds(3);
    EXPECT_TRUE(second.refuses(request({"bad"})));
}

// Guards against sound requests that are refused for minutes because requests like them were lost
// beside the cause in every crash.
TEST(shared_suspects, a_part_that_was_beside_the_cause_in_every_crash_is_soon_served_again)
{
    entry_registry entry;
    entry.crash_until_undecided({"bad", "sound"});
    EXPECT_TRUE(entry.refuses(request({"sound", "one"})));
    *entry.now += absl::Seconds(3);
    ASSERT_TRUE(entry.registry->assess(request({"sound", "one"})).begins_trial);
    entry.registry->record_completion(request({"sound", "one"}));
    EXPECT_FALSE(entry.refuses(request({"sound", "other"})));
    EXPECT_TRUE(entry.refuses(request({"bad"})));
    *entry.now += absl::Minutes(1);
    EXPECT_TRUE(entry.refuses(request({"bad"})));
}

TEST(shared_suspects, a_trial_of_the_cause_frees_what_was_beside_it)
{
    entry_registry entry;
    entry.crash_until_undecided({"bad", "sound", "also sound"});
    *entry.now += absl::Seconds(3);
    ASSERT_FALSE(entry.refuses(request({"bad", "one"})));
    EXPECT_TRUE(entry.refuses(request({"sound"})));
    entry.crash(100, {request({"bad", "one"})});
    EXPECT_FALSE(entry.refuses(request({"sound"})));
    EXPECT_FALSE(entry.refuses(request({"also sound"})));
    *entry.now += absl::Minutes(2) - absl::Seconds(1);
    EXPECT_TRUE(entry.refuses(request({"bad", "other"})));
}

TEST(shared_suspects, undecided_parts_are_tried_one_after_the_other_as_soon_as_one_has_completed)
{
    entry_registry entry;
    const std::vector<std::string> sound = {"a", "b", "c", "d"};
    entry.crash_until_undecided({"a", "b", "c", "d", "bad"});
    *entry.now += absl::Seconds(3);
    for (const std::string& name : sound) {
        ASSERT_FALSE(entry.refuses(request({name, "own"}))) << name;
        EXPECT_TRUE(entry.refuses(request({"bad"})));
        entry.registry->record_completion(request({name, "own"}));
    }
    *entry.now += absl::Minutes(1);
    EXPECT_TRUE(entry.refuses(request({"bad"})));
}

TEST(shared_suspects, an_entry_tries_undecided_parts_only_after_a_whole_trial_of_another_one)
{
    entry_registry second;
    second.position = 1;
    second.crash_until_undecided({"bad", "sound"});
    *second.now += absl::Seconds(3) + request_trials::trial_timeout - absl::Seconds(1);
    EXPECT_TRUE(second.refuses(request({"sound"})));
    *second.now += absl::Seconds(1);
    EXPECT_FALSE(second.refuses(request({"sound"})));
}

TEST(shared_suspects, entries_that_lost_more_requests_than_they_keep_come_to_know_the_same)
{
    entry_registry one;
    entry_registry other;
    constexpr int requests = 40;
    std::vector<request_traits> first_half;
    std::vector<request_traits> second_half;
    for (int i = 0; i < requests; ++i) {
        first_half.push_back(request({absl::StrCat("a", i)}));
        second_half.push_back(request({absl::StrCat("b", i)}));
    }
    one.crash(1, first_half);
    other.crash(1, second_half);
    for (const request_traits& sound : first_half) {
        one.registry->record_completion(sound);
    }
    for (int exchange = 0; exchange < 2; ++exchange) {
        ASSERT_TRUE(one.registry->merge(other.registry->report()).ok());
        ASSERT_TRUE(other.registry->merge(one.registry->report()).ok());
    }
    EXPECT_EQ(one.registry->digest(), other.registry->digest());
}

TEST(shared_suspects, reports_that_arrive_late_do_not_make_a_crash_more_recent)
{
    entry_registry one;
    entry_registry other;
    one.crash_until_blamed(request({"bad"}));
    const absl::Time last_crash = *one.now;
    for (int exchange = 0; exchange < many_crashes; ++exchange) {
        const std::string from_one = one.registry->report();
        *one.now += absl::Seconds(1);
        ASSERT_TRUE(other.registry->merge(from_one).ok());
        const std::string from_other = other.registry->report();
        *other.now += absl::Seconds(1);
        ASSERT_TRUE(one.registry->merge(from_other).ok());
    }
    *one.now = last_crash + absl::Minutes(2);
    EXPECT_FALSE(one.refuses(request({"bad"})));
}

TEST(shared_suspects, a_report_in_parts_says_the_same_as_a_whole_one)
{
    entry_registry entry;
    constexpr std::size_t part_bytes = 1000;
    for (std::uint64_t server = 0; server < max_evidence; ++server) {
        entry.crash(server, {request({"bad", absl::StrCat("own", server), "x", "y", "z"}),
                             request({"fine", absl::StrCat("beside", server), "x", "y", "z"})});
    }
    const std::vector<std::string> parts = entry.registry->split_report(0, part_bytes);
    EXPECT_GT(parts.size(), 1U);
    entry_registry other;
    for (const std::string& part : parts) {
        EXPECT_LE(part.size(), part_bytes);
        ASSERT_TRUE(other.registry->merge(part).ok());
    }
    EXPECT_EQ(entry.registry->digest(), other.registry->digest());
}

TEST(shared_suspects, memory_is_bounded_when_many_parts_crash_servers)
{
    entry_registry entry;
    std::uint64_t server = 0;
    for (int round = 0; round < many_crashes; ++round) {
        for (int i = 0; i < 100; ++i) {
            std::vector<request_traits> lost;
            lost.reserve(100);
            for (int k = 0; k < 100; ++k) {
                lost.push_back(request({absl::StrCat("bad", i), absl::StrCat("own", k)}));
            }
            entry.crash(++server, lost);
        }
    }
    EXPECT_EQ(entry.registry->size(), 20U);
    EXPECT_LT(entry.registry->report().size(), 100'000U);
}

TEST(shared_suspects, a_request_with_thousands_of_traits_is_recorded_in_part)
{
    entry_registry entry;
    std::vector<std::string> parts;
    parts.reserve(5000);
    for (int i = 0; i < 5000; ++i) {
        parts.push_back(absl::StrCat("p", i));
    }
    for (std::uint64_t server = 0; server < many_crashes; ++server) {
        entry.crash(server, {request(parts)});
    }
    EXPECT_LT(entry.registry->report().size(), 10'000U);
    EXPECT_TRUE(entry.refuses(request(parts)));
}

} // namespace
} // namespace sardinestream::suspects
