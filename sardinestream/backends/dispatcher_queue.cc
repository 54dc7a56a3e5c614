// Implements the part of the dispatcher that queues requests until a server is free.

#include <algorithm>
#include <set>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

#include "sardinestream/backends/dispatcher.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

// Bounds of the retry delay that a refusal carries.
constexpr std::chrono::milliseconds max_retry_after{4000};
constexpr std::chrono::milliseconds min_retry_after{100};
constexpr std::chrono::milliseconds no_server_retry_after{1000};
// Minimum queue length at which requests are refused on arrival.
constexpr std::size_t min_queue_to_refuse = 4;
// Requests that may be passed over because the free servers do not suit them; bounds the work under
// the lock.
constexpr std::size_t max_passed_over = 4;
// New requests that may wait for much memory at the same time. Streams that have begun are not
// refused and may be more.
constexpr int max_waiting_large = 2;

} // namespace

// One request in a queue. Owned by the waiting thread.
struct dispatcher::waiter {
    explicit waiter(const placement_request& wanted)
        : request(&wanted), order{wanted.has_begun, wanted.priority, steady_clock::now(),
                                  wanted.max_wait, wanted.first_event_by}
    {
    }
    ~waiter()
    {
        if (this->event >= 0) {
            ::close(this->event);
        }
    }
    waiter(const waiter&) = delete;
    waiter& operator=(const waiter&) = delete;

    // Must succeed before the request is queued. Returns false if no descriptor is available.
    [[nodiscard]] bool open_event()
    {
        this->event = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        return this->event >= 0;
    }

    const placement_request* const request;
    const queue_entry order;
    // Its present server may still answer, so that it must not be used as a probe.
    bool has_server = false;
    // An eventfd that is written to once `assigned` is set.
    int event = -1;
    std::optional<placement> assigned;
};

absl::Status dispatcher::refuse_without_server(const placement_request& request) const
{
    return refuse(absl::StatusCode::kUnavailable, request.service,
                  this->evacuated.empty() ? "no usable server"
                                          : "no usable server, with data centres evacuated",
                  no_server_retry_after);
}

int dispatcher::number_ahead(const waiter& self, const service_queue& queue,
                             const service_policy* policy, steady_time now)
{
    const urgency own = urgency_of(self.order, policy, now);
    return static_cast<int>(
        std::count_if(queue.waiters.begin(), queue.waiters.end(), [&](const waiter* other) {
            return goes_before(urgency_of(other->order, policy, now), own);
        }));
}

const service_policy* dispatcher::urgency_policy(const std::string& service) const
{
    const auto declared = this->policies.find(service);
    return declared != this->policies.end() && has_urgency_order(declared->second)
               ? &declared->second
               : nullptr;
}

std::chrono::milliseconds dispatcher::expected_wait(const waiter& self, service_queue& queue,
                                                    steady_time now) const
{
    const placement_request& request = *self.request;
    const service_policy* const policy = this->urgency_policy(request.service);
    const double ahead = 1 + number_ahead(self, queue, policy, now);
    if (policy == nullptr) {
        return queue.completion_rate.estimated_wait(ahead, now, max_retry_after);
    }
    // More urgent requests that are yet to come are served first as well.
    double more_urgent_per_s = 0;
    for (const auto& [priority, rate] : queue.placement_rates) {
        more_urgent_per_s += priority < request.priority ? rate.per_second(now) : 0;
    }
    const double left_per_s = std::max(queue.completion_rate.per_second(now) - more_urgent_per_s,
                                       queue.placement_rates[request.priority].per_second(now));
    return wait_at_rate(ahead, left_per_s, max_retry_after);
}

bool dispatcher::has_backlog(const std::string& service) const
{
    const auto queue = this->queues.find(service);
    if (queue == this->queues.end()) {
        return false;
    }
    const std::list<waiter*>& waiters = queue->second.waiters;
    // A request whose silent server may still answer does not wait for room alone.
    return std::count_if(waiters.begin(), waiters.end(),
                         [](const waiter* each) { return !each->has_server; }) > 1;
}

int dispatcher::waiting_large(const service_queue& queue) const
{
    int large = 0;
    for (const waiter* other : queue.waiters) {
        large += this->is_large(*other->request) ? 1 : 0;
    }
    return large;
}

