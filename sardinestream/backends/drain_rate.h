// Estimates the rate at which a service completes requests, from which the expected waiting time in
// its queue is computed.
//
// Not thread-safe.

#ifndef SARDINESTREAM_BACKENDS_DRAIN_RATE_H_
#define SARDINESTREAM_BACKENDS_DRAIN_RATE_H_

#include <chrono>

#include "sardinestream/http/socket.h"

namespace sardinestream {

class drain_rate {
public:
    // Records the completion of a request.
    void add(steady_time now);

    // Returns whether completions have been recorded for long enough to estimate a wait.
    [[nodiscard]] bool is_known(steady_time now) const;

    // Returns the recent rate in requests per second; zero if no request was completed.
    [[nodiscard]] double per_second(steady_time now) const;

    // Returns the expected time until `ahead` requests are completed, at most `longest`. Returns
    // `longest` if no request was completed.
    [[nodiscard]] std::chrono::milliseconds estimated_wait(double ahead, steady_time now,
                                                           std::chrono::milliseconds longest) const;

private:
    // Number of completed requests at `last`, each weighted by an exponential decay with its age.
    double decayed_count = 0;
    // Times of the last and the first completion; zero before the first.
    steady_time last{};
    steady_time first{};
};

// Returns the time until `ahead` requests are completed at this rate, at most `longest`; `longest`
// if the rate is zero.
[[nodiscard]] std::chrono::milliseconds wait_at_rate(double ahead, double per_second,
                                                     std::chrono::milliseconds longest);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_DRAIN_RATE_H_
