#include "sardinestream/backends/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace sardinestream {
namespace {

// Age at which the weight of a completed request has decayed to 1/e.
constexpr double decay_time_s = 2.0;

double seconds(steady_clock::duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void drain_rate::add(steady_time now)
{
    if (this->first == steady_time{}) {
        this->first = now;
        this->last = now;
    }
    this->decayed_count =
        this->decayed_count * std::exp(-seconds(now - this->last) / decay_time_s) + 1;
    this->last = now;
}

bool drain_rate::is_known(steady_time now) const
{
    return this->first != steady_time{} && seconds(now - this->first) > decay_time_s;
}

double drain_rate::per_second(steady_time now) const
{
    if (this->first == steady_time{}) {
        return 0;
    }
    const double faded = this->decayed_count * std::exp(-seconds(now - this->last) / decay_time_s);
    // Soon after the first completion, only the time since then is averaged over.
    const double window = decay_time_s * (1 - std::exp(-seconds(now - this->first) / decay_time_s));
    constexpr double shortest_window_s = 0.1;
    return faded / std::max(window, shortest_window_s);
}

std::chrono::milliseconds drain_rate::estimated_wait(double ahead, steady_time now,
                                                     std::chrono::milliseconds longest) const
{
    return wait_at_rate(ahead, this->per_second(now), longest);
}

std::chrono::milliseconds wait_at_rate(double ahead, double per_second,
                                       std::chrono::milliseconds longest)
{
    if (per_second <= 0) {
        return longest;
    }
    constexpr double ms_per_s = 1000.0;
    const double wait = ahead / per_second * ms_per_s;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::min(wait, static_cast<double>(longest.count()))));
}

} // namespace sardinestream
