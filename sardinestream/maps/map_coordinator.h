// Decides for one group of ranks which map it should use and what to order next: the part of an
// agent that coordinates, without any I/O.
//
//     coordinator.take_state(state, now);
//     for (const rank_order& order : coordinator.next_orders(now)) { ... }
//
// Not thread-safe.

#ifndef SARDINESTREAM_MAPS_MAP_COORDINATOR_H_
#define SARDINESTREAM_MAPS_MAP_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

#include "sardinestream/http/socket.h"
#include "sardinestream/maps/engine_port.h"
#include "sardinestream/maps/expert_demand.h"
#include "sardinestream/maps/map_planner.h"
#include "sardinestream/maps/map_switch.h"

namespace sardinestream {

// What the agent of one rank says.
struct rank_state {
    int rank = 0;
    rank_report report;
    bool broken = false;
    // Time of a step against that of a sound server.
    double slowness = 1;
    prepare_record prepares;
    // Of the map in use; empty where they are those of an earlier state with the same map.
    rank_experts experts;
    // What was chosen since the last state that had counts; empty where this one has none.
    std::vector<double> counts;
    // Read from the engine by the coordinator itself, since the rank's agent is silent. Such a rank
    // adds nothing to the demand.
    bool without_agent = false;
};

struct coordinator_options {
    map_shape shape;
    planner_options planner;
    int own_rank = 0;
    // Weight of the whole day's demand in the maps that are made.
    double past_weight = 0.15;
};

class map_coordinator {
public:
    explicit map_coordinator(const coordinator_options& chosen);

    void take_state(rank_state state, steady_time now);

    // Orders to give now; an order that shows no effect is given again after a while.
    [[nodiscard]] std::vector<rank_order> next_orders(steady_time now);

    // The map that `prepare` orders carry.
    [[nodiscard]] const expert_map& wanted_map() const { return this->plan->map; }
    // The map that was in use when it was planned.
    [[nodiscard]] const versioned_map& replaced_map() const { return this->replaced; }
    [[nodiscard]] std::int64_t epoch() const { return this->group_epoch; }

    // Ranks without a fresh state.
    [[nodiscard]] std::vector<int> missing(steady_time now) const;

private:
    struct known_rank {
        rank_state state;
        steady_time last{};
    };
    struct sent_record {
        steady_time last{};
        int times = 0;
    };
    // Rank, kind, version, step.
    using sent_key = std::tuple<int, order_kind, std::int64_t, std::int64_t>;

    void note_epoch(std::int64_t epoch);
    // Whether enough of the ranks that tell counts have told them since the last sample.
    [[nodiscard]] bool sample_is_due(steady_time now) const;
    void sample_demand(steady_time now);
    void consider_plan(absl::Span<const rank_report> reports, steady_time now);
    void check_plan(absl::Span<const rank_report> reports, steady_time now);
    void drop_plan(absl::string_view reason, steady_time now);
    [[nodiscard]] std::optional<expert_map> current_map() const;
    [[nodiscard]] planner_options planner_now() const;
    [[nodiscard]] bool is_due(rank_order& order, steady_time now);
    [[nodiscard]] std::int64_t next_version(absl::Span<const rank_report> reports);

    const coordinator_options options;
    // By rank.
    std::vector<known_rank> ranks;
    std::int64_t group_epoch = -1;
    expert_demand demand;
    // Sums of counts since the last sample, and which ranks have added to them.
    std::vector<double> summed;
    std::vector<bool> counted;
    steady_time last_sample{};
    map_switch switching;
    std::optional<map_plan> plan;
    std::int64_t plan_version = 0;
    versioned_map replaced;
    // Something has changed since a plan was considered: states come far more often.
    bool plan_is_due = false;
    steady_time plan_time{};
    // Arms have gone unanswered lately: they need several tries.
    steady_time orders_lost_until{};
    // No new plan before this.
    steady_time rest_until{};
    std::map<sent_key, sent_record> sent;
    std::mt19937_64 random{std::random_device()()};
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_MAP_COORDINATOR_H_
