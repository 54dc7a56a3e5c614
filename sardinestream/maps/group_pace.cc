#include "sardinestream/maps/group_pace.h"

#include <algorithm>

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr int most_counting_ranks = 12;
// Of counts that a coordinator takes in: a quarter of a link of 8 Mbit/s.
constexpr int most_count_bytes_per_s = 250000;
constexpr int ms_per_s = 1000;
constexpr milliseconds shortest_interval{100};

// Every so many ranks, one tells its counts.
int counting_stride(int ranks)
{
    return (std::max(1, ranks) + most_counting_ranks - 1) / most_counting_ranks;
}

} // namespace

bool tells_counts(int rank, int ranks)
{
    return rank % counting_stride(ranks) == 0;
}

int counting_ranks(int ranks)
{
    const int stride = counting_stride(ranks);
    return (ranks + stride - 1) / stride;
}

milliseconds counts_interval(const map_shape& shape)
{
    // Each count takes half a byte.
    const int bytes = counting_ranks(shape.ranks) * shape.sets * shape.experts / 2;
    return std::max(shortest_interval, milliseconds(bytes / (most_count_bytes_per_s / ms_per_s)));
}

milliseconds state_interval(int ranks)
{
    constexpr milliseconds per_rank{3};
    constexpr milliseconds longest{300};
    return std::clamp(per_rank * ranks, shortest_interval, longest);
}

milliseconds prepare_patience(int ranks)
{
    // A map goes through other agents, and each engine reads it whole.
    constexpr milliseconds least{130};
    constexpr milliseconds per_rank{2};
    return least + per_rank * ranks;
}

milliseconds order_patience(int ranks)
{
    constexpr milliseconds least{45};
    return least + milliseconds(ranks / 2);
}

} // namespace sardinestream