absl::Status dispatcher::check_queue(const waiter& self, service_queue& queue, steady_time now)
{
    const placement_request& request = *self.request;
    if (!this->has_usable_server(request)) {
        return this->refuse_without_server(request);
    }
    SARDINE_RETURN_IF_ERROR(this->check_returns(request, now + request.max_wait, now));
    if (this->is_large(request) && this->waiting_large(queue) >= max_waiting_large) {
        return refuse(absl::StatusCode::kResourceExhausted, request.service,
                      "no server has the memory", min_retry_after);
    }
    // Without a queue the completion rate reflects the arrivals rather than the capacity of the
    // servers; shortly after the start it is unknown.
    if (queue.waiters.size() < min_queue_to_refuse || !queue.completion_rate.is_known(now)) {
        return absl::OkStatus();
    }
    const std::chrono::milliseconds wait = this->expected_wait(self, queue, now);
    if (wait <= request.max_wait) {
        return absl::OkStatus();
    }
    // Spreads the callers' retries over the time in which the queue drains.
    const double spread = 0.5 + this->draw() / 2;
    const auto retry_delay = std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(wait.count()) * spread));
    count("sardine_queue_refusals_total",
          {{"service", request.service}, {"priority", absl::StrCat(request.priority)}});
    return refuse(absl::StatusCode::kResourceExhausted, request.service, "queue full",
                  std::max(retry_delay, min_retry_after));
}

absl::StatusOr<placement> dispatcher::place(const placement_request& request,
                                            const hangup_watch& caller)
{
    waiter self(request);
    {
        const absl::MutexLock lock(&this->mutex);
        service_queue& queue = this->queues[request.service];
        std::optional<placement> probe = this->try_probe(request, steady_clock::now());
        if (probe.has_value()) {
            return *std::move(probe);
        }
        if (!request.has_begun) {
            SARDINE_RETURN_IF_ERROR(this->check_availability(request, steady_clock::now()));
        }
        const steady_time now = steady_clock::now();
        const service_policy* const policy = this->urgency_policy(request.service);
        const bool overtakes = number_ahead(self, queue, policy, now) == 0;
        if (overtakes) {
            std::optional<placement> assigned = this->try_place(request);
            if (assigned.has_value()) {
                queue.placement_rates[request.priority].add(now);
                return *std::move(assigned);
            }
        }
        if (!self.open_event()) {
            return refuse(absl::StatusCode::kResourceExhausted, request.service,
                          "no file descriptor available", min_retry_after);
        }
        // Those before it may be unable to use the servers that are free.
        queue.waiters.push_back(&self);
        this->serve_waiters(request.service);
        if (self.assigned.has_value()) {
            return *std::move(self.assigned);
        }
        if (!request.has_begun) {
            queue.waiters.remove(&self);
            SARDINE_RETURN_IF_ERROR(this->check_queue(self, queue, steady_clock::now()));
            queue.waiters.push_back(&self);
        }
        if (this->waits_for_cold_server(request, steady_clock::now())) {
            count("sardine_cold_waits_total", {{"service", request.service}});
        }
    }
    return this->wait_in_queue(self, caller);
}

std::optional<placement> dispatcher::take_place(waiter& self)
{
    if (!self.assigned.has_value()) {
        this->serve_waiters(self.request->service);
    }
    if (!self.assigned.has_value() && !self.has_server) {
        self.assigned = this->try_probe(*self.request, steady_clock::now());
        if (self.assigned.has_value()) {
            this->queues[self.request->service].waiters.remove(&self);
        }
    }
    return std::exchange(self.assigned, std::nullopt);
}

absl::Status dispatcher::check_waiter(const waiter& self, steady_time deadline)
{
    const placement_request& request = *self.request;
    const steady_time now = steady_clock::now();
    if (!request.has_begun && !this->evacuated.empty() && !this->has_usable_server(request)) {
        return this->refuse_without_server(request);
    }
    if (!request.has_begun) {
        SARDINE_RETURN_IF_ERROR(this->check_returns(request, deadline, now));
        SARDINE_RETURN_IF_ERROR(this->check_availability(request, now));
    }
    if (now < deadline && !(request.is_obsolete && request.is_obsolete())) {
        return absl::OkStatus();
    }
    const service_queue& queue = this->queues[request.service];
    return refuse(absl::StatusCode::kResourceExhausted, request.service, "maximum wait exceeded",
                  queue.completion_rate.estimated_wait(static_cast<double>(queue.waiters.size()),
                                                       now, max_retry_after));
}

