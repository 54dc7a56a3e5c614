// Decides which map a group of ranks should use and which orders to send next. Performs no I/O; the
// agent that coordinates the group feeds it rank states and sends its orders.
//
//     coordinator.update_rank_state(state, now);
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
#include "sardinestream/maps/engine_interface.h"
#include "sardinestream/maps/expert_demand.h"
#include "sardinestream/maps/map_planner.h"
#include "sardinestream/maps/map_switch.h"
#include "sardinestream/maps/step_margin.h"

namespace sardinestream {

// State of one rank as reported by its agent.
struct rank_state {
    int rank = 0;
    rank_report report;
    bool broken = false;
    // Duration of a step relative to that of a healthy server.
    double slowness = 1;
    prepare_record prepares;
    // The rank's experts under the map in use; empty if an earlier state with the same epoch and
    // map version already had them.
    rank_experts experts;
    // Expert selections since the last state with counts; empty if this state has none.
    std::vector<double> counts;
    // True if the coordinator read this state from the engine itself because the rank's agent does
    // not respond. Such a rank contributes nothing to the demand.
    bool without_agent = false;
};

struct coordinator_options {
    map_shape shape;
    planner_options planner;
    int own_rank = 0;
    // Weight of the whole day's demand in planned maps, 0 to 1.
    double long_term_weight = 0.15;
};

class map_coordinator {
public:
    explicit map_coordinator(const coordinator_options& chosen);

    void update_rank_state(rank_state state, steady_time now);

    // Returns the orders to send now. An order without a visible effect is returned again after a
    // retry interval.
    [[nodiscard]] std::vector<rank_order> next_orders(steady_time now);

    // From now on, completes the switch in progress but begins nothing: neither a plan nor a hold.
    void begin_nothing() { this->begins_nothing = true; }

    // Returns whether a switch is in progress, as far as is known.
    [[nodiscard]] bool is_switching() const;

    // The map that `prepare` orders carry. Requires a current plan.
    [[nodiscard]] const expert_map& target_map() const { return this->plan->map; }
    // The map that was in use when the target map was planned.
    [[nodiscard]] const versioned_map& replaced_map() const { return this->replaced; }
    [[nodiscard]] std::int64_t epoch() const { return this->group_epoch; }

    // Ranks whose last state is missing or too old.
    [[nodiscard]] std::vector<int> stale_ranks(steady_time now) const;

private:
    struct known_rank {
        rank_state state;
        steady_time last_update{};
    };
    struct sent_record {
        steady_time last_sent{};
        int send_count = 0;
    };
    // Rank, kind, version, step.
    using sent_key = std::tuple<int, order_kind, std::int64_t, std::int64_t>;

    void update_epoch(std::int64_t epoch);
    // Whether enough of the ranks that report counts have done so since the last sample.
    [[nodiscard]] bool sample_is_due(steady_time now) const;
    void sample_demand(steady_time now);
    [[nodiscard]] std::vector<rank_report> newest_reports() const;
    void plan_if_worthwhile(absl::Span<const rank_report> reports, steady_time now);
    void update_plan_progress(absl::Span<const rank_report> reports, steady_time now);
    void drop_plan(absl::string_view reason, steady_time now);
    [[nodiscard]] std::optional<expert_map> current_map() const;
    [[nodiscard]] planner_options current_planner_options() const;
    [[nodiscard]] bool is_due(rank_order& order, steady_time now);
    [[nodiscard]] std::int64_t next_version(absl::Span<const rank_report> reports);
    // Returns whether the group may be held on `rank`: its agent responds, and runs on another
    // machine than this one, so that one frozen machine cannot take both.
    [[nodiscard]] bool can_hold(int rank) const;

    const coordinator_options options;
    // By rank.
    std::vector<known_rank> ranks;
    std::int64_t group_epoch = -1;
    expert_demand demand;
    // Sums of counts since the last sample, and which ranks have contributed to them.
    std::vector<double> accumulated_counts;
    std::vector<bool> has_reported_counts;
    steady_time last_sample{};
    map_switch switch_protocol;
    step_pace pace;
    std::optional<map_plan> plan;
    std::int64_t plan_version = 0;
    versioned_map replaced;
    // Something has changed since planning was last attempted. Avoids planning at every state,
    // which arrive far more often.
    bool plan_is_due = false;
    steady_time planned_at{};
    // Until then, arm orders are expected to need several attempts, since recent ones did.
    steady_time orders_lost_until{};
    bool begins_nothing = false;
    // Delays the next plan after a failed one.
    steady_time next_plan_not_before{};
    std::map<sent_key, sent_record> sent_orders;
    std::mt19937_64 random{std::random_device()()};
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_MAP_COORDINATOR_H_
