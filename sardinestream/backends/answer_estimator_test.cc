// Tests what is learned of the sizes of answers, also from callers who state nonsense.

#include <cmath>
#include <limits>
#include <random>

#include <gtest/gtest.h>

#include "sardinestream/backends/answer_estimator.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

constexpr answer_origin growers = {"service", "route", "growers"};
constexpr answer_origin packers = {"service", "route", "packers"};
constexpr double usual_tokens = 140;
constexpr int many = 200;

TEST(answer_estimator, starts_with_the_usual_size)
{
    const answer_estimator sizes;
    EXPECT_NEAR(sizes.expect(growers, {}, usual_tokens), usual_tokens, 1);
    EXPECT_GT(sizes.expect(growers, {}, 0), 0);
    // A hint counts once it is known how good those of the team are.
    EXPECT_NEAR(sizes.expect(growers, {1, 1e9}, usual_tokens), usual_tokens, 1);
}

TEST(answer_estimator, learns_by_what_factor_hints_are_off)
{
    answer_estimator sizes;
    std::mt19937 random(1);
    std::lognormal_distribution<double> lengths(5, 0.8);
    for (int i = 0; i < many; ++i) {
        const double length = lengths(random);
        sizes.observe(growers, {0, length * 10}, length);
    }
    for (const double length : {50.0, 140.0, 400.0}) {
        EXPECT_NEAR(sizes.expect(growers, {0, length * 10}, usual_tokens) / length, 1, 0.3);
    }
}

TEST(answer_estimator, callers_who_always_state_the_same_get_the_mean)
{
    for (const stated_size stated : {stated_size{1, 1}, stated_size{1e6, 1e6}}) {
        answer_estimator sizes;
        std::mt19937 random(1);
        std::lognormal_distribution<double> lengths(5, 0.5);
        for (int i = 0; i < many; ++i) {
            sizes.observe(growers, stated, lengths(random));
        }
        EXPECT_NEAR(sizes.expect(growers, stated, usual_tokens), 160, 40);
    }
}

// Sizes relative to one at the median, for hints that vary as much as the sizes do.
TEST(answer_estimator, useless_hints_count_little)
{
    answer_estimator sizes;
    std::mt19937 random(1);
    std::lognormal_distribution<double> lengths(5, 0.3);
    std::lognormal_distribution<double> noise(5, 2);
    for (int i = 0; i < many; ++i) {
        sizes.observe(growers, {0, noise(random)}, lengths(random));
    }
    const double small = sizes.expect(growers, {0, 10}, usual_tokens);
    const double large = sizes.expect(growers, {0, 1000}, usual_tokens);
    EXPECT_LT(large / small, 1.5);
}

TEST(answer_estimator, what_a_team_states_moves_no_other_team)
{
    answer_estimator truthful;
    answer_estimator lied_to;
    constexpr double inf = std::numeric_limits<double>::infinity();
    constexpr double nan = std::numeric_limits<double>::quiet_NaN();
    int i = 0;
    for (const double nonsense : {1e300, inf, -inf, nan, -1.0, 0.0, 1e-300}) {
        for (const double seen : {100.0, 200.0}) {
            truthful.observe(growers, {seen, seen}, seen);
            lied_to.observe(growers, {nonsense, nonsense}, seen);
        }
        ++i;
        EXPECT_EQ(truthful.expect(packers, {300, 150}, usual_tokens),
                  lied_to.expect(packers, {300, 150}, usual_tokens))
            << i;
        const double own = lied_to.expect(growers, {nonsense, nonsense}, usual_tokens);
        EXPECT_TRUE(std::isfinite(own));
        EXPECT_GE(own, 1);
        EXPECT_LE(own, 1e6);
    }
}

TEST(answer_estimator, ignores_sizes_that_are_none)
{
    answer_estimator sizes;
    sizes.observe(growers, {}, 0);
    sizes.observe(growers, {}, -5);
    sizes.observe(growers, {}, std::numeric_limits<double>::quiet_NaN());
    EXPECT_EQ(sizes.size(), 0U);
}

TEST(answer_estimator, keeps_a_bounded_number_of_teams)
{
    answer_estimator sizes;
    for (std::size_t i = 0; i < answer_estimator::max_series * 2; ++i) {
        const std::string team = absl::StrCat("t", i);
        sizes.observe({"service", "route", team}, {}, 100);
        EXPECT_LE(sizes.size(), answer_estimator::max_series);
    }
}

} // namespace
} // namespace sardinestream
