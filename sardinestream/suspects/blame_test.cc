#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/suspects/blame.h"
#include "sardinestream/suspects/suspect_registry.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::suspects {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

constexpr int many_crashes = 5;
constexpr std::size_t max_evidence = 10;

digest128 part(const std::string& name)
{
    return prompt_part_trait("assistant", name);
}

request_traits request(const std::vector<std::string>& parts)
{
    request_traits traits;
    std::transform(parts.begin(), parts.end(), std::back_inserter(traits), part);
    return traits;
}

absl::Time at_second(double second)
{
    return absl::FromUnixSeconds(1000) + absl::Seconds(second);
}

blame_options shared_server_options()
{
    return {.unproven = {.crashes = 3, .moments = 2, .crashes_at_once = 5},
            .proven = {.crashes = 5, .moments = 2},
            .moment = absl::Milliseconds(500)};
}

// Returns the combinations that are blamed, without their times. `proven` are the traits with which
// requests have completed lately.
std::vector<request_traits> blamed_for(const std::vector<crash_evidence>& crashes,
                                       const request_traits& proven = {})
{
    std::vector<request_traits> combinations;
    for (blamed_traits& blamed : find_blame(
             crashes,
             [&](const digest128& trait) {
                 return std::find(proven.begin(), proven.end(), trait) != proven.end();
             },
             shared_server_options())) {
        combinations.push_back(std::move(blamed.traits));
    }
    return combinations;
}

TEST(blame, blames_nothing_for_fewer_crashes_than_needed)
{
    EXPECT_THAT(blamed_for({}), IsEmpty());
    EXPECT_THAT(
        blamed_for({{at_second(1), {request({"bad"})}}, {at_second(2), {request({"bad"})}}}),
        IsEmpty());
}

// Crashes under requests with the part "bad", each with a sound one that shares the first part.
std::vector<crash_evidence> crashes_with_bystanders()
{
    std::vector<crash_evidence> crashes;
    crashes.reserve(max_evidence);
    for (int i = 0; i < many_crashes; ++i) {
        crashes.push_back({at_second(i),
                           {request({"first", "bad", absl::StrCat("own", i)}),
                            request({"first", absl::StrCat("bystander", i)})}});
    }
    return crashes;
}

TEST(blame, blames_the_part_that_all_crashes_have_in_common)
{
    const std::vector<crash_evidence> crashes = crashes_with_bystanders();
    EXPECT_THAT(blamed_for(crashes, request({"first"})), ElementsAre(request({"bad"})));
}

// Servers that crash within a quarter of a second under requests with the part "common".
std::vector<crash_evidence> crashes_at_one_moment(int count)
{
    std::vector<crash_evidence> crashes;
    crashes.reserve(max_evidence);
    for (int i = 0; i < count; ++i) {
        crashes.push_back({at_second(1 + 0.25 * i / count), {request({"common"})}});
    }
    return crashes;
}

TEST(blame, a_few_servers_that_crash_at_one_moment_have_another_cause)
{
    std::vector<crash_evidence> crashes = crashes_at_one_moment(many_crashes - 1);
    EXPECT_THAT(blamed_for(crashes), IsEmpty());
    crashes.push_back({at_second(3), {request({"common"})}});
    EXPECT_THAT(blamed_for(crashes), ElementsAre(request({"common"})));
}

TEST(blame, many_servers_that_crash_at_one_moment_are_enough_for_a_part_that_never_completed)
{
    EXPECT_THAT(blamed_for(crashes_at_one_moment(many_crashes)), ElementsAre(request({"common"})));
}

TEST(blame, servers_that_crash_at_one_moment_do_not_make_a_part_bad_that_has_completed)
{
    EXPECT_THAT(blamed_for(crashes_at_one_moment(10 * many_crashes), request({"common"})),
                IsEmpty());
}

TEST(blame, a_part_that_was_merely_beside_the_cause_in_every_crash_is_not_blamed)
{
    const std::vector<crash_evidence> crashes = crashes_with_bystanders();
    const std::vector<request_traits> blamed = blamed_for(crashes);
    ASSERT_EQ(blamed.size(), 1U);
    EXPECT_FALSE(has_all(request({"first", "sound"}), blamed[0]));
    EXPECT_TRUE(has_all(request({"first", "bad", "new"}), blamed[0]));
}

