#include "sardinestream/maps/report_intervals.h"

#include <algorithm>

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr int max_reporting_ranks = 12;
// Counts that a coordinator receives: a quarter of a link of 8 Mbit/s.
constexpr int max_count_bytes_per_s = 250000;
constexpr int ms_per_s = 1000;
constexpr milliseconds min_interval{100};

// One rank out of this many reports its counts.
int reporting_stride(int ranks)
{
    return (std::max(1, ranks) + max_reporting_ranks - 1) / max_reporting_ranks;
}

} // namespace

bool reports_counts(int rank, int ranks)
{
    return rank % reporting_stride(ranks) == 0;
}

int count_reporting_ranks(int ranks)
{
    const int stride = reporting_stride(ranks);
    return (ranks + stride - 1) / stride;
}

milliseconds counts_interval(const map_shape& shape)
{
    // Each count takes half a byte.
    const int bytes = count_reporting_ranks(shape.ranks) * shape.sets * shape.experts / 2;
    return std::max(min_interval, milliseconds(bytes / (max_count_bytes_per_s / ms_per_s)));
}

milliseconds state_interval(int ranks)
{
    constexpr milliseconds per_rank{3};
    constexpr milliseconds max_interval{300};
    return std::clamp(per_rank * ranks, min_interval, max_interval);
}

milliseconds prepare_retry_interval(int ranks)
{
    // A map is relayed by other agents, and each engine reads all of it.
    constexpr milliseconds base_interval{130};
    constexpr milliseconds per_rank{2};
    return base_interval + per_rank * ranks;
}

milliseconds order_retry_interval(int ranks)
{
    constexpr milliseconds base_interval{45};
    return base_interval + milliseconds(ranks / 2);
}

} // namespace sardinestream