absl::StatusOr<placement> dispatcher::wait_in_queue(waiter& self, const hangup_watch& caller)
{
    const steady_time begun = steady_clock::now();
    const steady_time deadline = begun + self.request->max_wait;
    while (true) {
        wait_for_input(self.event, caller,
                       std::min(deadline, steady_clock::now() + recheck_interval));
        const bool gone = caller.has_hung_up();
        const absl::MutexLock lock(&this->mutex);
        std::optional<placement> assigned =
            gone ? std::exchange(self.assigned, std::nullopt) : this->take_place(self);
        if (assigned.has_value()) {
            assigned->waited =
                std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - begun);
            return *std::move(assigned);
        }
        absl::Status refused =
            gone ? make_error(absl::StatusCode::kCancelled, "place", "caller", "caller hung up")
                 : this->check_waiter(self, deadline);
        if (!refused.ok()) {
            this->queues[self.request->service].waiters.remove(&self);
            return refused;
        }
    }
}

std::optional<placement> dispatcher::place_if_free(const placement_request& request)
{
    const absl::MutexLock lock(&this->mutex);
    return this->queues[request.service].waiters.empty() ? this->try_place(request) : std::nullopt;
}

std::list<dispatcher::waiter*>::iterator
dispatcher::next_waiter(std::list<waiter*>& waiters, const std::set<const waiter*>& unplaced,
                        const service_policy* policy, steady_time now)
{
    auto next = waiters.end();
    urgency best;
    for (auto it = waiters.begin(); it != waiters.end(); ++it) {
        if (unplaced.count(*it) != 0) {
            continue;
        }
        const urgency own = urgency_of((*it)->order, policy, now);
        if (next == waiters.end() || !goes_before(best, own)) {
            next = it;
            best = own;
        }
    }
    return next;
}

void dispatcher::serve_waiters(const std::string& service)
{
    service_queue& queue = this->queues[service];
    // Waiters that are passed over, since all free servers are among those that they have tried.
    std::set<const waiter*> unplaced;
    const steady_time now = steady_clock::now();
    const service_policy* const policy = this->urgency_policy(service);
    while (unplaced.size() <= max_passed_over) {
        const auto next = next_waiter(queue.waiters, unplaced, policy, now);
        if (next == queue.waiters.end()) {
            return;
        }
        waiter* const served = *next;
        std::optional<placement> assigned = this->try_place(*served->request);
        if (!assigned.has_value() && served->request->excluded_ids.empty() &&
            !this->is_large(*served->request)) {
            return;
        }
        if (!assigned.has_value()) {
            unplaced.insert(served);
            continue;
        }
        queue.waiters.erase(next);
        queue.placement_rates[served->request->priority].add(now);
        served->assigned = std::move(assigned);
        const std::uint64_t one = 1;
        if (::write(served->event, &one, sizeof(one)) < 0) {
            count("sardine_queue_wake_failures_total");
        }
    }
}

absl::StatusOr<std::unique_ptr<dispatcher::queued_request>>
dispatcher::queued_request::create(dispatcher& owner, placement_request request)
{
    std::unique_ptr<queued_request> made(new queued_request(owner, std::move(request)));
    made->self->has_server = true;
    if (!made->self->open_event()) {
        return refuse(absl::StatusCode::kResourceExhausted, made->wanted.service,
                      "no file descriptor available", min_retry_after);
    }
    const absl::MutexLock lock(&owner.mutex);
    owner.queues[made->wanted.service].waiters.push_back(made->self.get());
    return made;
}

dispatcher::queued_request::queued_request(dispatcher& owner, placement_request request)
    : servers(owner), wanted(std::move(request)), self(std::make_unique<waiter>(wanted))
{
}

dispatcher::queued_request::~queued_request()
{
    {
        const absl::MutexLock lock(&this->servers.mutex);
        this->servers.queues[this->wanted.service].waiters.remove(this->self.get());
    }
    if (this->self->assigned.has_value()) {
        this->servers.finish(*this->self->assigned, attempt_result::abandoned,
                             std::chrono::milliseconds(0));
    }
}

int dispatcher::queued_request::descriptor() const
{
    return this->self->event;
}

std::optional<placement> dispatcher::queued_request::take()
{
    const absl::MutexLock lock(&this->servers.mutex);
    return this->servers.take_place(*this->self);
}

} // namespace sardinestream