TEST(blame, parts_that_each_crash_combines_differently_are_blamed_as_in_the_last_one)
{
    const std::vector<crash_evidence> crashes = {
        {at_second(1), {request({"a", "b"}), request({"c", "d"})}},
        {at_second(2), {request({"a", "c"}), request({"b", "d"})}},
        {at_second(3), {request({"a", "d"}), request({"b", "c"})}}};
    const std::vector<request_traits> blamed = blamed_for(crashes);
    ASSERT_EQ(blamed.size(), 2U);
    const auto is_blamed = [&](const request_traits& asked) {
        return std::any_of(blamed.begin(), blamed.end(),
                           [&](const request_traits& one) { return has_all(asked, one); });
    };
    EXPECT_TRUE(is_blamed(request({"a", "d"})));
    EXPECT_TRUE(is_blamed(request({"b", "c"})));
    EXPECT_FALSE(is_blamed(request({"a"})));
}

TEST(blame, parts_that_always_come_together_are_blamed_together)
{
    std::vector<crash_evidence> crashes;
    crashes.reserve(max_evidence);
    for (int i = 0; i < many_crashes; ++i) {
        crashes.push_back({at_second(i), {request({"bad", "beside"})}});
    }
    const std::vector<request_traits> blamed = blamed_for(crashes);
    ASSERT_EQ(blamed.size(), 1U);
    EXPECT_TRUE(has_all(request({"first", "bad", "beside"}), blamed[0]));
    EXPECT_FALSE(has_all(request({"first", "beside"}), blamed[0]));
    EXPECT_FALSE(has_all(request({"first", "bad"}), blamed[0]));
}

TEST(blame, a_part_is_no_longer_blamed_once_the_true_one_has_crashed_without_it)
{
    std::vector<crash_evidence> crashes;
    crashes.reserve(max_evidence);
    for (int i = 0; i < many_crashes; ++i) {
        crashes.push_back({at_second(i), {request({"bad", "beside"})}});
    }
    crashes.push_back({at_second(many_crashes), {request({"bad"})}});
    EXPECT_THAT(blamed_for(crashes), ElementsAre(request({"bad"})));
}

TEST(blame, different_requests_lost_in_the_same_crashes_are_each_blamed)
{
    std::vector<crash_evidence> crashes;
    crashes.reserve(max_evidence);
    for (int i = 0; i < many_crashes; ++i) {
        crashes.push_back({at_second(i), {request({"one"}), request({"other"})}});
    }
    EXPECT_THAT(blamed_for(crashes),
                testing::UnorderedElementsAre(request({"one"}), request({"other"})));
}

TEST(blame, a_part_that_has_completed_lately_needs_more_evidence)
{
    std::vector<crash_evidence> crashes;
    crashes.reserve(max_evidence);
    for (int i = 1; i < many_crashes; ++i) {
        crashes.push_back({at_second(i), {request({"first"})}});
    }
    EXPECT_THAT(blamed_for(crashes, request({"first"})), IsEmpty());
    crashes.push_back({at_second(many_crashes), {request({"first"})}});
    EXPECT_THAT(blamed_for(crashes, request({"first"})), ElementsAre(request({"first"})));
}

TEST(blame, two_parts_that_crash_servers_are_both_blamed)
{
    std::vector<crash_evidence> crashes;
    crashes.reserve(max_evidence);
    for (int i = 0; i < 2 * many_crashes; ++i) {
        crashes.push_back({at_second(i), {request({"first", i % 2 == 0 ? "bad" : "worse"})}});
    }
    EXPECT_THAT(blamed_for(crashes, request({"first"})),
                testing::UnorderedElementsAre(request({"bad"}), request({"worse"})));
}

TEST(blame, a_refusal_is_longer_after_each_crash_that_follows_one)
{
    const refusal_options options = {
        .unproven = absl::Seconds(10), .proven = absl::Seconds(5), .longest = absl::Seconds(30)};
    blamed_traits blamed = {request({"bad"}), {at_second(0), at_second(1), at_second(4)}};
    EXPECT_EQ(refused_until(blamed, options), at_second(14));
    blamed.crashes.push_back(at_second(15));
    EXPECT_EQ(refused_until(blamed, options), at_second(35));
    blamed.crashes.push_back(at_second(36));
    EXPECT_EQ(refused_until(blamed, options), at_second(66));
    blamed.proven = true;
    blamed.crashes = {at_second(0), at_second(1), at_second(4)};
    EXPECT_EQ(refused_until(blamed, options), at_second(9));
}

// A registry of an entry, whose clock the test controls.
struct entry_registry {
    std::shared_ptr<absl::Time> now = std::make_shared<absl::Time>(absl::FromUnixSeconds(10'000));
    std::unique_ptr<suspect_registry> registry =
        suspect_registry::create({.suspicion_period = absl::Minutes(30),
                                  .refusal = {.unproven = absl::Minutes(2),
                                              .proven = absl::Seconds(30),
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
