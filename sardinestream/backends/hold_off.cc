#include "sardinestream/backends/hold_off.h"

#include <algorithm>
#include <cstdint>

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Scales the random delay: with n processes it is up to (n - 1) times this.
constexpr milliseconds mean_return_gap{15};
// Time after which the limit of concurrent requests is raised by one.
constexpr milliseconds ramp_step{100};
// Time after which the limit is lifted.
constexpr milliseconds ramp_duration{3000};

} // namespace

void hold_off::begin(steady_time requested_end, milliseconds return_delay)
{
    if (requested_end <= this->latest_requested_end) {
        return;
    }
    this->latest_requested_end = requested_end;
    this->ends_at = std::max(this->ends_at, requested_end + return_delay);
    this->ramp_start = this->ends_at;
}

void hold_off::note_refusal(steady_time now)
{
    if (this->ramp_start != steady_time{}) {
        this->ramp_start = std::max(this->ramp_start, now);
    }
}

bool hold_off::allows(int in_flight, steady_time now) const
{
    if (this->ramp_start == steady_time{} || now - this->ramp_start >= ramp_duration) {
        return true;
    }
    if (this->is_active(now)) {
        return false;
    }
    return in_flight < 1 + (now - this->ramp_start) / ramp_step;
}

milliseconds return_delay_for(int processes, double draw)
{
    const auto longest = mean_return_gap * (processes - 1);
    return milliseconds(static_cast<std::int64_t>(draw * static_cast<double>(longest.count())));
}

} // namespace sardinestream
