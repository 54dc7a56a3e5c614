// Tracks the period in which a server asks for no requests, and the gradual increase of its load
// afterwards.
//
// After the hold-off the server gets one concurrent request, and one more for each 0.1 s in which
// it refuses none. A recovering server would be overloaded if all queued requests were sent to it
// at once, or if all processes resumed at the same time.
//
// The current time is passed in. Not thread-safe.

#ifndef SARDINESTREAM_BACKENDS_HOLD_OFF_H_
#define SARDINESTREAM_BACKENDS_HOLD_OFF_H_

#include <chrono>

#include "sardinestream/http/socket.h"

namespace sardinestream {

class hold_off {
public:
    // Begins a hold-off until `requested_end`, as the server has asked. The server is used again
    // `return_delay` later, a random delay so that processes resume one after another. Has no
    // effect if `requested_end` is not later than a time that the server has named before.
    void begin(steady_time requested_end, std::chrono::milliseconds return_delay);

    // Records that the server refused a request without asking for a hold-off.
    void note_refusal(steady_time now);

    [[nodiscard]] bool is_active(steady_time now) const { return now < this->ends_at; }
    // Returns the time from which the server is used again; in the past if it does not hold off.
    [[nodiscard]] steady_time ends() const { return this->ends_at; }

    // Returns whether a server with `in_flight` requests of this process may get one more.
    [[nodiscard]] bool allows(int in_flight, steady_time now) const;

private:
    // The latest end that the server has asked for.
    steady_time latest_requested_end{};
    // Not before `latest_requested_end`.
    steady_time ends_at{};
    // Start of the gradual increase: the last refusal after the hold-off, or else its end. Not
    // before `ends_at`; zero before the first hold-off.
    steady_time ramp_start{};
};

// Returns the delay after the end of a hold-off after which one of `processes` uses the server
// again. `draw` is uniform in [0, 1). Zero for a single process.
[[nodiscard]] std::chrono::milliseconds return_delay_for(int processes, double draw);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_HOLD_OFF_H_
