#include "sardinestream/maps/expert_demand.h"

#include <algorithm>

namespace sardinestream {
namespace {

// Weight of the newest sample in the two estimates.
constexpr double fast_weight = 0.5;
constexpr double slow_weight = 0.02;

} // namespace

expert_demand::expert_demand(int sets, int experts)
    : set_count(sets), expert_count(experts),
      fast(static_cast<std::size_t>(sets) * static_cast<std::size_t>(experts),
           1.0 / std::max(1, experts)),
      slow(fast)
{
}

void expert_demand::add_sample(absl::Span<const double> counts)
{
    if (counts.size() != this->fast.size()) {
        return;
    }
    const auto width = static_cast<std::size_t>(this->expert_count);
    for (std::size_t begin = 0; begin < counts.size(); begin += width) {
        double total = 0;
        for (const double one : counts.subspan(begin, width)) {
            total += one;
        }
        if (total <= 0) {
            return;
        }
        const double first = this->samples_taken == 0 ? 1.0 : fast_weight;
        const double first_slow = this->samples_taken == 0 ? 1.0 : slow_weight;
        for (std::size_t i = begin; i < begin + width; ++i) {
            this->fast[i] += first * (counts[i] / total - this->fast[i]);
            this->slow[i] += first_slow * (counts[i] / total - this->slow[i]);
        }
    }
    ++this->samples_taken;
}

std::vector<double> expert_demand::with_past(double past_weight) const
{
    std::vector<double> mixed(this->fast.size());
    for (std::size_t i = 0; i < mixed.size(); ++i) {
        mixed[i] = (1 - past_weight) * this->fast[i] + past_weight * this->slow[i];
    }
    return mixed;
}

} // namespace sardinestream
