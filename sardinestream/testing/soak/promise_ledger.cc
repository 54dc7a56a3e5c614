#include "sardinestream/testing/soak/promise_ledger.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

// A server that works on for so long after its caller has left has not been informed.
constexpr milliseconds leave_bound{500};
constexpr int least_late_ends = 4;
constexpr double most_late_ends = 0.25;
// Requests that were on their way when the server said that it holds off, and the two that may
// still come.
constexpr milliseconds hold_off_slack{500};
constexpr int most_in_hold_off = 2;
constexpr std::size_t crashes_to_react = 5;
constexpr int most_after_crashes = 3;
// An entry that has passed on an answer with a limit is bound by it after this time.
constexpr milliseconds limit_slack{500};
constexpr std::chrono::seconds limit_window{4};
constexpr double limit_tolerance = 1.5;
constexpr double most_beyond_limit = 5;

bool says_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void promise_ledger::note_sent(const sent_request& request)
{
    const absl::MutexLock lock(&this->mutex);
    request_record& record = this->requests[request.id];
    record.request = request;
    record.sent_at = steady_clock::now();
}

void promise_ledger::note_answer(const std::string& id, int status)
{
    const absl::MutexLock lock(&this->mutex);
    request_record& record = this->requests[id];
    record.status = status;
    for (const std::string& server : record.leaving_servers) {
        this->leaving_passed_on.emplace(entry_and_server{record.request.entry, server},
                                        steady_clock::now());
    }
}

void promise_ledger::note_left(const std::string& id)
{
    const absl::MutexLock lock(&this->mutex);
    request_record& record = this->requests[id];
    record.left = true;
    record.left_at = steady_clock::now();
}

void promise_ledger::note_broken(const std::string& what)
{
    const absl::MutexLock lock(&this->mutex);
    this->broken.push_back(what);
}

void promise_ledger::note_arrival(const std::string& id, const std::string& service,
                                  const std::string& server_id)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return;
    }
    const bool is_first = found->second.arrivals++ == 0;
    if (is_first) {
        found->second.reached = service;
    }
    this->arrivals[service].note_arrival(steady_clock::now(), is_first);
    this->check_notices(found->second, server_id);
    this->check_limit(found->second, server_id);
    if (found->second.request.crashes_servers) {
        this->check_crashing(found->second);
    }
}

void promise_ledger::check_limit(const request_record& record, const std::string& server_id)
{
    const steady_time now = steady_clock::now();
    const auto found = this->limits.find(server_id);
    if (found == this->limits.end()) {
        return;
    }
    named_limit& limit = found->second;
    const auto informed = limit.informed.find(record.request.entry);
    if (now >= limit.until || informed == limit.informed.end() ||
        now < informed->second + limit_slack ||
        now < limit.first_said + this->options.reaction_time ||
        !this->is_in_touch(record.request.entry, now)) {
        return;
    }
    limit.arrivals.push_back(now);
    const auto in_window = std::count_if(limit.arrivals.begin(), limit.arrivals.end(),
                                         [&](steady_time at) { return at > now - limit_window; });
    const double allowed =
        limit_tolerance * limit.per_s * std::chrono::duration<double>(limit_window).count() +
        most_beyond_limit;
    if (static_cast<double>(in_window) > allowed) {
        this->broken.push_back(absl::StrCat("limit: ", record.request.id, " is the ", in_window,
                                            "th in 4 s to reach ", server_id, ", which takes ",
                                            limit.per_s, " a second"));
    }
}

void promise_ledger::check_crashing(const request_record& record)
{
    const steady_time now = steady_clock::now();
    if (this->crashes.size() < crashes_to_react ||
        now < this->crashes[crashes_to_react - 1] + this->options.reaction_time ||
        !this->is_in_touch(record.request.entry, now)) {
        return;
    }
    if (++this->arrivals_after_crashes > most_after_crashes) {
        this->broken.push_back(absl::StrCat("crashing: ", record.request.id, " is the ",
                                            this->arrivals_after_crashes,
                                            "th to reach a server long after the fifth crash"));
    }
}

bool promise_ledger::is_in_touch(const std::string& entry, steady_time now) const
{
    const auto restarted = this->restarts.find(entry);
    const bool runs_for_long =
        restarted == this->restarts.end() || now > restarted->second + this->options.reaction_time;
    return runs_for_long && this->is_untroubled(now - this->options.reaction_time, now);
}

void promise_ledger::note_limit_said(const std::string& id, const std::string& server_id,
                                     double per_s, steady_time until)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return;
    }
    named_limit& limit = this->limits[server_id];
    if (limit.informed.empty()) {
        limit.first_said = steady_clock::now();
    }
    limit.per_s = per_s;
    limit.until = until;
    limit.informed.emplace(found->second.request.entry, steady_clock::now());
}

void promise_ledger::note_evacuation(const std::string& data_centre)
{
    const absl::MutexLock lock(&this->mutex);
    this->evacuations[data_centre] = steady_clock::now();
}

