// The time for which a server wants no requests, and how it is used again after it.
//
// Once the time is over the server gets one request at a time, and one more with each tenth of a
// second in which it refuses none: what has waited for it must not reach it at once, nor must all
// processes return in the same moment. Answers the load of a server that recovers.
//
// Times are handed in. Not thread-safe.

#ifndef SARDINESTREAM_BACKENDS_HOLD_OFF_H_
#define SARDINESTREAM_BACKENDS_HOLD_OFF_H_

#include <chrono>

#include "sardinestream/http/socket.h"

namespace sardinestream {

class hold_off {
public:
    // The server wants no requests until `wanted`. The return is put off by `put_off` beyond it,
    // drawn so that processes come back one after another.
    void begin(steady_time wanted, std::chrono::milliseconds put_off);

    // It has refused a request without naming a time.
    void note_refusal(steady_time now);

    [[nodiscard]] bool is_active(steady_time now) const { return now < this->ends_at; }
    // When the server is used again; in the past where nothing was asked.
    [[nodiscard]] steady_time ends() const { return this->ends_at; }

    // Whether the server, with `in_flight` requests of this process, may get one more.
    [[nodiscard]] bool allows(int in_flight, steady_time now) const;

private:
    // The latest end that the server has named.
    steady_time latest_wanted{};
    // Not before `latest_wanted`.
    steady_time ends_at{};
    // Since when the server has refused nothing; not before `ends_at`, zero before the first
    // hold-off.
    steady_time returned_at{};
};

// How long one of `processes` puts its return off; `draw` is uniform in [0, 1).
[[nodiscard]] std::chrono::milliseconds put_off_for(int processes, double draw);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_HOLD_OFF_H_
