#include "sardinestream/routing/admission.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/base/settings.h"

namespace sardinestream::routing {
namespace {

constexpr int max_slots = 100000;
// A failure is reported for this time; after it the server is tried again.
constexpr absl::Duration failure_report_time = absl::Seconds(1);
constexpr absl::Duration cancel_poll_interval = absl::Milliseconds(50);

std::size_t index_of(catalogue::priority_class priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

absl::Time monotonic_time()
{
    return absl::UnixEpoch() +
           absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

admission_slot::~admission_slot()
{
    if (this->owner != nullptr) {
        this->owner->release(this->started, this->exclusive);
    }
}

void admission_slot::progress()
{
    this->owner->record_progress();
}

void admission_slot::fail()
{
    this->owner->record_failure();
}

void admission_slot::complete(const completion_sample& sample)
{
    this->owner->record_completion(sample);
}

absl::StatusOr<std::unique_ptr<admission_controller>>
admission_controller::create(admission_options options)
{
    SARDINE_RETURN_IF_ERROR(check_range("slots", options.slots, 1, max_slots));
    SARDINE_RETURN_IF_ERROR(
        check_range("reserved_slots", options.reserved_slots, 0, options.slots - 1));
    SARDINE_RETURN_IF_ERROR(check_range("interactive_slots", options.interactive_slots, 0,
                                        options.slots - 1 - options.reserved_slots));
    return std::unique_ptr<admission_controller>(new admission_controller(std::move(options)));
}

admission_controller::admission_controller(admission_options chosen)
    : options(std::move(chosen)), time_origin(this->options.now()), random(random_u64())
{
}

admission_result admission_controller::admit(const admission_request& request)
{
    absl::MutexLock lock(&this->mutex);
    if (std::optional<refusal> reason = this->check_new(request)) {
        return admission_result(*std::move(reason));
    }
    const absl::Time deadline = this->options.now() + request.remaining_time;
    auto& queue = this->queues[index_of(request.priority)];
    waiter self;
    self.exclusive = request.exclusive;
    const auto position = queue.insert(queue.end(), &self);
    this->suspects += request.exclusive ? 1 : 0;
    this->grant_locked();
    refusal_code ended_by = refusal_code::none;
    while (!self.granted && ended_by == refusal_code::none) {
        const absl::Time latest = std::min(deadline, this->drain_deadline);
        const absl::Duration left = latest - this->options.now();
        if (left <= absl::ZeroDuration()) {
            ended_by =
                latest == deadline ? refusal_code::deadline_exceeded : refusal_code::draining;
            break;
        }
        if (request.cancelled && request.cancelled()) {
            ended_by = refusal_code::cancelled;
            break;
        }
        this->mutex.AwaitWithTimeout(absl::Condition(&self.granted),
                                     std::min(left, cancel_poll_interval));
    }
    if (self.granted) {
        return admission_result(admission_slot(this, self.started, request.exclusive));
    }
    queue.erase(position);
    this->suspects -= request.exclusive ? 1 : 0;
    this->grant_locked();
    return admission_result(this->refuse(ended_by, "the request ended while it waited for a slot"));
}

absl::Duration admission_controller::expected_wait(catalogue::priority_class priority) const
{
    absl::MutexLock lock(&this->mutex);
    return this->expected_wait_locked(index_of(priority));
}

void admission_controller::drain()
{
    absl::MutexLock lock(&this->mutex);
    if (this->draining) {
        return;
    }
    this->draining = true;
    this->drain_deadline = this->options.now() + drain_queue_timeout;
}

bool admission_controller::wait_until_idle(absl::Time deadline)
{
    absl::MutexLock lock(&this->mutex);
    auto idle = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        return this->running == 0 && this->queued_locked() == 0;
    };
    return this->mutex.AwaitWithDeadline(absl::Condition(&idle), deadline);
}

server_load admission_controller::load() const
{
    absl::MutexLock lock(&this->mutex);
    const absl::Time now = this->options.now();
    const measured_speed measured = this->speed.current(now);
    server_load load;
    load.running = static_cast<std::uint32_t>(this->running);
    load.queued = static_cast<std::uint32_t>(this->queued_locked());
    load.slots = static_cast<std::uint32_t>(this->options.slots);
    load.suspects = static_cast<std::uint32_t>(this->suspects);
    load.first_token_time = measured.first_token_time;
    load.token_time = measured.token_time;
    load.prefill_token_time = measured.prefill_token_time;
    load.service_time = measured.service_time;
    if (this->running > 0) {
        load.no_progress_for = now - this->last_progress;
        load.service_time = std::max(load.service_time, this->service_time_locked());
    }
    load.leaving = this->draining;
    load.failing = now - this->last_failure < failure_report_time;
    return load;
}

refusal admission_controller::refuse(refusal_code code, absl::string_view message)
{
    // The retry-after time uses the completion rate alone: a server that stalls now is expected to
    // drain at its former rate once it recovers. The wait is capped at the longest permitted queue.
    const absl::Duration interval = this->measured_service_time_locked() / this->options.slots;
    const absl::Duration wait =
        std::min(this->expected_wait_locked(priority_count - 1), this->options.max_wait);
    refusal reason;
    reason.code = code;
    reason.outcome = run_outcome::not_run;
    reason.message = std::string(message);
    reason.step = "admit";
    if (code == refusal_code::overloaded || code == refusal_code::deadline_too_short) {
        reason.retry_after =
            this->pacer.next_retry_after(interval, wait, this->options.now(), this->random);
    }
    count("sardine_admission_refusals_total", {{"code", std::string(to_string(code))}});
    return reason;
}

std::optional<refusal> admission_controller::check_new(const admission_request& request)
{
    if (this->draining) {
        return this->refuse(refusal_code::draining, "the backend server is leaving");
    }
    const absl::Duration wait = this->expected_wait_locked(index_of(request.priority));
    if (wait > this->options.max_wait) {
        return this->refuse(refusal_code::overloaded,
                            "the expected wait in the queue exceeds the maximum");
    }
    if (wait >= request.remaining_time) {
        return this->refuse(refusal_code::deadline_too_short,
                            "the request cannot start before its deadline");
    }
    return std::nullopt;
}

absl::Duration admission_controller::expected_wait_locked(std::size_t priority) const
{
    std::size_t ahead = 0;
    for (std::size_t i = 0; i <= priority; ++i) {
        ahead += this->queues[i].size();
    }
    const int usable = this->slots_for(priority);
    if (ahead == 0 && this->running < usable && !this->exclusive_running) {
        return absl::ZeroDuration();
    }
    const int over = std::max(0, this->running - usable) + 1;
    return this->service_time_locked() * (static_cast<double>(ahead) + over) / usable;
}

absl::Duration admission_controller::measured_service_time_locked() const
{
    const absl::Duration measured = this->speed.current(this->options.now()).service_time;
    return measured == absl::ZeroDuration() ? this->options.initial_service_time : measured;
}

absl::Duration admission_controller::service_time_locked() const
{
    const absl::Duration measured = this->measured_service_time_locked();
    if (this->running == 0) {
        return measured;
    }
    // Running requests that are older than the average show that the server has become slower.
    const absl::Duration mean_age =
        (this->options.now() - this->time_origin) - this->start_offset_sum / this->running;
    return std::max(measured, mean_age);
}

int admission_controller::slots_for(std::size_t priority) const
{
    int usable = this->options.slots;
    if (priority > index_of(catalogue::priority_class::reserved)) {
        usable -= this->options.reserved_slots;
    }
    if (priority > index_of(catalogue::priority_class::interactive)) {
        usable -= this->options.interactive_slots;
    }
    return usable;
}

bool admission_controller::can_start(std::size_t priority, bool exclusive) const
{
    if (this->exclusive_running) {
        return false;
    }
    return exclusive ? this->running == 0 : this->running < this->slots_for(priority);
}

void admission_controller::grant_locked()
{
    for (std::size_t priority = 0; priority < priority_count; ++priority) {
        auto& queue = this->queues[priority];
        while (!queue.empty()) {
            waiter* head = queue.front();
            if (!this->can_start(priority, head->exclusive)) {
                break;
            }
            queue.pop_front();
            this->start_locked(*head);
        }
        if (!queue.empty()) {
            // Lower classes must not overtake: they must not take a slot that this class may use,
            // nor delay an exclusive request that waits for the server to become idle.
            return;
        }
    }
}

void admission_controller::start_locked(waiter& started)
{
    const absl::Time now = this->options.now();
    started.granted = true;
    started.started = now;
    if (this->running == 0) {
        this->last_progress = now;
    }
    ++this->running;
    this->exclusive_running = started.exclusive;
    this->start_offset_sum += now - this->time_origin;
}

int admission_controller::queued_locked() const
{
    std::size_t queued = 0;
    for (const auto& queue : this->queues) {
        queued += queue.size();
    }
    return static_cast<int>(queued);
}

void admission_controller::release(absl::Time started, bool exclusive)
{
    absl::MutexLock lock(&this->mutex);
    --this->running;
    this->start_offset_sum -= started - this->time_origin;
    this->last_progress = this->options.now();
    if (exclusive) {
        this->exclusive_running = false;
        --this->suspects;
    }
    this->grant_locked();
}

void admission_controller::record_progress()
{
    absl::MutexLock lock(&this->mutex);
    this->last_progress = this->options.now();
}

void admission_controller::record_completion(const completion_sample& sample)
{
    absl::MutexLock lock(&this->mutex);
    this->last_failure = absl::InfinitePast();
    this->speed.add(sample, this->options.now());
}

void admission_controller::record_failure()
{
    absl::MutexLock lock(&this->mutex);
    this->last_failure = this->options.now();
}

} // namespace sardinestream::routing
