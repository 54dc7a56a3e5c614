// Protocol that switches all ranks of a group to a new map at the same step.
//
// Orders to an engine may be lost, or executed seconds late. The protocol depends only on what the
// ranks report, so any agent can complete a switch that another one started:
//
//   1. prepare the map on every rank, until each report shows it as prepared;
//   2. choose a step ahead of all ranks and hold the group there on one rank, the holder, which
//      follows from the version, until its report shows the hold;
//   3. arm the holder for that step, until its report shows it as armed;
//   4. arm all other ranks. From here on the switch cannot be cancelled: an arm order that seems
//      lost may still be executed, so the step must not begin before all ranks are armed;
//   5. release the hold once every report shows the rank as armed.
//
// No rank is armed for a version before its holder is. Until then the holder's agent can cancel the
// switch alone, without knowing the state of any other rank: it has its engine prepare a newer
// version, after which the engine refuses to arm the old one, and releases the hold
// (`stalled_hold_guard`). So the machine of a coordinator may freeze at any time up to then without
// stopping the group, provided that it is not the holder's.
//
// A hold that is executed after its release is visible in a report and is released again.
// Call `next_orders` after each new report; it returns the orders to send now.
// Not thread-safe.

#ifndef SARDINESTREAM_MAPS_MAP_SWITCH_H_
#define SARDINESTREAM_MAPS_MAP_SWITCH_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/types/span.h"

namespace sardinestream {

struct armed_switch {
    std::int64_t version = 0;
    // The first step that uses the map.
    std::int64_t step = 0;

    friend bool operator==(const armed_switch&, const armed_switch&) = default;
};

// State of a rank at the time of its report.
struct rank_report {
    // Increases whenever the group forms again.
    std::int64_t epoch = 0;
    // The last step that was started.
    std::int64_t step = 0;
    std::int64_t map_version = 0;
    // Zero if no map is prepared.
    std::int64_t prepared_version = 0;
    std::optional<armed_switch> armed;
    std::optional<std::int64_t> held_step;
};

enum class order_kind { prepare, hold, arm, release };

struct rank_order {
    int rank = 0;
    order_kind kind = order_kind::prepare;
    std::int64_t version = 0;
    std::int64_t step = 0;
    // How often the order was sent before without a visible effect.
    int repetitions = 0;
};

struct switch_options {
    // Steps between the newest report and the step of a switch; at least one. The hold makes the
    // switch safe with any margin. A larger margin gives arm orders time to arrive before the group
    // has to wait.
    int step_margin = 1;
};

// Returns the rank on which the group is held for the switch to a map version; at least one rank.
[[nodiscard]] int holding_rank(std::int64_t version, int ranks);

// Returns a version above `newest`. Its low bits are taken from `draw`, a random number, so that no
// two agents, nor one that has lost its state, use the same version for different maps.
[[nodiscard]] std::int64_t version_after(std::int64_t newest, std::uint64_t draw);

// Like `version_after`, but also above all that agents draw with `version_after` from `newest` for
// their own engines. Such an order may be carried out seconds late, when no process knows of it any
// more; below the version of the switch in progress, the engine refuses it.
[[nodiscard]] std::int64_t plan_version_after(std::int64_t newest, std::uint64_t draw);

// Returns the last step that any of the ranks has started.
[[nodiscard]] std::int64_t newest_step(absl::Span<const rank_report> ranks);

class map_switch {
public:
    explicit map_switch(switch_options chosen) : options(chosen) {}

    // Returns the orders to send now. `ranks` holds the newest report of every rank; none may be
    // missing. `wanted_version` is the version of the map to switch to, or zero for none.
    [[nodiscard]] std::vector<rank_order> next_orders(absl::Span<const rank_report> ranks,
                                                      std::int64_t wanted_version);

    void set_step_margin(int steps) { this->options.step_margin = steps; }

    // Returns whether a hold may have been executed that no report shows yet.
    [[nodiscard]] bool awaits_hold(absl::Span<const rank_report> ranks) const;

    // Discards the chosen step, because the group has formed again or another agent has taken over.
    void reset() { this->chosen_step.reset(); }

    // Discards all state of the group's former epoch.
    void begin_epoch();

private:
    [[nodiscard]] std::vector<rank_order> finish_armed(absl::Span<const rank_report> ranks,
                                                       const armed_switch& target) const;
    [[nodiscard]] std::vector<rank_order> finish_held(absl::Span<const rank_report> ranks) const;
    [[nodiscard]] std::vector<rank_order> begin(absl::Span<const rank_report> ranks,
                                                std::int64_t version);

    switch_options options;
    // The step of the switch that is being started; not set once a report shows its hold.
    std::optional<std::int64_t> chosen_step;
    // The highest step at which a report has shown a hold in this epoch; zero before the first.
    std::int64_t highest_held_step = 0;
};

// Returns the version that every rank reports as prepared and none uses yet, or zero.
[[nodiscard]] std::int64_t version_prepared_on_all_ranks(absl::Span<const rank_report> ranks);

// Returns whether all reports are of the same epoch.
[[nodiscard]] bool same_epoch(absl::Span<const rank_report> ranks);

// Returns whether any rank reports a hold or an armed switch: a switch is in progress from its
// first hold to its last release.
[[nodiscard]] bool is_switching(absl::Span<const rank_report> ranks);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_MAP_SWITCH_H_
