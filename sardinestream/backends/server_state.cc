#include "sardinestream/backends/server_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sardinestream/backends/slow_rank.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// A report older than this many report intervals no longer says anything about the load.
constexpr int report_lifetime_intervals = 8;
// An agent is considered silent after this many report intervals plus `silent_margin`.
constexpr int silent_intervals = 3;
constexpr milliseconds silent_margin{50};
// Slowness of a server whose agent is silent: it is selected only if the others are this many times
// fuller.
constexpr double silent_slowness = 4.0;
// Weight of the latest answer in the moving averages.
constexpr double answer_weight = 0.2;
// Half-life of the failure share, so that a server that has recovered is tried again. A slow answer
// loses its weight with the same half-life.
constexpr double failure_half_life_s = 3.0;
// Time for which an unreachable server is excluded; doubled with each consecutive failure.
constexpr milliseconds first_exclusion{250};
// The same for a server that refused a request because it is full or its group is forming.
constexpr milliseconds first_refusal_exclusion{100};
constexpr int max_doublings = 3;
// After this time without a further attempt, a refusal no longer counts as an outage.
constexpr std::chrono::seconds rejection_lifetime{5};
// Answers are equally quick up to this time: it is measured in whole milliseconds, and processes
// wait for a processor for as long.
constexpr double quick_answer_ms = 10.0;
// Upper limit of a server's slowness.
constexpr double max_slowness = 20.0;
// Share of the free slots that others are taken to have filled at most, so that a process that is
// alone with its callers can still fill a small server.
constexpr double max_share_of_others = 0.7;

} // namespace

server_state::server_state(backend_server known) : description(std::move(known)) {}

void server_state::begin_hold_off(steady_time requested_end, milliseconds return_delay)
{
    this->current_hold_off.begin(requested_end, return_delay);
}

void server_state::await_first_report(steady_time since, steady_time end)
{
    this->report_awaited_since = since;
    this->report_awaited_until = end;
}

void server_state::begin_attempt(steady_time now)
{
    this->last_attempt = now;
    ++this->in_flight;
    ++this->begun_since_report;
}

void server_state::note_accepted()
{
    ++this->accepted;
    this->rejecting_since.reset();
}

void server_state::end_attempt(attempt_result result, bool was_accepted, milliseconds elapsed,
                               steady_time now)
{
    --this->in_flight;
    this->accepted -= was_accepted ? 1 : 0;
    ++this->ended_since_report;
    if (result == attempt_result::abandoned || result == attempt_result::unsuitable) {
        return;
    }
    if (result == attempt_result::refused) {
        if (this->is_held_off(now)) {
            // The server has announced when it takes requests again, so this is not a failure.
            return;
        }
        this->current_hold_off.note_refusal(now);
    }
    if (result == attempt_result::refused || result == attempt_result::unreachable) {
        this->rejecting_since = this->rejecting_since.value_or(now);
        this->last_rejection = now;
    }
    const bool failed = result != attempt_result::succeeded && result != attempt_result::refused;
    const double before = this->failure_share(now);
    this->recent_failure_share = before + answer_weight * ((failed ? 1.0 : 0.0) - before);
    this->last_answer = now;
    if (result == attempt_result::unreachable || result == attempt_result::refused) {
        const int doublings = std::min(this->consecutive_failures, max_doublings);
        const milliseconds first =
            result == attempt_result::refused ? first_refusal_exclusion : first_exclusion;
        this->excluded_until = now + first * (1 << doublings);
        ++this->consecutive_failures;
        return;
    }
    this->consecutive_failures = 0;
    if (result == attempt_result::succeeded) {
        const auto taken = static_cast<double>(elapsed.count());
        this->mean_first_byte_ms =
            this->mean_first_byte_ms == 0
                ? taken
                : this->mean_first_byte_ms + answer_weight * (taken - this->mean_first_byte_ms);
    }
}

void server_state::apply_report(const server_report& newer, steady_time now)
{
    if (!newer.group_broken) {
        this->broken_since.reset();
    }
    else if (!this->broken_since.has_value()) {
        this->broken_since = now;
    }
    this->report = newer;
    this->report_time = now;
    this->begun_since_report = 0;
    this->ended_since_report = 0;
}

bool server_state::has_fresh_report(const load_view& view, steady_time now) const
{
    return this->report_time != steady_time{} &&
           now - this->report_time < view.report_interval * report_lifetime_intervals;
}

bool server_state::has_silent_agent(const load_view& view, steady_time now) const
{
    return this->report_time != steady_time{} &&
           now - this->report_time > view.report_interval * silent_intervals + silent_margin;
}

bool server_state::is_broken(const load_view& view, steady_time now) const
{
    return this->has_fresh_report(view, now) && this->report.group_broken;
}

std::optional<server_outage> server_state::outage(const load_view& view, steady_time now) const
{
    if (this->is_broken(view, now)) {
        return server_outage{*this->broken_since, this->report_time, true};
    }
    if (this->awaits_first_report(now)) {
        return server_outage{this->report_awaited_since, this->report_awaited_since, true};
    }
    // A server that refuses further requests while it works on accepted ones is full, not out of
    // service.
    const bool turns_away = this->rejecting_since.has_value() && this->accepted == 0 &&
                            now - this->last_rejection < rejection_lifetime;
    if (!turns_away) {
        return std::nullopt;
    }
    return server_outage{*this->rejecting_since, this->last_rejection, false};
}

