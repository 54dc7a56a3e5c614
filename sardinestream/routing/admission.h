// Admission at the agent: which request may start on the backend server, and when.
//
// The queue is bounded by time: a request that is not expected to start within its own remaining
// time, or within `max_wait`, is refused at once with a time to come back.
//
//     auto admitted = queue.admit({.priority = priority_class::interactive,
//                                  .remaining_time = absl::Seconds(5),
//                                  .cancelled = [&] { return stream->ended(); }});
//     if (!admitted.ok()) { return admitted.why(); }
//     admitted.slot().progress();                 // at each token
//     admitted.slot().complete({...});            // measurements; the destructor frees the slot
//
// Owns slots, the queue and the server's load report. Never talks to the server.

#ifndef SARDINESTREAM_ROUTING_ADMISSION_H_
#define SARDINESTREAM_ROUTING_ADMISSION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <utility>

#include "sardinestream/base/outcome.h"
#include "sardinestream/routing/backoff.h"
#include "sardinestream/routing/server_view.h"
#include "sardinestream/routing/speed_estimate.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::routing {

struct admission_options {
    int slots = 8; // requests that run at once, 1 to 100000
    // Slots that only `reserved` requests may take, and slots that `batch` may not take.
    // Together below `slots`.
    int reserved_slots = 0;
    int interactive_slots = 0;
    absl::Duration max_wait = absl::Seconds(2);
    // Stands for the service time until the first request has ended.
    absl::Duration initial_service_time = absl::Milliseconds(100);
    std::function<absl::Time()> now = absl::Now;
};

struct admission_request {
    catalogue::priority_class priority = catalogue::priority_class::interactive;
    absl::Duration remaining_time = absl::InfiniteDuration();
    // A crash suspect: starts when nothing else runs, and nothing else starts beside it.
    bool exclusive = false;
    // Polled while the request waits; may be empty.
    std::function<bool()> cancelled = nullptr;
};

class admission;

// The right to run one request. The destructor gives it back.
class admission_slot {
public:
    admission_slot(admission_slot&& other) noexcept
        : owner(std::exchange(other.owner, nullptr)), started(other.started),
          exclusive(other.exclusive)
    {
    }
    ~admission_slot();
    admission_slot(const admission_slot&) = delete;
    admission_slot& operator=(const admission_slot&) = delete;
    admission_slot& operator=(admission_slot&&) = delete;

    // The request produced output.
    void progress();

    // The server could not be reached or was lost. Reported until a request succeeds or some time
    // has passed, so that a dead server does not look like a free one.
    void fail();

    // The request ended; its times go into the estimates.
    void complete(const completion_sample& sample);

private:
    friend class admission;
    admission_slot(admission* queue, absl::Time start, bool is_exclusive)
        : owner(queue), started(start), exclusive(is_exclusive)
    {
    }

    admission* owner;
    absl::Time started;
    bool exclusive = false;
};

// A slot, or why there is none. The outcome of such a refusal is always `not_run`.
class admission_result {
public:
    explicit admission_result(admission_slot granted) : held(std::move(granted)) {}
    explicit admission_result(refusal reason) : refused(std::move(reason)) {}

    [[nodiscard]] bool ok() const { return this->held.has_value(); }
    // Precondition: `ok()`.
    [[nodiscard]] admission_slot& slot() { return *this->held; }
    // Precondition: not `ok()`. Codes: deadline_too_short, overloaded, draining, cancelled,
    // deadline_exceeded.
    [[nodiscard]] const refusal& why() const { return this->refused; }

private:
    std::optional<admission_slot> held;
    refusal refused;
};

// Thread-safe. Must outlive its slots.
class admission {
public:
    // Fails with `kInvalidArgument` where an option is out of range.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<admission>>
    create(admission_options options);

    ~admission() = default;
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;

    // Refuses at once, or waits for a slot until the request is cancelled or its time has passed.
    [[nodiscard]] admission_result admit(const admission_request& request);

    // The expected time until a request of this class would start.
    [[nodiscard]] absl::Duration expected_wait(catalogue::priority_class priority) const;

    // From now on refuses every new request. Waiting requests keep at most `drain_wait` more.
    void drain();

    // Returns true once nothing runs or waits, false at `deadline`.
    bool wait_until_idle(absl::Time deadline);

    // The present load, for the agent's report.
    [[nodiscard]] server_load load() const;

    static constexpr absl::Duration drain_wait = absl::Seconds(2);

private:
    friend class admission_slot;

    struct waiter {
        bool exclusive = false;
        bool granted = false;
        absl::Time started; // when granted
    };
    static constexpr std::size_t priority_count = 3;

    explicit admission(admission_options options);

    [[nodiscard]] refusal refuse(refusal_code code, absl::string_view message)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::optional<refusal> check_new(const admission_request& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::Duration wait_locked(std::size_t priority) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::Duration service_time_locked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // From completions alone.
    [[nodiscard]] absl::Duration measured_service_time_locked() const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] int slots_for(std::size_t priority) const;
    [[nodiscard]] bool can_start(std::size_t priority, bool exclusive) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Hands free slots to the heads of the queues, highest class first.
    void grant_locked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void start_locked(waiter& started) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] int queued_locked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    void release(absl::Time started, bool exclusive);
    void note_progress();
    void note_completion(const completion_sample& sample);
    void note_failure();

    const admission_options options;
    mutable absl::Mutex mutex;
    std::array<std::list<waiter*>, priority_count> queues ABSL_GUARDED_BY(mutex);
    // Between zero and `slots`; one while an exclusive request runs.
    int running ABSL_GUARDED_BY(mutex) = 0;
    bool exclusive_running ABSL_GUARDED_BY(mutex) = false;
    int suspects ABSL_GUARDED_BY(mutex) = 0;
    bool draining ABSL_GUARDED_BY(mutex) = false;
    absl::Time drain_deadline ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
    // Sum over running requests of their start, measured from `epoch`.
    absl::Duration start_sum ABSL_GUARDED_BY(mutex) = absl::ZeroDuration();
    const absl::Time epoch;
    absl::Time last_progress ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    absl::Time last_failure ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    speed_estimate speed ABSL_GUARDED_BY(mutex);
    retry_pacer pacer;
    random_source random ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_ADMISSION_H_
