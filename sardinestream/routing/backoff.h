// Times to wait: between attempts of one request, and before a refused caller comes back.
//
//     absl::SleepFor(backoff_delay(attempt, random));
//
//     retry_pacer pacer;
//     refused.retry_after = pacer.next(drain_interval, queue_time, absl::Now(), random);

#ifndef SARDINESTREAM_ROUTING_BACKOFF_H_
#define SARDINESTREAM_ROUTING_BACKOFF_H_

#include "sardinestream/routing/routing_policy.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::routing {

// Exponential backoff with full jitter: between zero and 10 ms * 2^attempt, at most 1 s.
[[nodiscard]] absl::Duration backoff_delay(int attempt, random_source& random);

// Spreads the return of refused callers over the time that the server needs to serve them: each
// refusal takes the next place in a line that moves at the drain rate, with jitter on top.
// Thread-safe.
class retry_pacer {
public:
    // `drain_interval`: time between two completions. `queue_time`: time until the present queue
    // has drained. Returns between 50 ms and 30 s.
    [[nodiscard]] absl::Duration next(absl::Duration drain_interval, absl::Duration queue_time,
                                      absl::Time now, random_source& random);

private:
    absl::Mutex mutex;
    // The place of the last refused caller.
    absl::Time last_return ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_BACKOFF_H_
