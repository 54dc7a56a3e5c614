// Implements the parts of the dispatcher that handle notices of servers, hold-offs, limits and the
// availability of services.

#include <algorithm>
#include <utility>

#include "sardinestream/backends/dispatcher.h"

namespace sardinestream {
namespace {

// Maximum retry delay that a refusal carries if all servers of a service hold off.
constexpr std::chrono::milliseconds max_hold_off_retry_after{60000};
// If all servers of a service hold off, callers get a time to retry after the wait plus a random
// part of this share of it.
constexpr double retry_jitter_share = 0.25;
constexpr std::chrono::milliseconds min_retry_jitter{300};
// Agents report to an entry that has started within this time.
constexpr std::chrono::milliseconds first_report_time{1000};

} // namespace

double dispatcher::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

std::chrono::milliseconds dispatcher::draw_return_delay()
{
    return return_delay_for(this->view.processes, this->draw());
}

steady_time dispatcher::allowed_time(const server_state& state, steady_time now) const
{
    return std::max(this->limits.next_request_time(state.server(), now),
                    this->cold.next_request_time(state.server(), now));
}

bool dispatcher::waits_for_cold_server(const placement_request& request, steady_time now) const
{
    if (!this->cold.is_on()) {
        return false;
    }
    for (const auto& [id, state] : this->servers) {
        if (this->is_eligible(state, request) &&
            this->cold.next_request_time(state.server(), now) > now) {
            return true;
        }
    }
    return false;
}

void dispatcher::note_sent(placement& assigned)
{
    if (this->options.cold.overage <= 0) {
        return;
    }
    const absl::MutexLock lock(&this->mutex);
    assigned.sent = true;
    this->cold.note_sent(assigned.server, steady_clock::now());
}

steady_time dispatcher::return_time(const server_state& state, steady_time now) const
{
    const steady_time allowed = this->allowed_time(state, now);
    return state.is_held_off(now) ? std::max(allowed, state.hold_off_end()) : allowed;
}

std::optional<steady_time> dispatcher::earliest_return(const placement_request& request,
                                                       steady_time now) const
{
    std::optional<steady_time> earliest;
    for (const auto& [id, state] : this->servers) {
        if (!this->is_eligible(state, request)) {
            continue;
        }
        const steady_time returns = this->return_time(state, now);
        if (returns <= now) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(returns), returns);
    }
    return earliest;
}

void dispatcher::begin_attempt(server_state& state, steady_time now)
{
    state.begin_attempt(now);
    this->limits.note_request(state.server(), now);
    this->cold.note_placed(state.server());
}

bool dispatcher::note_limit(const backend_server& server, std::optional<double> max_rate)
{
    const absl::MutexLock lock(&this->mutex);
    const bool changed = this->limits.note_answer(server, max_rate, steady_clock::now());
    if (changed && !max_rate.has_value()) {
        this->serve_waiters(server.service);
    }
    return changed;
}

void dispatcher::note_limits(absl::Span<const limit_statement> heard_elsewhere)
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    for (const limit_statement& heard : heard_elsewhere) {
        this->limits.note_statement(heard, now);
    }
}

std::vector<limit_statement> dispatcher::own_limit_statements() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->limits.own_statements(steady_clock::now());
}

std::chrono::milliseconds dispatcher::jittered_retry_after(steady_clock::duration wait)
{
    using std::chrono::milliseconds;
    const auto wait_ms = std::chrono::duration_cast<milliseconds>(wait) + milliseconds(1);
    const double spread_ms = std::max(retry_jitter_share * static_cast<double>(wait_ms.count()),
                                      static_cast<double>(min_retry_jitter.count()));
    return std::min(max_hold_off_retry_after,
                    wait_ms + milliseconds(static_cast<std::int64_t>(spread_ms * this->draw())));
}

absl::Status dispatcher::check_returns(const placement_request& request, steady_time deadline,
                                       steady_time now)
{
    const std::optional<steady_time> earliest = this->earliest_return(request, now);
    if (!earliest.has_value() || *earliest < deadline) {
        return absl::OkStatus();
    }
    return refuse(absl::StatusCode::kResourceExhausted, request.service,
                  "all servers hold off or limit their rate",
                  this->jittered_retry_after(*earliest - now));
}

std::chrono::milliseconds dispatcher::retry_after(const std::string& service)
{
    const absl::MutexLock lock(&this->mutex);
    placement_request any;
    any.service = service;
    const steady_time now = steady_clock::now();
    const std::optional<steady_time> earliest = this->earliest_return(any, now);
    if (earliest.has_value()) {
        return this->jittered_retry_after(*earliest - now);
    }
    return retry_after_of(this->check_availability(any, now));
}

bool dispatcher::is_down(const std::string& service)
{
    const absl::MutexLock lock(&this->mutex);
    placement_request any;
    any.service = service;
    return !this->check_availability(any, steady_clock::now()).ok();
}

bool dispatcher::stands_still(const std::string& service)
{
    const absl::MutexLock lock(&this->mutex);
    placement_request any;
    any.service = service;
    const steady_time now = steady_clock::now();
    bool any_broken = false;
    for (const auto& [id, state] : this->servers) {
        if (!this->is_eligible(state, any)) {
            continue;
        }
        const bool broken = state.is_broken(this->view, now);
        if (!broken && !state.has_silent_agent(this->view, now)) {
            return false;
        }
        any_broken = any_broken || broken;
    }
    return any_broken;
}

