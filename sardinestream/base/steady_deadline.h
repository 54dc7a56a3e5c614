// Deadlines that don't follow steps of the time of day.
//
//     const steady_deadline deadline = deadline_after(absl::Seconds(5));
//     while (time_left(deadline) > absl::ZeroDuration()) { ... }

#ifndef SARDINESTREAM_BASE_STEADY_DEADLINE_H_
#define SARDINESTREAM_BASE_STEADY_DEADLINE_H_

#include <chrono>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace sardinestream {

using steady_deadline = std::chrono::steady_clock::time_point;

[[nodiscard]] inline steady_deadline deadline_after(absl::Duration time)
{
    return std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(time);
}

// Returns a negative duration once the deadline has passed.
[[nodiscard]] inline absl::Duration time_left(steady_deadline deadline)
{
    return absl::FromChrono(deadline - std::chrono::steady_clock::now());
}

[[nodiscard]] inline bool has_passed(steady_deadline deadline)
{
    return time_left(deadline) <= absl::ZeroDuration();
}

// Returns the deadline as a time of day, for a wait that takes one. Valid until the next step.
[[nodiscard]] inline absl::Time to_time_of_day(steady_deadline deadline)
{
    return absl::Now() + time_left(deadline);
}

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_STEADY_DEADLINE_H_
