#include "sardinestream/programs/packed_counts.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sardinestream {
namespace {

constexpr int nibble_bits = 4;
constexpr int max_nibble = 15;

std::uint8_t nibble_of(std::int64_t count, double scale)
{
    const double root = std::sqrt(static_cast<double>(std::max<std::int64_t>(0, count)) / scale);
    return static_cast<std::uint8_t>(std::min<long>(max_nibble, std::lround(root)));
}

} // namespace

packed_counts pack_counts(absl::Span<const std::int64_t> counts)
{
    std::int64_t largest = 1;
    for (const std::int64_t count : counts) {
        largest = std::max(largest, count);
    }
    packed_counts packed;
    packed.scale = static_cast<float>(largest) / (max_nibble * max_nibble);
    packed.nibbles.assign((counts.size() + 1) / 2, 0);
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const std::uint8_t nibble = nibble_of(counts[i], packed.scale);
        packed.nibbles[i / 2] |=
            static_cast<std::uint8_t>(i % 2 == 0 ? nibble : nibble << nibble_bits);
    }
    return packed;
}

std::vector<double> unpack_counts(absl::Span<const std::uint8_t> nibbles, float scale)
{
    std::array<double, max_nibble + 1> values{};
    for (int nibble = 0; nibble <= max_nibble; ++nibble) {
        values[static_cast<std::size_t>(nibble)] = static_cast<double>(scale) * nibble * nibble;
    }
    std::vector<double> counts;
    counts.reserve(2 * nibbles.size());
    for (const std::uint8_t pair : nibbles) {
        counts.push_back(values[pair & max_nibble]);
        counts.push_back(values[pair >> nibble_bits]);
    }
    return counts;
}

} // namespace sardinestream
