#include "sardinestream/routing/backoff.h"

#include <algorithm>

namespace sardinestream::routing {
namespace {

constexpr absl::Duration min_backoff_bound = absl::Milliseconds(10);
constexpr absl::Duration max_backoff_bound = absl::Seconds(1);
constexpr int max_doublings = 10;
constexpr absl::Duration min_retry_after = absl::Milliseconds(50);
constexpr absl::Duration max_retry_after = absl::Seconds(30);
// Upper bound of the random addition, as a fraction of the waiting time.
constexpr double jitter_fraction = 0.25;

double random_fraction(random_source& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace

absl::Duration backoff_delay(int attempt, random_source& random)
{
    const int doublings = std::clamp(attempt, 0, max_doublings);
    const absl::Duration bound = std::min(max_backoff_bound, min_backoff_bound * (1 << doublings));
    return bound * random_fraction(random);
}

absl::Duration retry_pacer::next_retry_after(absl::Duration drain_interval,
                                             absl::Duration queue_time, absl::Time now,
                                             random_source& random)
{
    absl::MutexLock lock(&this->mutex);
    const absl::Time latest = now + max_retry_after;
    const absl::Time place = std::max(now + queue_time, this->last_retry_time) + drain_interval;
    // If the next retry time lies beyond the longest wait, the sequence restarts in the middle of
    // that wait, and this caller gets a random time in its second half.
    this->last_retry_time = place <= latest ? place : now + max_retry_after * 0.5;
    const absl::Duration wait =
        place <= latest ? place - now : max_retry_after * (0.5 + 0.5 * random_fraction(random));
    return std::clamp(wait * (1.0 + jitter_fraction * random_fraction(random)), min_retry_after,
                      max_retry_after);
}

} // namespace sardinestream::routing
