// How often each expert is chosen: a fast estimate of now and a slow one of the whole day.
//
// Demand changes within seconds and returns to what it was. The fast estimate follows a change; the
// slow one keeps what has been liked before, so that a map can be made that suits both.
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

    // The same, with `past_weight` (0 to 1) given to the whole day.
    [[nodiscard]] std::vector<double> with_past(double past_weight) const;

    [[nodiscard]] int samples() const { return this->samples_taken; }
    [[nodiscard]] int sets() const { return this->set_count; }
    [[nodiscard]] int experts() const { return this->expert_count; }

private:
    int set_count = 0;
    int expert_count = 0;
    int samples_taken = 0;
    std::vector<double> fast;
    std::vector<double> slow;
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_EXPERT_DEMAND_H_
