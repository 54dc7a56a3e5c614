#include "sardinestream/backends/dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

#include "sardinestream/backends/slow_rank.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream {
namespace {

// A cold server is selected only if the others are this many times fuller.
constexpr double cold_slowness = 2.0;

} // namespace

dispatcher::dispatcher(dispatcher_options chosen)
    : options(std::move(chosen)), cold(options.cold), random(std::random_device()())
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
    load_view seen = this->view;
    seen.counts_others = this->urgency_policy(request.service) != nullptr;
    const service_pace usual = this->best_pace(request.service, now);
    seen.has_backlog = this->has_backlog(request.service);
    const engine_model* const engine = this->engine_of(request);
    std::vector<server_state*> candidates;
    std::vector<server_load> loads;
    for (auto& [id, state] : this->servers) {
        if (!this->is_eligible(state, request)) {
            continue;
        }
        const double capacity = state.server().slots * (1 + this->options.extra_capacity_share);
        candidates.push_back(&state);
        loads.push_back(state.load(capacity, seen, usual, now));
        loads.back().available = loads.back().available && this->allowed_time(state, now) <= now;
        if (engine != nullptr) {
            state.weigh(request.cost, *engine, seen, now, loads.back());
        }
        if (this->cold.condition(state.server(), now) == cold_condition::cold) {
            loads.back().slowness *= cold_slowness;
        }
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
    placement assigned;
    assigned.server = state.server();
    assigned.occupancy = loads[*chosen].occupancy;
    assigned.slowness = loads[*chosen].slowness;
    if (engine != nullptr) {
        assigned.work = state.work().place(request.cost);
    }
    return assigned;
}

const engine_model* dispatcher::engine_of(const placement_request& request) const
{
    const auto declared = this->policies.find(request.service);
    const bool has_speed = declared != this->policies.end() && declared->second.engine.has_speed();
    return has_speed ? &declared->second.engine : nullptr;
}

bool dispatcher::is_large(const placement_request& request) const
{
    const engine_model* const engine = this->engine_of(request);
    return engine != nullptr && engine->memory_tokens > 0 &&
           request.cost.memory_tokens * 2 > static_cast<double>(engine->memory_tokens);
}

void dispatcher::note_progress(placement& assigned, double tokens)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->servers.find(assigned.server.id);
    const auto declared = this->policies.find(assigned.server.service);
    if (found == this->servers.end() || declared == this->policies.end() ||
        found->second.server().born_ms != assigned.server.born_ms) {
        return;
    }
    found->second.work().note_progress(assigned.work,
                                       tokens * write_ms_per_token(declared->second.engine));
}

bool dispatcher::is_evacuated(const backend_server& server) const
{
    return !this->evacuated.empty() && this->evacuated.count(server.data_centre) != 0;
}

bool dispatcher::is_eligible(const server_state& state, const placement_request& request) const
{
    const backend_server& server = state.server();
    return server.service == request.service && !server.draining && !this->is_evacuated(server) &&
           std::find(request.excluded_ids.begin(), request.excluded_ids.end(), server.id) ==
               request.excluded_ids.end();
}

bool dispatcher::has_usable_server(const placement_request& request) const
{
    for (const auto& [id, state] : this->servers) {
        if (this->is_eligible(state, request)) {
            return true;
        }
    }
    return false;
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

void dispatcher::finish(const placement& assigned, attempt_result result,
                        std::chrono::milliseconds first_byte)
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    if (result != attempt_result::unreachable && result != attempt_result::replaced &&
        result != attempt_result::unsuitable) {
        this->queues[assigned.server.service].completion_rate.add(now);
    }
    if (!assigned.sent) {
        this->cold.note_never_sent(assigned.server);
    }
    if (result == attempt_result::refused || result == attempt_result::unreachable) {
        this->cold.note_outage(assigned.server, now);
    }
    const auto found = this->servers.find(assigned.server.id);
    if (found == this->servers.end() || found->second.server().born_ms != assigned.server.born_ms) {
        this->serve_waiters(assigned.server.service);
        return;
    }
    found->second.end_attempt(result, assigned.accepted, first_byte, now);
    found->second.work().remove(assigned.work);
    if (result == attempt_result::replaced) {
        found->second.mark_leaving();
    }
    this->serve_waiters(assigned.server.service);
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
    this->cold.set_servers(newer, now);
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
        if (report.group_broken || state.has_silent_agent(this->view, now)) {
            this->cold.note_outage(state.server(), now);
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
    this->cold.set_processes(processes, steady_clock::now());
}

void dispatcher::set_evacuated(std::set<std::string> data_centres)
{
    const absl::MutexLock lock(&this->mutex);
    this->evacuated = std::move(data_centres);
    for (const auto& [service, queue] : this->queues) {
        this->serve_waiters(service);
    }
}

void dispatcher::set_policies(service_policies declared)
{
    const absl::MutexLock lock(&this->mutex);
    const bool is_first = this->policies.empty();
    this->cold.set_policies(declared);
    this->policies = std::move(declared);
    if (!is_first) {
        return;
    }
    // The servers were listed before the services.
    for (auto& [id, state] : this->servers) {
        this->await_first_report(state, steady_clock::now());
    }
}

bool dispatcher::has_urgent_streams(const std::string& service) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto declared = this->policies.find(service);
    return declared != this->policies.end() && declared->second.has_urgent_streams;
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
                       this->cold.condition(state.server(), now),
                       this->is_evacuated(state.server())
                           ? "no: evacuated"
                           : std::string(state.usage_status(this->view, now))});
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
