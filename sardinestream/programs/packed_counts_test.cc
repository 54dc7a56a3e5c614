#include <cmath>

#include <gtest/gtest.h>

#include "sardinestream/programs/packed_counts.h"

namespace sardinestream {
namespace {

std::vector<double> pack_and_unpack(const std::vector<std::int64_t>& counts)
{
    const packed_counts packed = pack_counts(counts);
    return unpack_counts(packed.nibbles, packed.scale);
}

TEST(packed_counts, keep_zero_and_the_largest)
{
    const std::vector<double> read = pack_and_unpack({0, 900, 0, 0});
    ASSERT_EQ(read.size(), 4U);
    EXPECT_EQ(read[0], 0);
    EXPECT_NEAR(read[1], 900, 0.01);
}

TEST(packed_counts, err_by_less_than_the_noise_of_a_count)
{
    for (const std::int64_t largest : {20, 200}) {
        std::vector<std::int64_t> counts;
        for (std::int64_t count = 0; count <= largest; ++count) {
            counts.push_back(count);
        }
        const std::vector<double> read = pack_and_unpack(counts);
        for (std::size_t i = 0; i < counts.size(); ++i) {
            // Rounding errs by at most half a step of the square-root scale.
            const double scale = static_cast<double>(largest) / 225;
            const double bound = std::sqrt(scale * static_cast<double>(counts[i])) + scale;
            EXPECT_LE(std::abs(read[i] - static_cast<double>(counts[i])), bound) << counts[i];
        }
    }
}

TEST(packed_counts, take_half_a_byte_each)
{
    EXPECT_EQ(pack_counts(std::vector<std::int64_t>(3072, 7)).nibbles.size(), 1536U);
}

TEST(packed_counts, of_nothing_and_of_negative_counts_are_zero)
{
    EXPECT_TRUE(pack_and_unpack({}).empty());
    EXPECT_EQ(pack_and_unpack({-5, -1})[0], 0);
}

} // namespace
} // namespace sardinestream
