// Packs counts into four bits each, on a square-root scale: precise for small counts and coarse for
// large ones. The error of one count is below the sampling noise of the few requests of one rank,
// and the counts are summed over many ranks.
//
// Pure functions.

#ifndef SARDINESTREAM_PROGRAMS_PACKED_COUNTS_H_
#define SARDINESTREAM_PROGRAMS_PACKED_COUNTS_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"

namespace sardinestream {

struct packed_counts {
    // Two per byte, the first in the low four bits; an odd number of counts is padded with a zero.
    std::vector<std::uint8_t> nibbles;
    // A nibble of value `n` stands for the count `n * n * scale`.
    float scale = 0;
};

// Packs `counts`; negative counts become zero.
[[nodiscard]] packed_counts pack_counts(absl::Span<const std::int64_t> counts);

// Returns two counts for each byte, including the padding.
[[nodiscard]] std::vector<double> unpack_counts(absl::Span<const std::uint8_t> nibbles,
                                                float scale);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_PACKED_COUNTS_H_
