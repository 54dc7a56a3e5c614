// Tests which traits of requests are blamed for crashes of their servers.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/suspects/blame.h"
#include "sardinestream/suspects/blame_test_requests.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::suspects {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

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

// Guards against a sound part that is refused as long as the bad one beside which it was lost.
TEST(blame, combinations_that_explain_the_same_crashes_are_undecided_and_tried_as_one)
{
    std::vector<crash_evidence> crashes;
    crashes.reserve(2 * max_evidence);
    for (int i = 0; i < 2 * many_crashes; ++i) {
        crashes.push_back({at_second(i), {request({"bad"})}});
        if (i < many_crashes) {
            crashes.push_back({at_second(i), {request({"one"}), request({"other"})}});
        }
    }
    const std::vector<blamed_traits> blamed = find_blame(
        crashes, [](const digest128&) { return false; }, shared_server_options());
    ASSERT_EQ(blamed.size(), 3U);
    EXPECT_EQ(blamed[0].traits, request({"bad"}));
    EXPECT_FALSE(blamed[0].undecided);
    EXPECT_EQ(blamed[0].tried_as, blamed[0].traits);
    EXPECT_TRUE(blamed[1].undecided);
    EXPECT_TRUE(blamed[2].undecided);
    EXPECT_EQ(blamed[1].tried_as, blamed[2].tried_as);
    EXPECT_NE(blamed[1].tried_as, blamed[0].tried_as);
}

TEST(blame, an_undecided_refusal_ends_at_a_time_after_the_last_crash_that_no_crash_doubles)
{
    const refusal_options options = {.unproven = absl::Seconds(10),
                                     .proven = absl::Seconds(2),
                                     .undecided = absl::Seconds(3),
                                     .longest = absl::Seconds(30)};
    blamed_traits blamed = {request({"one"}), {at_second(0), at_second(20), at_second(40)}};
    EXPECT_EQ(refused_until(blamed, options), at_second(70));
    blamed.undecided = true;
    EXPECT_EQ(refused_until(blamed, options), at_second(43));
    blamed.crashes = {at_second(0)};
    blamed.proven = true;
    EXPECT_EQ(refused_until(blamed, options), at_second(2));
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

} // namespace
} // namespace sardinestream::suspects
