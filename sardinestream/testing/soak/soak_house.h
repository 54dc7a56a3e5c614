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
#include <cstdint>
#include <vector>

#include "sardinestream/testing/soak/fault_series.h"

namespace sardinestream::testing {

inline constexpr std::chrono::milliseconds house_pass_time{30};
inline constexpr double house_entry_share = 0.5;
inline constexpr double house_stream_share = 0.85;
inline constexpr double house_leaving_share = 0.02;

// Returns how long a program with this share of a core takes until it heeds signals.
[[nodiscard]] std::chrono::milliseconds house_start_time(double share);

// Returns how long streams of this seed are silent before their servers break off.
[[nodiscard]] std::chrono::milliseconds house_stall(unsigned seed);

// What is rolled in a house, and how often.
enum class house_plan : std::uint8_t {
    // Entries and agents in series of their own, one at a time.
    series,
    // All machines in one order, several at a time, while the demand changes.
    machines,
    // So, and coordinators stop amid their changes of map.
    coordinators,
};

// Returns the faults by time. `length` is the time in which they begin.
[[nodiscard]] std::vector<soak_fault> draw_house_faults(unsigned seed, const soak_size& size,
                                                        std::chrono::milliseconds length,
                                                        house_plan plan = house_plan::series);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_SOAK_HOUSE_H_
