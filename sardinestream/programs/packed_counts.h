// Counts in half a byte each: fine for small ones, coarse for large ones. The error of one is below
// the noise of what a rank's few requests choose, and they are summed over many ranks.
//
// Pure functions.

#ifndef SARDINESTREAM_PROGRAMS_PACKED_COUNTS_H_
#define SARDINESTREAM_PROGRAMS_PACKED_COUNTS_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"

namespace sardinestream {

struct packed_counts {
    // Two to a byte, the first in the low half; a last one without a partner has a zero beside it.
    std::vector<std::uint8_t> nibbles;
    // A half of `n` stands for `n` squared times this.
    float scale = 0;
};

// Counts below zero are taken as zero.
[[nodiscard]] packed_counts pack_counts(absl::Span<const std::int64_t> counts);

// Returns two counts for each byte.
[[nodiscard]] std::vector<double> unpack_counts(absl::Span<const std::uint8_t> halves, float scale);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_PACKED_COUNTS_H_
