#include "sardinestream/backends/dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

#include "sardinestream/backends/slow_rank.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream {
namespace {

// Bounds of the retry delay that a refusal carries.
constexpr std::chrono::milliseconds max_retry_after{4000};
constexpr std::chrono::milliseconds min_retry_after{100};
// Minimum queue length at which requests are refused on arrival.
constexpr std::size_t min_queue_to_refuse = 4;

} // namespace

// One request in a queue. Allocated on the stack of the waiting thread.
struct dispatcher::waiter {
    const placement_request* request = nullptr;
    // An eventfd that is written to once `given` is set.
    int event = -1;
    std::optional<placement> given;
};

dispatcher::dispatcher(dispatcher_options chosen)
    : options(std::move(chosen)), random(std::random_device()())
{
    this->view.data_centre = this->options.data_centre;
}

service_pace dispatcher::best_pace(const std::string& service, steady_time now) const
{
    service_pace usual;
    std::map<std::string, std::vector<double>> slowness_by_group;
    for (const auto& [id, state] : this->servers) {
        if (state.server().service != service) {
            continue;
        }
        state.merge_best_into(usual, this->view, now);
        const server_report& report = state.last_report();
        if (!report.group.empty() && state.has_fresh_report(this->view, now)) {
            slowness_by_group[report.group].push_back(report.slowness);
        }
    }
    for (auto& [group, slowness] : slowness_by_group) {
        usual.typical_slowness[group] = typical_slowness(std::move(slowness));
    }
    return usual;
}

std::optional<placement> dispatcher::try_place(const placement_request& request)
{
    const steady_time now = steady_clock::now();
    const service_pace usual = this->best_pace(request.service, now);
    std::vector<server_state*> candidates;
    std::vector<server_load> loads;
    for (auto& [id, state] : this->servers) {
        if (!is_eligible(state, request)) {
            continue;
        }
        const double capacity = state.server().slots * (1 + this->options.extra_capacity_share);
        candidates.push_back(&state);
        loads.push_back(state.load(capacity, this->view, usual, now));
        loads.back().available =
            loads.back().available && this->limits.next_request_time(state.server(), now) <= now;
    }
    std::array<double, server_sample_size> draws{};
    for (double& draw : draws) {
        draw = this->draw();
    }
    const std::optional<std::size_t> chosen = choose_from_sample(loads, draws);
    if (!chosen.has_value()) {
        return std::nullopt;
    }
    server_state& state = *candidates[*chosen];
    this->begin_attempt(state, now);
    placement given;
    given.server = state.server();
    given.occupancy = loads[*chosen].occupancy;
    given.slowness = loads[*chosen].slowness;
    return given;
}

bool dispatcher::is_eligible(const server_state& state, const placement_request& request)
{
    const backend_server& server = state.server();
    return server.service == request.service && !server.draining &&
           std::find(request.excluded_ids.begin(), request.excluded_ids.end(), server.id) ==
               request.excluded_ids.end();
}

bool dispatcher::has_usable_server(const placement_request& request) const
{
    return std::any_of(this->servers.begin(), this->servers.end(),
                       [&](const auto& named) { return is_eligible(named.second, request); });
}

absl::Status dispatcher::check_queue(const placement_request& request, service_queue& queue,
                                     steady_time now)
{
    if (!this->has_usable_server(request)) {
        return refuse(absl::StatusCode::kUnavailable, request.service, "no usable server",
                      std::chrono::milliseconds(1000));
    }
    SARDINE_RETURN_IF_ERROR(this->check_returns(request, now + request.max_wait, now));
    double ahead = 1;
    for (const waiter* other : queue.waiters) {
        ahead += other->request->priority <= request.priority ? 1 : 0;
    }
    // Without a queue the completion rate reflects the arrivals rather than the capacity of the
    // servers; shortly after the start it is unknown.
    if (queue.waiters.size() < min_queue_to_refuse || !queue.completion_rate.is_known(now)) {
        return absl::OkStatus();
    }
    const std::chrono::milliseconds wait =
        queue.completion_rate.estimated_wait(ahead, now, max_retry_after);
    if (wait <= request.max_wait) {
        return absl::OkStatus();
    }
    // Spreads the callers' retries over the time in which the queue drains.
    const double spread = 0.5 + this->draw() / 2;
    const auto retry_delay = std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(wait.count()) * spread));
    return refuse(absl::StatusCode::kResourceExhausted, request.service, "queue full",
                  std::max(retry_delay, min_retry_after));
}

