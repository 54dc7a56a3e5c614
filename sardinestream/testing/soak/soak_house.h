// A house of real processes: planned work alone, in series that overlap, while callers keep tens of
// streams open at each entry, entries have half of their processor time, and ranks are unequal.
//
//     for (const soak_fault& fault : draw_house_faults(seed, size, length)) { ... }
//
// What the ranks and the demand do there is no trouble: streams last longer, and move. Pure
// functions.

#ifndef SARDINESTREAM_TESTING_SOAK_SOAK_HOUSE_H_
#define SARDINESTREAM_TESTING_SOAK_SOAK_HOUSE_H_

#include <chrono>
#include <vector>

#include "sardinestream/testing/soak/fault_series.h"

namespace sardinestream::testing {

inline constexpr std::chrono::milliseconds house_pass_time{30};
// Held to half of its time, a program takes this long until it heeds signals.
inline constexpr std::chrono::milliseconds house_start_time{1000};
inline constexpr double house_stream_share = 0.85;
inline constexpr double house_leaving_share = 0.02;

// Returns how long streams of this seed are silent before their servers break off.
[[nodiscard]] std::chrono::milliseconds house_stall(unsigned seed);

// Returns the faults by time. `length` is the time in which they begin.
[[nodiscard]] std::vector<soak_fault> draw_house_faults(unsigned seed, const soak_size& size,
                                                        std::chrono::milliseconds length);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_SOAK_HOUSE_H_
