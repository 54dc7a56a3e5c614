// Decides how many steps ahead of the newest report a group switches its expert map.
//
// Answers the load in which one rank turns slow, so that steps take many times longer: the switch
// that takes work from the slow rank would come seconds later if its step were chosen by a fixed
// number of steps. A margin is there so that orders arrive before the group has to wait for them,
// which is a matter of time.
//
// The current time is passed in. Not thread-safe.

#ifndef SARDINESTREAM_MAPS_STEP_MARGIN_H_
#define SARDINESTREAM_MAPS_STEP_MARGIN_H_

#include <chrono>
#include <cstdint>

#include "sardinestream/http/socket.h"

namespace sardinestream {

// Observes how long the steps of a group take.
class step_pace {
public:
    // Records the last step that was started, as the reports of the ranks tell it now. A step that
    // is lower than the known one begins a new count.
    void note_step(std::int64_t step, steady_time now);

    // Returns the time that a step takes at present: that of the last steps, or for how long the
    // current one has gone on if that is more. Zero before the first report.
    [[nodiscard]] std::chrono::milliseconds step_time(steady_time now) const;

private:
    std::int64_t newest = 0;
    // When `newest` was first seen; zero before the first step.
    steady_time since{};
    std::chrono::milliseconds last_step_time{0};
};

// Returns the number of steps between the newest report and the step of a switch: two, or five
// while orders get lost, but no more than fit into the time in which lost orders are repeated. At
// least one.
[[nodiscard]] int step_margin(std::chrono::milliseconds step_time, bool orders_get_lost);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_STEP_MARGIN_H_
