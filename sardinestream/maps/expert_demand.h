// Estimates how often each expert is selected: a short-term estimate of current demand and a
// long-term one over the whole day.
//
// Demand is stable for seconds, apart from noise caused by the mix of running requests, and then
// changes abruptly. While it is stable, samples are averaged. A sample that differs from the
// average by more than the noise starts a new average. The long-term estimate retains earlier
// demand, so that a map can be planned that suits both. Not thread-safe.

#ifndef SARDINESTREAM_MAPS_EXPERT_DEMAND_H_
#define SARDINESTREAM_MAPS_EXPERT_DEMAND_H_

#include <vector>

#include "absl/types/span.h"

namespace sardinestream {

class expert_demand {
public:
    expert_demand() = default;
    expert_demand(int sets, int experts);

    // Adds the selections since the last sample, by set and expert. Ignores the sample if its size
    // is wrong or if any set has no selections.
    void add_sample(absl::Span<const double> counts);

    // Share of each expert in the selections of its set, by set and expert; each set sums to one.
    [[nodiscard]] const std::vector<double>& current_shares() const { return this->recent; }

    // Returns false right after a change, because the first sample of a change may include
    // selections made before it.
    [[nodiscard]] bool is_stable() const;

    // Like `current_shares`, but blended with the long-term estimate, which has the weight
    // `long_term_weight` (0 to 1).
    [[nodiscard]] std::vector<double> blended_shares(double long_term_weight) const;

    [[nodiscard]] int sample_count() const { return this->total_samples; }
    [[nodiscard]] int sets() const { return this->set_count; }
    [[nodiscard]] int experts() const { return this->expert_count; }

private:
    int set_count = 0;
    int expert_count = 0;
    // Sum of the absolute differences between the shares and the estimate, averaged over the sets:
    // 0 to 2.
    [[nodiscard]] double distance_to(const std::vector<double>& shares) const;
    [[nodiscard]] bool is_change(double distance);

    int total_samples = 0;
    int samples_since_change = 0;
    int consecutive_changes = 0;
    // Moving average of the distance of samples that are not changes.
    double noise = 0.1;
    std::vector<double> recent;
    std::vector<double> long_term;
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_EXPERT_DEMAND_H_
