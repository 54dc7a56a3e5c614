#include "sardinestream/testing/stepped_clock.h"

#include <atomic>
#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

#include "absl/time/clock.h"

namespace {

std::atomic<time_t> offset_s{0};

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept
{
    const long result = ::syscall(SYS_clock_gettime, clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        now->tv_sec += offset_s;
    }
    return static_cast<int>(result);
}

namespace sardinestream::testing {

void step_clock(std::chrono::seconds offset)
{
    offset_s = offset.count();
    constexpr absl::Duration tolerance = absl::Seconds(1);
    while (absl::AbsDuration(absl::Now() - absl::FromChrono(std::chrono::system_clock::now())) >
           tolerance) {
        absl::SleepFor(absl::Milliseconds(1));
    }
}

} // namespace sardinestream::testing