void dispatcher::note_event(const backend_server& server)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->servers.find(server.id);
    if (found != this->servers.end() && !found->second.last_report().group.empty()) {
        this->activity.note_event(found->second.last_report().group, steady_clock::now());
    }
}

bool dispatcher::group_may_stand_still(const backend_server& server)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->servers.find(server.id);
    if (found == this->servers.end() || found->second.last_report().group.empty()) {
        return false;
    }
    return !this->activity.is_running(found->second.last_report().group, steady_clock::now());
}

std::vector<std::optional<server_outage>> dispatcher::outages(const placement_request& request,
                                                              steady_time now) const
{
    std::vector<std::optional<server_outage>> servers;
    for (const auto& [id, state] : this->servers) {
        if (!this->is_eligible(state, request) || state.is_held_off(now)) {
            continue;
        }
        servers.push_back(state.outage(this->view, now));
        if (!servers.back().has_value()) {
            break;
        }
    }
    return servers;
}

std::optional<placement> dispatcher::try_probe(const placement_request& request, steady_time now)
{
    service_queue& queue = this->queues[request.service];
    if (now < queue.next_probe ||
        availability_of(this->outages(request, now), now).condition == service_condition::serving) {
        return std::nullopt;
    }
    server_state* longest_untried = nullptr;
    for (auto& [id, state] : this->servers) {
        const bool fits = this->is_eligible(state, request) &&
                          state.can_be_probed(this->view, now) &&
                          this->return_time(state, now) <= now;
        if (fits && (longest_untried == nullptr ||
                     state.last_attempt_time() < longest_untried->last_attempt_time())) {
            longest_untried = &state;
        }
    }
    if (longest_untried == nullptr) {
        return std::nullopt;
    }
    queue.next_probe = now + probe_interval(this->view.processes);
    this->begin_attempt(*longest_untried, now);
    placement assigned;
    assigned.server = longest_untried->server();
    return assigned;
}

absl::Status dispatcher::check_availability(const placement_request& request, steady_time now)
{
    const std::vector<std::optional<server_outage>> servers = this->outages(request, now);
    const service_availability expected = availability_of(servers, now);
    if (servers.empty() || expected.condition != service_condition::down) {
        return absl::OkStatus();
    }
    return refuse(absl::StatusCode::kUnavailable, request.service, "service down",
                  retry_after_for(expected, this->draw()));
}

std::map<std::string, service_availability> dispatcher::availabilities() const
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    std::map<std::string, service_availability> all;
    for (const auto& [id, state] : this->servers) {
        placement_request any;
        any.service = state.server().service;
        if (all.count(any.service) == 0) {
            all[any.service] = availability_of(this->outages(any, now), now);
        }
    }
    return all;
}

void dispatcher::note_accepted(placement& assigned)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->servers.find(assigned.server.id);
    if (found == this->servers.end() || found->second.server().born_ms != assigned.server.born_ms) {
        return;
    }
    assigned.accepted = true;
    placement_request any;
    any.service = assigned.server.service;
    const steady_time now = steady_clock::now();
    const bool returns =
        availability_of(this->outages(any, now), now).condition != service_condition::serving;
    found->second.note_accepted();
    if (!returns) {
        return;
    }
    for (auto& [id, state] : this->servers) {
        if (state.server().service == any.service) {
            state.end_exclusion();
            state.end_wait_for_report();
        }
    }
    this->serve_waiters(any.service);
}

server_state dispatcher::make_state(const backend_server& server, steady_time now)
{
    server_state state(server);
    if (this->notices.hold_off_end(server) > now) {
        state.begin_hold_off(this->notices.hold_off_end(server), this->draw_return_delay());
    }
    this->await_first_report(state, now);
    return state;
}

void dispatcher::await_first_report(server_state& state, steady_time now) const
{
    const auto declared = this->policies.find(state.server().service);
    if (declared != this->policies.end() && declared->second.engine.has_experts()) {
        state.await_first_report(now, now + first_report_time);
    }
}

server_notice dispatcher::apply_notice(const backend_server& server, const server_notice& notice)
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    const auto found = this->servers.find(server.id);
    server_state* const state =
        found != this->servers.end() && found->second.server().born_ms == server.born_ms
            ? &found->second
            : nullptr;
    server_notice unknown_parts;
    if (notice.is_leaving) {
        const bool is_first = this->notices.note_leaving(server);
        unknown_parts.is_leaving = is_first || (state != nullptr && !state->server().draining);
        if (state != nullptr) {
            state->mark_leaving();
        }
    }
    if (notice.hold_off.has_value()) {
        const steady_time until = now + *notice.hold_off;
        if (this->notices.note_hold_off(server, until, now)) {
            unknown_parts.hold_off = notice.hold_off;
        }
        if (state != nullptr) {
            state->begin_hold_off(until, this->draw_return_delay());
        }
    }
    return unknown_parts;
}

} // namespace sardinestream