void promise_ledger::note_evacuation_end(const std::string& data_centre)
{
    const absl::MutexLock lock(&this->mutex);
    this->evacuations.erase(data_centre);
}

void promise_ledger::check_evacuation(const std::string& id, const std::string& server_id,
                                      const std::string& data_centre)
{
    const absl::MutexLock lock(&this->mutex);
    const steady_time now = steady_clock::now();
    const auto begun = this->evacuations.find(data_centre);
    const auto found = this->requests.find(id);
    if (begun == this->evacuations.end() || found == this->requests.end() ||
        now < begun->second + this->options.reaction_time ||
        !this->is_in_touch(found->second.request.entry, now)) {
        return;
    }
    this->broken.push_back(
        absl::StrCat("evacuated: ", id, " reaches ", server_id, " in ", data_centre, " ",
                     std::chrono::duration_cast<milliseconds>(now - begun->second).count(),
                     " ms after its evacuation"));
}

void promise_ledger::note_crash()
{
    const absl::MutexLock lock(&this->mutex);
    this->crashes.push_back(steady_clock::now());
}

void promise_ledger::check_notices(const request_record& record, const std::string& server_id)
{
    const steady_time now = steady_clock::now();
    const entry_and_server key = {record.request.entry, server_id};
    const auto left = this->leaving_passed_on.find(key);
    if (left != this->leaving_passed_on.end() &&
        record.sent_at > left->second + this->options.leaving_bound) {
        this->broken.push_back(absl::StrCat("leaving: ", record.request.id, " reaches ", server_id,
                                            " long after ", record.request.entry,
                                            " was told that it leaves"));
    }
    const auto held = this->hold_offs.find(key);
    if (held == this->hold_offs.end() || now < held->second.at + hold_off_slack ||
        now > held->second.until || !this->is_calm(held->second.at - trouble_echo, now)) {
        return;
    }
    if (++held->second.arrivals > most_in_hold_off) {
        this->broken.push_back(absl::StrCat("hold_off: ", record.request.id, " is the ",
                                            held->second.arrivals, "th to reach ", server_id,
                                            " from ", record.request.entry, " while it holds off"));
    }
}

void promise_ledger::note_leaving_said(const std::string& id, const std::string& server_id)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->requests.find(id);
    if (found != this->requests.end()) {
        found->second.leaving_servers.push_back(server_id);
    }
}

void promise_ledger::note_hold_off_said(const std::string& id, const std::string& server_id,
                                        steady_time until)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->requests.find(id);
    if (found != this->requests.end()) {
        this->hold_offs.emplace(entry_and_server{found->second.request.entry, server_id},
                                announced_hold_off{steady_clock::now(), until, 0});
    }
}

void promise_ledger::note_entry_restart(const std::string& entry)
{
    const absl::MutexLock lock(&this->mutex);
    const auto of_entry = [&](const auto& named) { return named.first.first == entry; };
    std::erase_if(this->leaving_passed_on, of_entry);
    std::erase_if(this->hold_offs, of_entry);
    for (auto& [server, limit] : this->limits) {
        limit.informed.erase(entry);
    }
    this->restarts[entry] = steady_clock::now();
}

void promise_ledger::note_begun(const begun_run& run)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->requests.find(run.request_id);
    if (found == this->requests.end()) {
        this->broken.push_back(absl::StrCat("unasked: ", run.server_id, " runs ", run.request_id,
                                            " ", run.target, ", which nobody sent"));
        return;
    }
    this->check_run(found->second, run);
    found->second.runs.push_back(run);
}

void promise_ledger::note_ended(const std::string& id)
{
    const absl::MutexLock lock(&this->mutex);
    request_record& record = this->requests[id];
    record.last_end = steady_clock::now();
    ++record.runs_ended;
}

void promise_ledger::check_run(const request_record& record, const begun_run& run)
{
    const sent_request& sent = record.request;
    if (run.method != sent.method || run.target != sent.target || run.body != sent.body) {
        this->broken.push_back(absl::StrCat("unasked: ", sent.id, " was changed on its way"));
    }
    if (run.team != sent.team) {
        this->broken.push_back(
            absl::StrCat("unasked: ", sent.id, " runs for team ", run.team, ", not ", sent.team));
    }
    if (sent.service.empty()) {
        this->check_moving(record, run);
        return;
    }
    if (run.service != sent.service) {
        this->broken.push_back(
            absl::StrCat("route: ", sent.id, " runs at ", run.service, ", not ", sent.service));
    }
}

void promise_ledger::check_moving(const request_record& record, const begun_run& run)
{
    // Allowed is each service that was in force, or on its way, when the request was sent.
    const steady_time settled = record.sent_at - this->options.config_bound;
    std::string before;
    bool allowed = false;
    for (const config_change& change : this->configs) {
        if (change.at <= settled) {
            before = change.service;
            continue;
        }
        allowed = allowed || change.service == run.service;
    }
    allowed = allowed || before == run.service;
    if (!allowed && this->is_calm(settled - trouble_echo, steady_clock::now())) {
        this->broken.push_back(absl::StrCat("config: ", record.request.id, " runs at ", run.service,
                                            " long after the route has left it"));
    }
}

