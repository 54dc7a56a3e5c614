// Computes waiting times: between attempts of one request, and before a refused caller retries.
//
//     absl::SleepFor(backoff_delay(attempt, random));
//
//     retry_pacer pacer;
//     refused.retry_after =
//         pacer.next_retry_after(drain_interval, queue_time, absl::Now(), random);

#ifndef SARDINESTREAM_ROUTING_BACKOFF_H_
#define SARDINESTREAM_ROUTING_BACKOFF_H_

#include "sardinestream/routing/routing_policy.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::routing {

// Returns an exponential backoff delay with full jitter: uniform between zero and an upper bound of
// 10 ms * 2^attempt, at most 1 s.
[[nodiscard]] absl::Duration backoff_delay(int attempt, random_source& random);

// Computes retry-after times that spread the retries of refused callers over the time that the
// server needs to serve them: each refusal is assigned the next retry time in a sequence spaced by
// the drain interval, plus jitter. Thread-safe.
class retry_pacer {
public:
    // `drain_interval` is the time between two completions, `queue_time` the time until the current
    // queue has drained. Returns a duration between 50 ms and 30 s.
    [[nodiscard]] absl::Duration next_retry_after(absl::Duration drain_interval,
                                                  absl::Duration queue_time, absl::Time now,
                                                  random_source& random);

private:
    absl::Mutex mutex;
    // Retry time assigned to the last refused caller, without its jitter.
    absl::Time last_retry_time ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_BACKOFF_H_
