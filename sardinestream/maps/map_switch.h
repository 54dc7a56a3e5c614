// How all ranks of a group come to use a new map from one and the same step on.
//
// Orders to an engine may be lost, or carried out seconds late. The protocol rests on what the
// ranks report alone, so any agent can finish what another one began:
//
//   1. prepare the map on every rank, until each report shows it prepared;
//   2. choose a step ahead of all ranks and hold the group there on one rank, until that shows;
//   3. arm every rank for that step. From the first arm on there is no way back: an arm that was
//      lost may still be carried out, so the step must not begin before all ranks are armed;
//   4. release the hold once every report shows the rank armed.
//
// A hold that is carried out after its release shows in a report and is released again.
// `next_orders` is called whenever a report has come; it returns what is to be ordered now.
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
    // The pass from whose beginning the map is used.
    std::int64_t step = 0;

    friend bool operator==(const armed_switch&, const armed_switch&) = default;
};

// What a rank reports. Each field is a fact of the moment of the report.
struct rank_report {
    // Grows whenever the group forms anew.
    std::int64_t epoch = 0;
    // The last pass that was begun.
    std::int64_t step = 0;
    std::int64_t map_version = 0;
    // Zero where nothing is prepared.
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
    // How often it was given before without showing an effect.
    int repetitions = 0;
};

struct switch_options {
    // Passes between the newest report and the step of a switch; at least one. The hold keeps the
    // switch safe with any margin; a larger one gives arms time to arrive before the group waits.
    int step_margin = 1;
    // The rank on which the group is held.
    int holding_rank = 0;
};

class map_switch {
public:
    explicit map_switch(switch_options chosen) : options(chosen) {}

    // `ranks` holds the newest report of every rank; none may be missing. `wanted_version` is the
    // version of the map to bring into force, or zero.
    [[nodiscard]] std::vector<rank_order> next_orders(absl::Span<const rank_report> ranks,
                                                      std::int64_t wanted_version);

    void set_step_margin(int passes) { this->options.step_margin = passes; }

    // Forgets the chosen step: the group has formed anew, or another agent took over.
    void reset() { this->chosen_step.reset(); }

private:
    [[nodiscard]] std::vector<rank_order> finish_armed(absl::Span<const rank_report> ranks,
                                                       const armed_switch& target) const;
    [[nodiscard]] std::vector<rank_order> finish_held(absl::Span<const rank_report> ranks,
                                                      std::int64_t held_step) const;
    [[nodiscard]] std::vector<rank_order> begin(absl::Span<const rank_report> ranks,
                                                std::int64_t version);

    switch_options options;
    // The step of the switch that is being begun.
    std::optional<std::int64_t> chosen_step;
};

// Returns the version that every rank shows prepared and none uses yet, or zero.
[[nodiscard]] std::int64_t commonly_prepared(absl::Span<const rank_report> ranks);

// Whether all reports are of one epoch.
[[nodiscard]] bool same_epoch(absl::Span<const rank_report> ranks);

// Whether a switch is between its first hold and its last release.
[[nodiscard]] bool is_switching(absl::Span<const rank_report> ranks);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_MAP_SWITCH_H_
