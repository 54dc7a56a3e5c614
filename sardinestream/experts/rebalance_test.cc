#include <iostream>

#include <gtest/gtest.h>

#include "sardinestream/experts/rebalance.h"
#include "sardinestream/testing/rank_group_load.h"

#include "absl/time/clock.h"

namespace sardinestream::experts {
namespace {

using ::sardinestream::testing::drifting_load;
using ::sardinestream::testing::expert_load_options;

group_load make_load(const expert_load_options& options, int ranks)
{
    drifting_load popularity(options);
    const std::span<const float> tokens = popularity.next_step();
    group_load load;
    load.map = make_uniform_map(options.layers, options.experts_per_layer, ranks);
    load.ranks = ranks;
    load.tokens.assign(tokens.begin(), tokens.end());
    load.busy_us.assign(ranks, 1000);
    return load;
}

struct day_result {
    double mean_skew = 0;
    std::size_t moves = 0;
};

// Applies a policy to a series of load changes, with one decision after each change of popularity.
day_result run_day(const rebalance_policy& policy)
{
    expert_load_options options;
    options.experts_per_layer = 64;
    options.drift_steps = 1;
    options.drift_swaps = 4;
    options.seed = 20261204;
    drifting_load popularity(options);
    group_load load = make_load(options, 8);
    constexpr int decisions = 200;
    day_result result;
    for (int i = 0; i < decisions; ++i) {
        const std::span<const float> tokens = popularity.next_step();
        load.tokens.assign(tokens.begin(), tokens.end());
        if (const auto plan = policy(load)) {
            result.moves += plan->moves;
            load.map = plan->map;
        }
        result.mean_skew += load_skew(load.map, load.tokens, load.ranks) / decisions;
    }
    return result;
}

TEST(rebalance_test, few_moves_reduce_the_skew_of_a_group)
{
    const group_load load = make_load({.experts_per_layer = 64, .seed = 3}, 8);
    const auto plan = make_weighted_rebalance({})(load);
    ASSERT_TRUE(plan.has_value());
    EXPECT_LT(plan->skew_after, plan->skew_before);
    EXPECT_EQ(plan->moves, count_moves(load.map, plan->map));
    EXPECT_LE(plan->moves, 16U);
    EXPECT_TRUE(check_map(plan->map, 8).ok());
}

TEST(rebalance_test, an_even_group_is_not_rebalanced)
{
    const group_load load = make_load({.zipf_exponent = 0, .noise = 0.01F, .seed = 3}, 4);
    EXPECT_FALSE(make_weighted_rebalance({})(load).has_value());
}

TEST(rebalance_test, a_straggler_does_not_cause_moves)
{
    group_load load = make_load({.zipf_exponent = 0, .noise = 0.01F, .seed = 3}, 4);
    load.busy_us[2] = 9000;
    EXPECT_FALSE(make_weighted_rebalance({})(load).has_value());
    EXPECT_EQ(find_stragglers(load), std::vector<int>{2});
}

TEST(rebalance_test, a_straggler_receives_no_expert)
{
    group_load load = make_load({.experts_per_layer = 64, .seed = 3}, 8);
    load.busy_us[5] = 9000;
    const auto plan = make_weighted_rebalance({.skew_weight = 10})(load);
    ASSERT_TRUE(plan.has_value());
    for (std::size_t expert = 0; expert < plan->map.ranks.size(); ++expert) {
        EXPECT_FALSE(plan->map.ranks[expert] == 5 && load.map.ranks[expert] != 5);
    }
}

TEST(rebalance_test, a_plan_does_not_exceed_the_maximum_number_of_moves)
{
    const group_load load = make_load({.experts_per_layer = 64, .seed = 3}, 8);
    const auto plan = make_weighted_rebalance({.skew_weight = 100, .max_moves = 5})(load);
    ASSERT_TRUE(plan.has_value());
    EXPECT_LE(plan->moves, 5U);
}

TEST(rebalance_test, each_set_of_weights_is_better_by_its_own_measure)
{
    const day_result skew_first =
        run_day(make_weighted_rebalance({.skew_weight = 4, .rebalance_cost_weight = 1}));
    const day_result cost_first =
        run_day(make_weighted_rebalance({.skew_weight = 1, .rebalance_cost_weight = 4}));
    const day_result never = run_day(make_never_rebalance());
    const day_result always = run_day(make_rebalance_on_every_drift());
    std::cout << "skew_first skew=" << skew_first.mean_skew << " moves=" << skew_first.moves << "\n"
              << "cost_first skew=" << cost_first.mean_skew << " moves=" << cost_first.moves << "\n"
              << "never      skew=" << never.mean_skew << " moves=" << never.moves << "\n"
              << "every      skew=" << always.mean_skew << " moves=" << always.moves << "\n";
    EXPECT_LT(skew_first.mean_skew, cost_first.mean_skew);
    EXPECT_LT(cost_first.moves, skew_first.moves);
    EXPECT_LT(cost_first.mean_skew, never.mean_skew);
    EXPECT_LT(skew_first.moves, always.moves);
}

TEST(rebalance_test, a_group_of_the_target_size_is_planned)
{
    const group_load load =
        make_load({.layers = 60, .experts_per_layer = 128, .zipf_exponent = 1.2F, .seed = 5}, 64);
    const absl::Time start = absl::Now();
    const auto plan = make_weighted_rebalance({.skew_weight = 10})(load);
    const double ms = absl::ToDoubleMilliseconds(absl::Now() - start);
    ASSERT_TRUE(plan.has_value());
    EXPECT_LT(plan->skew_after, plan->skew_before);
    std::cout << "layers=60 experts=128 ranks=64 ms=" << ms << " moves=" << plan->moves
              << " skew=" << plan->skew_before << " to " << plan->skew_after << "\n";
}

} // namespace
} // namespace sardinestream::experts
