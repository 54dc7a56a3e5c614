#include <gtest/gtest.h>

#include "sardinestream/maps/report_intervals.h"

namespace sardinestream {
namespace {

constexpr double ms_per_s = 1000;

TEST(report_intervals, all_ranks_of_a_small_group_report_their_counts)
{
    for (int rank = 0; rank < 12; ++rank) {
        EXPECT_TRUE(reports_counts(rank, 12));
    }
    EXPECT_EQ(count_reporting_ranks(12), 12);
}

TEST(report_intervals, as_many_ranks_report_counts_as_are_expected)
{
    for (int ranks = 1; ranks <= 1000; ++ranks) {
        int reporting = 0;
        for (int rank = 0; rank < ranks; ++rank) {
            reporting += reports_counts(rank, ranks) ? 1 : 0;
        }
        EXPECT_EQ(reporting, count_reporting_ranks(ranks)) << ranks;
    }
}

// Traffic of counts and states that a coordinator receives while nothing changes.
TEST(report_intervals, a_coordinator_receives_less_than_half_of_a_slow_link)
{
    constexpr double link_bytes_per_s = 6e6 / 8;
    constexpr double state_bytes = 300;
    for (const map_shape& shape : {map_shape{6, 8, 64, 11}, map_shape{12, 32, 128, 5},
                                   map_shape{8, 63, 252, 5}, map_shape{16, 96, 192, 3}}) {
        const double counts = 0.5 * count_reporting_ranks(shape.ranks) * shape.sets *
                              shape.experts * ms_per_s /
                              static_cast<double>(counts_interval(shape).count());
        const double states = shape.ranks * state_bytes * ms_per_s /
                              static_cast<double>(state_interval(shape.ranks).count());
        EXPECT_LT(counts + states, link_bytes_per_s / 2) << shape.ranks;
        EXPECT_LE(counts_interval(shape).count(), 100) << shape.ranks;
    }
}

} // namespace
} // namespace sardinestream
