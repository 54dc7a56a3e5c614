// Ends a hold of the agent's own engine that is never completed.
//
// Answers a coordinator whose machine freezes, or is cut off, in the middle of a switch: all ranks
// of the group wait at the held step, and nothing is served. As long as this rank is the holder and
// is not armed, no rank is armed nor ever will be without a new report of this rank (see
// `map_switch`), so its agent may cancel the switch alone: it supersedes the prepared version and
// then releases the hold.
//
//     switch (guard.next_action(report, report_rank, group_size, now)) { ... }
//
// An order to prepare that gets no answer may be carried out seconds later. It must not discard the
// map of a later switch then, so it has to stay below the versions of later plans, though the agent
// may have restarted and nobody may know of it any more (`plan_version_after`). So one version is
// ordered again and again, until the engine shows or refuses it.
//
// The current time is passed in. Not thread-safe.

#ifndef SARDINESTREAM_MAPS_STALLED_HOLD_GUARD_H_
#define SARDINESTREAM_MAPS_STALLED_HOLD_GUARD_H_

#include <chrono>
#include <cstdint>

#include "sardinestream/http/socket.h"
#include "sardinestream/maps/engine_interface.h"
#include "sardinestream/maps/map_switch.h"

#include "absl/functional/function_ref.h"

namespace sardinestream {

class stalled_hold_guard {
public:
    enum class action : std::uint8_t {
        none,
        // Have the engine prepare a newer version, so that the version of the switch can no longer
        // be armed.
        supersede,
        // Release the hold; the version of the switch can no longer be armed.
        release,
    };

    // Returns what to do, given the newest report of this agent's engine. An action without a
    // visible effect is returned again after a retry interval.
    [[nodiscard]] action next_action(const rank_report& own, int own_rank, int ranks,
                                     steady_time now);

    // Returns the version by which the engine is to supersede that of the switch: above all that it
    // may have prepared, and one of which this rank is not the holder. `prepares` are the orders
    // sent to this engine; the group has at least two ranks.
    [[nodiscard]] std::int64_t superseding_version(const rank_report& own, int own_rank, int ranks,
                                                   const prepare_record& prepares,
                                                   absl::FunctionRef<std::uint64_t()> random);

    // Time for which the group may stand at the held step before the rank is armed. Covers a few
    // repetitions of an order that gets no answer.
    static constexpr std::chrono::milliseconds max_unarmed_time{300};
    static constexpr std::chrono::milliseconds retry_interval{100};

private:
    // The step at which the group stands, and since when; -1 if it does not.
    std::int64_t standing_at = -1;
    steady_time standing_since{};
    action last_action = action::none;
    steady_time last_action_time{};
    // The version drawn last; zero before the first.
    std::int64_t drawn_version = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_STALLED_HOLD_GUARD_H_