bool server_state::can_be_probed(const load_view& view, steady_time now) const
{
    return !this->is_held_off(now) && !this->is_broken(view, now);
}

absl::string_view server_state::usage_status(const load_view& view, steady_time now) const
{
    if (this->description.draining) {
        return "no: leaving";
    }
    if (this->is_held_off(now)) {
        return "no: holds off";
    }
    if (this->is_excluded(now)) {
        return "no: left alone after a failure";
    }
    if (this->has_silent_agent(view, now)) {
        return "last: agent silent";
    }
    if (this->is_broken(view, now)) {
        return "no: group broken";
    }
    if (this->awaits_first_report(now)) {
        return "no: no report yet";
    }
    return "yes";
}

double server_state::occupancy(const load_view& view, steady_time now) const
{
    if (!this->has_fresh_report(view, now)) {
        return static_cast<double>(this->in_flight) * view.processes;
    }
    const double reported = this->report.running + this->report.waiting;
    const double estimate = reported + this->begun_since_report - this->ended_since_report;
    return std::max<double>(estimate, this->in_flight);
}

double server_state::begun_by_others(double free, const load_view& view, steady_time now) const
{
    if ((!view.counts_others && !view.has_backlog) || !this->has_fresh_report(view, now)) {
        return 0;
    }
    const int own = std::max(0, this->begun_since_report - this->ended_since_report);
    const double alike = static_cast<double>(own) * (view.processes - 1);
    // With a backlog the others fill whatever is free, too.
    return view.has_backlog ? alike
                            : std::clamp(alike, 0.0, std::max(0.0, free * max_share_of_others));
}

double server_state::failure_share(steady_time now) const
{
    const std::chrono::duration<double> age = now - this->last_answer;
    return this->recent_failure_share * std::exp2(-age.count() / failure_half_life_s);
}

void server_state::merge_best_into(service_pace& usual, const load_view& view,
                                   steady_time now) const
{
    const auto lower = [](double& best, double own) {
        best = best == 0 || (own > 0 && own < best) ? own : best;
    };
    lower(usual.answer_ms, this->mean_first_byte_ms);
    if (this->has_fresh_report(view, now)) {
        lower(usual.step_ms, this->report.step_ms);
    }
}

double server_state::capacity_share(const load_view& view, const service_pace& usual,
                                    steady_time now) const
{
    const auto typical = usual.typical_slowness.find(this->report.group);
    if (typical == usual.typical_slowness.end() || !this->has_fresh_report(view, now)) {
        return 1;
    }
    return usable_capacity_share(this->report.slowness, typical->second);
}

server_load server_state::load(double capacity, const load_view& view, const service_pace& usual,
                               steady_time now) const
{
    server_load load;
    load.capacity = capacity * this->capacity_share(view, usual, now);
    load.occupancy = this->occupancy(view, now);
    load.occupancy += this->begun_by_others(load.capacity - load.occupancy, view, now);
    load.failure_share = this->failure_share(now);
    load.same_data_centre = this->description.data_centre == view.data_centre;
    load.available = !this->description.draining && !this->is_excluded(now) &&
                     !this->awaits_first_report(now) &&
                     this->current_hold_off.allows(this->in_flight, now);
    if (this->has_silent_agent(view, now)) {
        // Its machine may have stopped, so other servers are preferred even if they are fuller.
        load.slowness = silent_slowness;
    }
    else if (this->has_fresh_report(view, now)) {
        // All ranks of a group wait for the slowest one, and the longer the more work it has.
        const double pass_slowness =
            usual.step_ms > 0 ? std::max(1.0, this->report.step_ms / usual.step_ms) : 1;
        load.slowness = std::clamp(pass_slowness * this->report.slowness, 1.0, max_slowness);
        load.available = load.available && !this->report.group_broken;
    }
    else if (usual.answer_ms > 0) {
        const double relative = std::max(quick_answer_ms, this->mean_first_byte_ms) /
                                std::max(quick_answer_ms, usual.answer_ms);
        const std::chrono::duration<double> age = now - this->last_answer;
        const double excess = std::clamp(relative, 1.0, max_slowness) - 1;
        load.slowness = 1 + excess * std::exp2(-age.count() / failure_half_life_s);
    }
    return load;
}

void server_state::weigh(const request_cost& cost, const engine_model& engine,
                         const load_view& view, steady_time now, server_load& load) const
{
    if (!cost.is_known()) {
        return;
    }
    const bool fresh = this->has_fresh_report(view, now);
    const double waiting = fresh ? this->report.waiting : this->own_work.unread();
    const request_cost left = work_left({this->own_work, load.occupancy, waiting}, engine);
    load.work = as_requests(left, usual_cost(engine));
    const bool has_room =
        engine.memory_tokens == 0 || load.occupancy <= 0 ||
        left.memory_tokens + cost.memory_tokens <= static_cast<double>(engine.memory_tokens);
    load.available = load.available && has_room;
}

} // namespace sardinestream
