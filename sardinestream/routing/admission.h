// Admission control at the agent: decides which request may start on the backend server, and when.
//
// The queue is bounded by time, not by length: a request that is not expected to start within its
// own remaining time, or within `max_wait`, is refused at once with a retry-after time.
//
//     auto admitted = queue.admit({.priority = priority_class::interactive,
//                                  .remaining_time = absl::Seconds(5),
//                                  .cancelled = [&] { return stream->ended(); }});
//     if (!admitted.ok()) { return admitted.refusal_reason(); }
//     admitted.slot().progress();                 // for each token
//     admitted.slot().complete({...});            // measurements; the destructor frees the slot
//
// Owns the slots, the queue and the values of the server's load report. Does not communicate with
// the server.

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

// Returns the time since an origin of its own, which no step of the time of day moves.
[[nodiscard]] absl::Time monotonic_time();

struct admission_options {
    int slots = 8; // concurrent requests, 1 to 100000
    // Slots that only requests of class `reserved` may use, and slots that class `batch` may not
    // use. Their sum must be below `slots`.
    int reserved_slots = 0;
    int interactive_slots = 0;
    // A request with a longer expected wait is refused.
    absl::Duration max_wait = absl::Seconds(2);
    // Assumed service time until the first request has completed.
    absl::Duration initial_service_time = absl::Milliseconds(100);
    std::function<absl::Time()> now = monotonic_time;
};

struct admission_request {
    catalogue::priority_class priority = catalogue::priority_class::interactive;
    absl::Duration remaining_time = absl::InfiniteDuration();
    // Runs alone: starts only when no other request runs, and no other starts until it has ended.
    // Set for requests that are suspected of crashing the server.
    bool exclusive = false;
    // Polled while the request waits; a request for which it returns true leaves the queue. May be
    // empty.
    std::function<bool()> cancelled = nullptr;
};

class admission_controller;

// The right to run one request on the backend server. The destructor releases it.
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

    // Records that the request produced output.
    void progress();

    // Records that the server could not be reached or that the connection to it was lost. The load
    // report says so until a request succeeds or 1 s has passed; otherwise a server that fails
    // every request at once would look idle and attract load.
    void fail();

    // Records that the request completed, and adds its times to the speed estimate.
    void complete(const completion_sample& sample);

private:
    friend class admission_controller;
    admission_slot(admission_controller* queue, absl::Time start, bool is_exclusive)
        : owner(queue), started(start), exclusive(is_exclusive)
    {
    }

    admission_controller* owner;
    absl::Time started;
    bool exclusive = false;
};

// A slot, or the reason why none was granted. The outcome of such a refusal is always `not_run`.
class admission_result {
public:
    explicit admission_result(admission_slot granted) : held(std::move(granted)) {}
    explicit admission_result(refusal reason) : refused(std::move(reason)) {}

    [[nodiscard]] bool ok() const { return this->held.has_value(); }
    // Precondition: `ok()`.
    [[nodiscard]] admission_slot& slot() { return *this->held; }
    // Precondition: not `ok()`. Codes: deadline_too_short, overloaded, draining, cancelled,
    // deadline_exceeded.
    [[nodiscard]] const refusal& refusal_reason() const { return this->refused; }

private:
    std::optional<admission_slot> held;
    refusal refused;
};

// Queues requests by priority class and grants slots to them. Thread-safe. Must outlive its slots.
class admission_controller {
public:
    // Fails with `kInvalidArgument` if an option is out of range.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<admission_controller>>
    create(admission_options options);

    ~admission_controller() = default;
    admission_controller(const admission_controller&) = delete;
    admission_controller& operator=(const admission_controller&) = delete;

    // Refuses at once, or blocks until a slot is granted, the request is cancelled, its remaining
    // time has passed, or `drain_queue_timeout` has passed since `drain()`.
    [[nodiscard]] admission_result admit(const admission_request& request);

    // Returns the expected time until a new request of this class would start.
    [[nodiscard]] absl::Duration expected_wait(catalogue::priority_class priority) const;

    // Refuses every new request from now on. Requests that already wait are refused once
    // `drain_queue_timeout` has passed.
    void drain();

    // Blocks until no request runs or waits; returns false if `deadline` passes first.
    bool wait_until_idle(absl::Time deadline);

    // Returns the current load, for the agent's load report.
    [[nodiscard]] server_load load() const;

    static constexpr absl::Duration drain_queue_timeout = absl::Seconds(2);

private:
    friend class admission_slot;

    struct waiter {
        bool exclusive = false;
        bool granted = false;
        absl::Time started; // set when granted
    };
    static constexpr std::size_t priority_count = 3;

    explicit admission_controller(admission_options options);

    [[nodiscard]] refusal refuse(refusal_code code, absl::string_view message)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::optional<refusal> check_new(const admission_request& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::Duration expected_wait_locked(std::size_t priority) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::Duration service_time_locked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Uses completed requests only, unlike `service_time_locked`.
    [[nodiscard]] absl::Duration measured_service_time_locked() const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] int slots_for(std::size_t priority) const;
    [[nodiscard]] bool can_start(std::size_t priority, bool exclusive) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Grants free slots to the first requests of the queues, highest priority class first.
    void grant_locked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void start_locked(waiter& started) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] int queued_locked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    void release(absl::Time started, bool exclusive);
    void record_progress();
    void record_completion(const completion_sample& sample);
    void record_failure();

    const admission_options options;
    mutable absl::Mutex mutex;
    std::array<std::list<waiter*>, priority_count> queues ABSL_GUARDED_BY(mutex);
    // From 0 to `slots`; exactly 1 while an exclusive request runs.
    int running ABSL_GUARDED_BY(mutex) = 0;
    bool exclusive_running ABSL_GUARDED_BY(mutex) = false;
    // Exclusive requests that run or wait.
    int suspects ABSL_GUARDED_BY(mutex) = 0;
    bool draining ABSL_GUARDED_BY(mutex) = false;
    absl::Time drain_deadline ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
    // Sum of the start times of all running requests, each as an offset from `time_origin`; yields
    // their mean age without a list.
    absl::Duration start_offset_sum ABSL_GUARDED_BY(mutex) = absl::ZeroDuration();
    const absl::Time time_origin;
    absl::Time last_progress ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    absl::Time last_failure ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    speed_estimate speed ABSL_GUARDED_BY(mutex);
    retry_pacer pacer;
    random_source random ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_ADMISSION_H_
