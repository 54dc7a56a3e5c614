// The clock by which loans are counted: goes on while the process is frozen and while the instance
// is suspended, and is never set back.

#ifndef SARDINESTREAM_LIMITS_LIMITS_CLOCK_H_
#define SARDINESTREAM_LIMITS_LIMITS_CLOCK_H_

#include <ctime>

#include "absl/time/time.h"

namespace sardinestream::limits {

// Returns the time since the instance started, as a time since the epoch.
[[nodiscard]] inline absl::Time boot_time()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return absl::TimeFromTimespec(now);
}

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_LIMITS_CLOCK_H_
