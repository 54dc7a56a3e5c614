// How often each expert is chosen: an estimate of now and a slow one of the whole day.
//
// Demand stays as it is for seconds, with noise from the requests that happen to run, and then
// changes at once. While it stays, samples are averaged; one that lies further from the average
// than the noise begins a new average. The slow estimate keeps what has been liked before, so that
// a map can be made that suits both.
// Not thread-safe.

#ifndef SARDINESTREAM_MAPS_EXPERT_DEMAND_H_
#define SARDINESTREAM_MAPS_EXPERT_DEMAND_H_

#include <vector>

#include "absl/types/span.h"

namespace sardinestream {

class expert_demand {
public:
    expert_demand() = default;
    expert_demand(int sets, int experts);

    // Takes what was chosen since the last sample, by set and expert. Samples without a choice are
    // left out.
    void add_sample(absl::Span<const double> counts);

    // Shares of the choices of each set, by set and expert; each set sums to one.
    [[nodiscard]] const std::vector<double>& now() const { return this->fast; }

    // False right after a change, whose first sample may hold choices from before it.
    [[nodiscard]] bool is_settled() const;

    // The same, with `past_weight` (0 to 1) given to the whole day.
    [[nodiscard]] std::vector<double> with_past(double past_weight) const;

    [[nodiscard]] int samples() const { return this->samples_taken; }
    [[nodiscard]] int sets() const { return this->set_count; }
    [[nodiscard]] int experts() const { return this->expert_count; }

private:
    int set_count = 0;
    int expert_count = 0;
    // Sum of the differences between the shares and the estimate, a mean over the sets: 0 to 2.
    [[nodiscard]] double distance_to(const std::vector<double>& shares) const;
    [[nodiscard]] bool is_change(double distance);

    int samples_taken = 0;
    int samples_since_change = 0;
    int changes_in_a_row = 0;
    // Mean distance of the samples between changes.
    double noise = 0.1;
    std::vector<double> fast;
    std::vector<double> slow;
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_EXPERT_DEMAND_H_