absl::StatusOr<placement> dispatcher::place(const placement_request& request,
                                            const hangup_watch& caller)
{
    waiter self;
    self.request = &request;
    {
        const absl::MutexLock lock(&this->mutex);
        service_queue& queue = this->queues[request.service];
        std::optional<placement> probe = this->try_probe(request, steady_clock::now());
        if (probe.has_value()) {
            return *std::move(probe);
        }
        SARDINE_RETURN_IF_ERROR(this->check_availability(request, steady_clock::now()));
        const bool overtakes =
            std::all_of(queue.waiters.begin(), queue.waiters.end(), [&](const waiter* other) {
                return other->request->priority > request.priority;
            });
        if (overtakes) {
            std::optional<placement> given = this->try_place(request);
            if (given.has_value()) {
                return *std::move(given);
            }
        }
        SARDINE_RETURN_IF_ERROR(this->check_queue(request, queue, steady_clock::now()));
        self.event = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        if (self.event < 0) {
            return refuse(absl::StatusCode::kResourceExhausted, request.service,
                          "no file descriptor available", min_retry_after);
        }
        queue.waiters.push_back(&self);
    }
    absl::StatusOr<placement> result = this->wait_in_queue(self, caller);
    ::close(self.event);
    return result;
}

absl::StatusOr<placement> dispatcher::wait_in_queue(waiter& self, const hangup_watch& caller)
{
    // Servers that become usable again merely because time passes do not wake the waiting threads.
    constexpr std::chrono::milliseconds recheck_interval{100};
    const steady_time begun = steady_clock::now();
    const steady_time deadline = begun + self.request->max_wait;
    while (true) {
        wait_for_input(self.event, caller,
                       std::min(deadline, steady_clock::now() + recheck_interval));
        const bool gone = caller.has_hung_up();
        const absl::MutexLock lock(&this->mutex);
        service_queue& queue = this->queues[self.request->service];
        if (!self.given.has_value() && !gone) {
            this->serve_waiters(self.request->service);
        }
        if (!self.given.has_value() && !gone) {
            self.given = this->try_probe(*self.request, steady_clock::now());
            if (self.given.has_value()) {
                queue.waiters.remove(&self);
            }
        }
        if (self.given.has_value()) {
            self.given->waited =
                std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - begun);
            return *std::move(self.given);
        }
        if (gone) {
            queue.waiters.remove(&self);
            return make_error(absl::StatusCode::kCancelled, "place", "caller", "caller hung up");
        }
        const steady_time now = steady_clock::now();
        absl::Status refused = this->check_returns(*self.request, deadline, now);
        refused.Update(this->check_availability(*self.request, now));
        if (!refused.ok()) {
            queue.waiters.remove(&self);
            return refused;
        }
        if (now >= deadline || (self.request->is_obsolete && self.request->is_obsolete())) {
            queue.waiters.remove(&self);
            return refuse(
                absl::StatusCode::kResourceExhausted, self.request->service,
                "maximum wait exceeded",
                queue.completion_rate.estimated_wait(static_cast<double>(queue.waiters.size()) + 1,
                                                     steady_clock::now(), max_retry_after));
        }
    }
}

bool dispatcher::delays_its_group(const backend_server& server)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->servers.find(server.id);
    const steady_time now = steady_clock::now();
    return found != this->servers.end() &&
           found->second.last_report().slowness >= unusable_slowness &&
           found->second.capacity_share(this->view, this->best_pace(server.service, now), now) <= 0;
}

