// Steps the time of day as this process sees it, and no other clock.
//
//     step_clock(std::chrono::hours(1));
//
// Link it into the executable of a test: it replaces the system's `clock_gettime` there.

#ifndef SARDINESTREAM_TESTING_STEPPED_CLOCK_H_
#define SARDINESTREAM_TESTING_STEPPED_CLOCK_H_

#include <chrono>

namespace sardinestream::testing {

// Sets the time of day to the real one plus `offset`, which may be negative, and waits until
// `absl::Now` follows, which may take seconds. Waits that the system ends at a time of day don't
// follow. Thread-safe.
void step_clock(std::chrono::seconds offset);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_STEPPED_CLOCK_H_
