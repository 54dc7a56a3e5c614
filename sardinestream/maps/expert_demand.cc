#include "sardinestream/maps/expert_demand.h"

#include <algorithm>
#include <cmath>

namespace sardinestream {
namespace {

// Minimum weight of the newest sample in the short-term estimate.
constexpr double min_sample_weight = 0.2;
constexpr double long_term_sample_weight = 0.02;
constexpr double noise_weight = 0.15;
// A sample whose distance from the estimate exceeds the noise by this factor indicates a change.
constexpr double change_ratio = 2.2;
// Distances below this never indicate a change.
constexpr double min_change_distance = 0.12;
// Samples after a change until the estimate is considered stable.
constexpr int min_stable_samples = 2;
// More consecutive changes than this are treated as increased noise.
constexpr int max_consecutive_changes = 3;

} // namespace

expert_demand::expert_demand(int sets, int experts)
    : set_count(sets), expert_count(experts),
      recent(static_cast<std::size_t>(sets) * static_cast<std::size_t>(experts),
             1.0 / std::max(1, experts)),
      long_term(recent)
{
}

double expert_demand::distance_to(const std::vector<double>& shares) const
{
    double sum = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        sum += std::abs(shares[i] - this->recent[i]);
    }
    return sum / std::max(1, this->set_count);
}

bool expert_demand::is_change(double distance)
{
    if (distance > std::max(min_change_distance, change_ratio * this->noise) &&
        this->consecutive_changes < max_consecutive_changes) {
        ++this->consecutive_changes;
        return true;
    }
    this->consecutive_changes = 0;
    this->noise += noise_weight * (distance - this->noise);
    return false;
}

bool expert_demand::is_stable() const
{
    // A second consecutive change means that the newest sample lies entirely after the change.
    return this->samples_since_change >= min_stable_samples || this->consecutive_changes >= 2;
}

void expert_demand::add_sample(absl::Span<const double> counts)
{
    if (counts.size() != this->recent.size()) {
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
    const bool changed = this->total_samples == 0 || this->is_change(this->distance_to(shares));
    this->samples_since_change = changed ? 1 : this->samples_since_change + 1;
    ++this->total_samples;
    const double weight = std::max(min_sample_weight, 1.0 / this->samples_since_change);
    const double weight_in_long_term = this->total_samples == 1 ? 1.0 : long_term_sample_weight;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        this->recent[i] += weight * (shares[i] - this->recent[i]);
        this->long_term[i] += weight_in_long_term * (shares[i] - this->long_term[i]);
    }
}

std::vector<double> expert_demand::blended_shares(double long_term_weight) const
{
    std::vector<double> mixed(this->recent.size());
    for (std::size_t i = 0; i < mixed.size(); ++i) {
        mixed[i] = (1 - long_term_weight) * this->recent[i] + long_term_weight * this->long_term[i];
    }
    return mixed;
}

} // namespace sardinestream
