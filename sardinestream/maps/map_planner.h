// Plans which experts to copy to which ranks so that steps become shorter soon.
//
// In each step and for each set of layers, all ranks wait for the slowest one: the rank with the
// most work, or one that is slow itself. The planner moves copies of frequently selected experts
// from such ranks to others, the move with the largest gain first. It weighs the time until a map
// is in force (each rank makes its copies one after the other) against the time for which demand is
// expected to stay stable. Pure functions.

#ifndef SARDINESTREAM_MAPS_MAP_PLANNER_H_
#define SARDINESTREAM_MAPS_MAP_PLANNER_H_

#include <functional>
#include <optional>
#include <vector>

#include "sardinestream/maps/expert_map.h"

#include "absl/types/span.h"

namespace sardinestream {

struct planner_options {
    // Time of each rank for a unit of work relative to a healthy rank; empty if all are healthy.
    std::vector<double> rank_slowness{};
    // Share of a step's duration that is spent in the experts, 0 to 1.
    double expert_share = 0.85;
    // Time to copy one expert to a rank.
    double copy_ms = 150;
    // Maximum number of experts of one set that a rank may copy for one map.
    int max_new_experts = 4;
    // Time from the end of the copies until a map is in force.
    double switch_ms = 300;
    // Time for which demand is expected to stay stable.
    double horizon_ms = 4000;
    // Relative increase of the step duration while a rank copies.
    double copy_slowdown = 0.15;
    // Cost of a second of copying, summed over all ranks, as a share of the step duration over the
    // horizon.
    double copy_cost_per_s = 0.0135;
    // Weights that users give to even load and to the cost of copies.
    double skew_weight = 1;
    double rebalance_weight = 1;
    // Minimum gain, as a share of the step duration, for which a map is changed.
    double min_gain = 0.15;
    // Called after each move, because a search may take longer than the liveness timeout of other
    // processes.
    std::function<void()> on_progress{};
};

struct map_plan {
    expert_map map;
    // Step duration relative to that of perfectly even load, before and after.
    double factor_before = 1;
    double factor_after = 1;
    int copies = 0;
    int copies_at_busiest_rank = 0;
};

// Returns the step duration relative to one with work spread evenly over healthy ranks.
[[nodiscard]] double relative_step_time(const expert_map& map, absl::Span<const double> demand,
                                        const planner_options& options);

// Returns a better map, or nullopt if none is worth the cost of its copies. `demand` holds shares
// by set and expert.
[[nodiscard]] std::optional<map_plan> plan_map(const expert_map& current,
                                               absl::Span<const double> demand,
                                               const planner_options& options);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_MAP_PLANNER_H_
