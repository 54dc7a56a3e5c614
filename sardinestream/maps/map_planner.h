// Which experts to copy where, so that passes get shorter soon.
//
// A pass waits, set by set, for the rank that needs the longest for its work: the one with the
// most, or a slow one. The planner moves copies of sought experts from such ranks to others, the
// move with the largest gain first, and weighs the time until a map is in force (copies are made
// one after the other on each rank) against the time for which demand will stay as it is. Pure
// functions.

#ifndef SARDINESTREAM_MAPS_MAP_PLANNER_H_
#define SARDINESTREAM_MAPS_MAP_PLANNER_H_

#include <functional>
#include <optional>
#include <vector>

#include "sardinestream/maps/expert_map.h"

#include "absl/types/span.h"

namespace sardinestream {

struct planner_options {
    // Time of each rank for a unit of work against that of a sound one; empty where all are sound.
    std::vector<double> rank_slowness{};
    // Share of a pass that goes to the experts, 0 to 1.
    double expert_share = 0.85;
    // Time to copy one expert to a rank.
    double copy_ms = 150;
    // Most experts of one set that a rank may copy for one map.
    int most_new_experts = 4;
    // Time from the end of the copies until a map is in force.
    double switch_ms = 300;
    // For how long demand is expected to stay as it is.
    double horizon_ms = 4000;
    // How much longer passes take while a rank copies, as a share.
    double copy_slowdown = 0.15;
    // Pass time that a second of copying is worth, over all ranks, as a share of a pass over the
    // horizon.
    double copy_cost_per_s = 0.0135;
    // The users' weights of even load and of copies.
    double skew_weight = 1;
    double rebalance_weight = 1;
    // The least gain, as a share of a pass, for which a map is changed at all.
    double least_gain = 0.15;
    // Called after each move, since a search may take longer than others wait for a sign of life.
    std::function<void()> on_progress{};
};

struct map_plan {
    expert_map map;
    // Pass time against a perfectly even one, before and after.
    double factor_before = 1;
    double factor_after = 1;
    int copies = 0;
    int copies_at_busiest_rank = 0;
};

// Pass time against one whose work is even over sound ranks.
[[nodiscard]] double pass_factor(const expert_map& map, absl::Span<const double> demand,
                                 const planner_options& options);

// Returns a better map, or nothing where none is worth its copies. `demand` holds shares by set and
// expert.
[[nodiscard]] std::optional<map_plan> plan_map(const expert_map& current,
                                               absl::Span<const double> demand,
                                               const planner_options& options);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_MAP_PLANNER_H_
