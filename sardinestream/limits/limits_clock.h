// Clock for the expiry of loans. It keeps running while the process is frozen or the instance is
// suspended, and never goes backwards.

#ifndef SARDINESTREAM_LIMITS_LIMITS_CLOCK_H_
#define SARDINESTREAM_LIMITS_LIMITS_CLOCK_H_

#include <ctime>

#include "absl/time/time.h"

namespace sardinestream::limits {

// Returns the time since the instance booted, represented as a time since the Unix epoch.
[[nodiscard]] inline absl::Time boot_time()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return absl::TimeFromTimespec(now);
}

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_LIMITS_CLOCK_H_
