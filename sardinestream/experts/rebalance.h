// Decides when and how to move experts between ranks. The policies are pure functions of the load.
//
//     rebalance_policy policy = make_weighted_rebalance({.skew_weight = 4});
//     std::optional<rebalance_plan> plan = policy(load);
//     if (plan.has_value()) { proposer->move_to(plan->map); }
//
// The weighted policy moves experts only as long as each move is worthwhile: the reduction of skew,
// multiplied by the catalogue's `skew_weight`, must exceed the cost of the move, multiplied by
// `rebalance_cost_weight`. Two further policies serve as baselines. Load means the work that the
// experts cause. A rank that is slow in proportion to its load is a straggler, which no placement
// remedies, so its delay does not count as skew and it receives no experts.

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
    std::vector<float> busy_us; // microseconds per step and rank, without waiting; may be empty
};

struct rebalance_plan {
    expert_mapT map;
    std::size_t moves = 0;
    double skew_before = 1;
    double skew_after = 1;
};

// Returns the placement to move to, or nothing if the current one should be kept.
using rebalance_policy = std::function<std::optional<rebalance_plan>(const group_load& load)>;

struct rebalance_options {
    double skew_weight = 1;           // from the catalogue
    double rebalance_cost_weight = 1; // from the catalogue
    // Cost of moving every expert, in units of skew.
    double full_move_cost = 4;
    // Maximum number of experts moved by one plan: the transfer rate of the weight store multiplied
    // by the time allowed for staging.
    std::size_t max_moves = 64;
    // Skew below which no expert is moved, so that noise does not cause moves.
    double min_skew = 1.05;
    // Number of experts that a rank can host, relative to an even distribution.
    double rank_capacity = 1.5;
};

// Returns the skew of step time that the placement causes: the highest load of a rank divided by
// the mean load. 1 means an even distribution.
[[nodiscard]] double load_skew(const expert_mapT& map, std::span<const float> tokens, int ranks);

// Returns the ranks whose step time is disproportionate to their load. Returns none if `busy_us`
// does not have one entry per rank.
[[nodiscard]] std::vector<int> find_stragglers(const group_load& load);

// Returns the weighted policy described at the head of this file.
[[nodiscard]] rebalance_policy make_weighted_rebalance(const rebalance_options& options);

// Baselines.
[[nodiscard]] rebalance_policy make_never_rebalance();
// Places all experts again, those with the highest load first, whenever that reduces the skew.
[[nodiscard]] rebalance_policy make_rebalance_on_every_drift();

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_REBALANCE_H_