std::optional<placement> dispatcher::place_if_free(const placement_request& request)
{
    const absl::MutexLock lock(&this->mutex);
    return this->queues[request.service].waiters.empty() ? this->try_place(request) : std::nullopt;
}

void dispatcher::serve_waiters(const std::string& service)
{
    std::list<waiter*>& waiters = this->queues[service].waiters;
    while (!waiters.empty()) {
        const auto next =
            std::min_element(waiters.begin(), waiters.end(), [](const waiter* a, const waiter* b) {
                return a->request->priority < b->request->priority;
            });
        std::optional<placement> given = this->try_place(*(*next)->request);
        if (!given.has_value()) {
            return;
        }
        waiter* const served = *next;
        waiters.erase(next);
        served->given = std::move(given);
        const std::uint64_t one = 1;
        if (::write(served->event, &one, sizeof(one)) < 0) {
            count("sardine_queue_wake_failures_total");
        }
    }
}

void dispatcher::finish(const placement& given, attempt_result result,
                        std::chrono::milliseconds first_byte)
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    if (result != attempt_result::unreachable && result != attempt_result::replaced &&
        result != attempt_result::unsuitable) {
        this->queues[given.server.service].completion_rate.add(now);
    }
    const auto found = this->servers.find(given.server.id);
    if (found == this->servers.end() || found->second.server().born_ms != given.server.born_ms) {
        this->serve_waiters(given.server.service);
        return;
    }
    found->second.end_attempt(result, given.accepted, first_byte, now);
    if (result == attempt_result::replaced) {
        found->second.mark_leaving();
    }
    this->serve_waiters(given.server.service);
}

void dispatcher::set_servers(const std::vector<backend_server>& newer)
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    std::map<std::string, server_state> kept;
    for (const backend_server& server : newer) {
        const auto known = this->servers.find(server.id);
        const bool same_start = known != this->servers.end() &&
                                known->second.server().born_ms == server.born_ms &&
                                known->second.server().endpoint == server.endpoint;
        server_state state = same_start ? known->second : this->make_state(server, now);
        // A leaving server does not return before it restarts, even if an older list shows it as
        // available.
        const bool leaving = state.server().draining || this->notices.is_leaving(server);
        state.update(server);
        if (leaving) {
            state.mark_leaving();
        }
        kept.emplace(server.id, std::move(state));
    }
    this->servers = std::move(kept);
    for (const auto& [service, queue] : this->queues) {
        this->serve_waiters(service);
    }
}

void dispatcher::apply_report(const std::string& server_ip, const server_report& report)
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    for (auto& [id, state] : this->servers) {
        if (state.server().endpoint.ip != server_ip) {
            continue;
        }
        state.apply_report(report, now);
        if (!this->queues[state.server().service].waiters.empty()) {
            this->serve_waiters(state.server().service);
        }
    }
}

void dispatcher::set_processes(const process_group& processes)
{
    const absl::MutexLock lock(&this->mutex);
    this->view.processes = static_cast<int>(processes.others.size()) + 1;
    this->limits.set_processes(processes);
}

void dispatcher::set_report_interval(std::chrono::milliseconds interval)
{
    const absl::MutexLock lock(&this->mutex);
    this->view.report_interval = interval;
}

std::vector<dispatcher::server_summary> dispatcher::summary() const
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    std::vector<server_summary> all;
    for (const auto& [id, state] : this->servers) {
        const auto hold_off =
            std::chrono::duration_cast<std::chrono::milliseconds>(state.hold_off_end() - now);
        all.push_back({state.server(), state.own_in_flight(), state.last_report(),
                       state.has_fresh_report(this->view, now),
                       state.is_held_off(now) ? hold_off : std::chrono::milliseconds(0),
                       this->limits.max_rate(state.server(), now),
                       std::string(state.usage_status(this->view, now))});
    }
    return all;
}

int dispatcher::waiting() const
{
    const absl::MutexLock lock(&this->mutex);
    std::size_t total = 0;
    for (const auto& [service, queue] : this->queues) {
        total += queue.waiters.size();
    }
    return static_cast<int>(total);
}

} // namespace sardinestream
