#include "sardinestream/maps/expert_demand.h"

#include <algorithm>
#include <cmath>

namespace sardinestream {
namespace {

// Weight of the newest sample in the estimate of now: at least this.
constexpr double least_weight = 0.2;
constexpr double slow_weight = 0.02;
constexpr double noise_weight = 0.15;
// A sample this many times further from the estimate than the noise tells of a change.
constexpr double change_ratio = 2.2;
// Distances below this are never a change.
constexpr double least_change = 0.12;
// Samples after a change before the estimate counts as settled.
constexpr int settling_samples = 2;
// More changes than this one after the other are noise that has grown.
constexpr int most_changes_in_a_row = 3;

} // namespace

expert_demand::expert_demand(int sets, int experts)
    : set_count(sets), expert_count(experts),
      fast(static_cast<std::size_t>(sets) * static_cast<std::size_t>(experts),
           1.0 / std::max(1, experts)),
      slow(fast)
{
}

double expert_demand::distance_to(const std::vector<double>& shares) const
{
    double sum = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        sum += std::abs(shares[i] - this->fast[i]);
    }
    return sum / std::max(1, this->set_count);
}

bool expert_demand::is_change(double distance)
{
    if (distance > std::max(least_change, change_ratio * this->noise) &&
        this->changes_in_a_row < most_changes_in_a_row) {
        ++this->changes_in_a_row;
        return true;
    }
    this->changes_in_a_row = 0;
    this->noise += noise_weight * (distance - this->noise);
    return false;
}

bool expert_demand::is_settled() const
{
    // A sample that differs again from the first one after a change lies wholly behind the change.
    return this->samples_since_change >= settling_samples || this->changes_in_a_row >= 2;
}

void expert_demand::add_sample(absl::Span<const double> counts)
{
    if (counts.size() != this->fast.size()) {
        return;
    }
    std::vector<double> shares(counts.begin(), counts.end());
    const auto width = static_cast<std::size_t>(this->expert_count);
    for (std::size_t begin = 0; begin < shares.size(); begin += width) {
        double total = 0;
        for (const double one : counts.subspan(begin, width)) {
            total += one;
        }
        if (total <= 0) {
            return;
        }
        for (std::size_t i = begin; i < begin + width; ++i) {
            shares[i] /= total;
        }
    }
    const bool changed = this->samples_taken == 0 || this->is_change(this->distance_to(shares));
    this->samples_since_change = changed ? 1 : this->samples_since_change + 1;
    ++this->samples_taken;
    const double weight = std::max(least_weight, 1.0 / this->samples_since_change);
    const double weight_in_slow = this->samples_taken == 1 ? 1.0 : slow_weight;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        this->fast[i] += weight * (shares[i] - this->fast[i]);
        this->slow[i] += weight_in_slow * (shares[i] - this->slow[i]);
    }
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
