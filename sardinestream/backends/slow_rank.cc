#include "sardinestream/backends/slow_rank.h"

#include <algorithm>

namespace sardinestream {

double typical_slowness(std::vector<double> slowness_by_rank)
{
    if (slowness_by_rank.empty()) {
        return 1;
    }
    // Of two middle values, the lower one.
    const auto middle =
        slowness_by_rank.begin() + static_cast<std::ptrdiff_t>((slowness_by_rank.size() - 1) / 2);
    std::nth_element(slowness_by_rank.begin(), middle, slowness_by_rank.end());
    return *middle;
}

double usable_capacity_share(double slowness, double typical)
{
    const double relative = slowness / std::max(1.0, typical);
    return std::clamp((unusable_slowness - relative) / (unusable_slowness - tolerated_slowness),
                      0.0, 1.0);
}

} // namespace sardinestream
