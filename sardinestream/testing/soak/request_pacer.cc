#include "sardinestream/testing/soak/request_pacer.h"

#include <algorithm>

namespace sardinestream::testing {

request_pacer::request_pacer(double per_s)
    : gap(per_s > 0 ? std::chrono::duration_cast<steady_clock::duration>(
                          std::chrono::duration<double>(1 / per_s))
                    : steady_clock::duration::zero())
{
}

steady_time request_pacer::next(steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    this->due = std::max(this->due + this->gap, now - most_late);
    return this->due;
}

} // namespace sardinestream::testing
