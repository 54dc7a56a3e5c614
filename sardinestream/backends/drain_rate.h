// How many requests a second a service has been finishing lately: the base of every expected wait.
//
// Not thread-safe.

#ifndef SARDINESTREAM_BACKENDS_DRAIN_RATE_H_
#define SARDINESTREAM_BACKENDS_DRAIN_RATE_H_

#include <chrono>

#include "sardinestream/http/socket.h"

namespace sardinestream {

class drain_rate {
public:
    // A request was finished.
    void add(steady_time now);

    // Whether it has been watched for long enough to foretell a wait.
    [[nodiscard]] bool is_known(steady_time now) const;

    // Requests a second over the last seconds; zero where nothing was finished.
    [[nodiscard]] double per_second(steady_time now) const;

    // The time in which `ahead` requests will be finished, bounded by `longest`.
    [[nodiscard]] std::chrono::milliseconds wait_behind(double ahead, steady_time now,
                                                        std::chrono::milliseconds longest) const;

private:
    // Finished requests, each fading with its age.
    double faded_count = 0;
    steady_time last{};
    steady_time first{};
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_DRAIN_RATE_H_