void promise_ledger::note_trouble(steady_time until)
{
    const absl::MutexLock lock(&this->mutex);
    this->troubles.push_back({steady_clock::now(), until + trouble_echo});
}

void promise_ledger::note_config(const std::string& service)
{
    const absl::MutexLock lock(&this->mutex);
    this->configs.push_back({steady_clock::now(), service});
}

bool promise_ledger::is_calm(steady_time begin, steady_time end) const
{
    const bool crashed =
        std::any_of(this->crashes.begin(), this->crashes.end(), [&](steady_time crash) {
            return crash <= end && crash + trouble_echo >= begin;
        });
    return !crashed && this->is_untroubled(begin, end);
}

bool promise_ledger::is_untroubled(steady_time begin, steady_time end) const
{
    return std::none_of(this->troubles.begin(), this->troubles.end(), [&](const span& trouble) {
        return trouble.begin <= end && trouble.end >= begin;
    });
}

void promise_ledger::judge_request(const request_record& record,
                                   std::vector<std::string>& all) const
{
    const sent_request& sent = record.request;
    const auto runs = static_cast<int>(record.runs.size());
    if (sent.kind == soak_kind::non_idempotent && runs > 1) {
        all.push_back(absl::StrCat("twice: ", sent.id, " ", sent.target, " ran ", runs, " times"));
    }
    if (runs > sent.most_servers) {
        all.push_back(absl::StrCat("attempts: ", sent.id, " ran on ", runs, " servers, allowed ",
                                   sent.most_servers));
    }
    if (says_not_run(record.status) && runs > 0) {
        all.push_back(absl::StrCat("refused: ", sent.id, " ", sent.target, " was answered ",
                                   record.status, " and ran"));
    }
}

void promise_ledger::judge_left(std::vector<std::string>& all) const
{
    int begun = 0;
    int late = 0;
    std::string example;
    for (const auto& [id, record] : this->requests) {
        if (!record.left || record.runs.empty() ||
            record.request.kind == soak_kind::non_idempotent ||
            !this->is_calm(record.left_at - trouble_echo, record.left_at + leave_bound)) {
            continue;
        }
        ++begun;
        const bool ended_late = record.last_end > record.left_at + leave_bound;
        late += ended_late ? 1 : 0;
        example = ended_late ? id : example;
    }
    if (late >= least_late_ends && late > most_late_ends * begun) {
        all.push_back(absl::StrCat("left: servers worked on at ", late, " of ", begun,
                                   " requests whose callers had left, such as ", example));
    }
}

std::string promise_ledger::service_of(const request_record& record) const
{
    if (!record.request.service.empty()) {
        return record.request.service;
    }
    if (!record.reached.empty()) {
        return record.reached;
    }
    std::string in_force;
    for (const config_change& change : this->configs) {
        if (change.at <= record.sent_at) {
            in_force = change.service;
        }
    }
    return in_force;
}

void promise_ledger::judge_budget(std::vector<std::string>& all) const
{
    std::map<std::string, retry_arrivals> by_service = this->arrivals;
    for (const auto& [id, record] : this->requests) {
        by_service[this->service_of(record)].note_sent(record.sent_at);
    }
    for (const auto& [service, of_service] : by_service) {
        const retry_arrivals::excess found = of_service.greatest_excess(this->options.retries);
        if (found.over > 0) {
            all.push_back(absl::StrCat("budget: ", service, " got ", found.over,
                                       " arrivals beyond its budget of a window: ", found.beyond,
                                       " beyond the first of ", found.requests, " requests"));
        }
    }
}

std::vector<std::string> promise_ledger::judge() const
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<std::string> all = this->broken;
    for (const auto& [id, record] : this->requests) {
        this->judge_request(record, all);
    }
    for (const lost_answer& lost : this->lost_answers) {
        this->judge_lost(lost, all);
    }
    this->judge_left(all);
    this->judge_budget(all);
    return all;
}

promise_ledger::totals promise_ledger::count() const
{
    const absl::MutexLock lock(&this->mutex);
    totals all;
    for (const auto& [id, record] : this->requests) {
        ++all.sent;
        all.runs += static_cast<int>(record.runs.size());
        all.left += record.left ? 1 : 0;
        all.succeeded += is_success(record.status) ? 1 : 0;
        all.not_run += says_not_run(record.status) ? 1 : 0;
        all.failed += !record.left && !is_success(record.status) && !says_not_run(record.status);
    }
    return all;
}

double promise_ledger::success_share(steady_time since, steady_time until) const
{
    const absl::MutexLock lock(&this->mutex);
    int answered = 0;
    int succeeded = 0;
    for (const auto& [id, record] : this->requests) {
        if (record.sent_at < since || record.sent_at > until || record.left ||
            record.request.crashes_servers) {
            continue;
        }
        ++answered;
        succeeded += is_success(record.status) ? 1 : 0;
    }
    return answered == 0 ? 0 : static_cast<double>(succeeded) / answered;
}

} // namespace sardinestream::testing
