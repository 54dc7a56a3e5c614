// When and how to move experts between ranks: pure functions behind one hook.
//
//     rebalance_policy policy = make_weighted_rebalance({.skew_weight = 4});
//     std::optional<rebalance_plan> plan = policy(load);
//     if (plan.has_value()) { proposer->move_to(plan->map); }
//
// The weighted policy moves the fewest experts that pay: each move must gain more skew, times the
// catalogue's `skew_weight`, than it costs, times `rebalance_cost_weight`. Two baselines stand
// beside it. Load is what the experts cause; a rank that is slow for its load is a straggler, which
// no placement cures, so it neither counts as skew nor receives experts.

#ifndef SARDINESTREAM_EXPERTS_REBALANCE_H_
#define SARDINESTREAM_EXPERTS_REBALANCE_H_

#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "sardinestream/experts/expert_map.h"

namespace sardinestream::experts {

struct group_load {
    expert_mapT map; // in use
    int ranks = 1;
    std::vector<float> tokens;  // per step and expert, smoothed; same order as `map.ranks`
    std::vector<float> busy_us; // per step and rank, without waiting; may be empty
};

struct rebalance_plan {
    expert_mapT map;
    std::size_t moves = 0;
    double skew_before = 1;
    double skew_after = 1;
};

// Returns the placement to move to, or nothing where the present one should stay.
using rebalance_policy = std::function<std::optional<rebalance_plan>(const group_load& load)>;

struct rebalance_options {
    double skew_weight = 1;           // from the catalogue
    double rebalance_cost_weight = 1; // from the catalogue
    // What moving every expert would cost, in units of skew.
    double full_move_cost = 4;
    // Most experts of one plan: the weight store's rate times the time that staging may take.
    std::size_t max_moves = 64;
    // Skew below which nothing moves, so that noise does not.
    double least_skew = 1.05;
    // Experts that a rank can hold, relative to an even spread.
    double rank_capacity = 1.5;
};

// Step-time skew that the placement causes: the busiest rank's load over the mean; 1 is even.
[[nodiscard]] double load_skew(const expert_mapT& map, std::span<const float> tokens, int ranks);

// Returns the ranks whose time for a step is out of proportion to their load.
[[nodiscard]] std::vector<int> find_stragglers(const group_load& load);

[[nodiscard]] rebalance_policy make_weighted_rebalance(const rebalance_options& options);

// Baselines.
[[nodiscard]] rebalance_policy make_never_rebalance();
// Spreads all experts afresh, heaviest first, whenever that is better at all.
[[nodiscard]] rebalance_policy make_rebalance_on_every_drift();

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_REBALANCE_H_
