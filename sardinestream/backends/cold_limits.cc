#include "sardinestream/backends/cold_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

#include "sardinestream/base/rendezvous.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// The bound holds for each interval of one second, ends included.
constexpr milliseconds bound_interval{1001};
// A server that is out of service returns some time before this process knows of it.
constexpr milliseconds unsure_margin{1000};
// Number of processes that are assumed to share the bound until the actual ones are known.
constexpr int assumed_processes_at_start = 32;
// Parts of such processes that the others leave free: they do not know them at first.
constexpr int parts_left_free = 4;
// Time from the first word of another process until all are taken to be known.
constexpr milliseconds settling_time{3000};
// While the store has not confirmed the list, the servers may be cold for so much longer.
constexpr milliseconds list_recheck{100};
// Requests with this process may be assigned and not sent; they are looked for again this often.
constexpr milliseconds unsent_recheck{10};
// Limits the memory for a server.
constexpr int max_bound = 256;
// Keeps a floating-point product that is a whole number from being rounded down.
constexpr double rounding_margin = 1e-9;

} // namespace

absl::string_view name_of(cold_condition condition)
{
    switch (condition) {
    case cold_condition::cold:
        return "yes";
    case cold_condition::perhaps_cold:
        return "perhaps";
    default:
        return "no";
    }
}

void cold_limits::set_servers(absl::Span<const backend_server> listed, steady_time now)
{
    if (!this->is_on()) {
        return;
    }
    std::set<std::string> ids;
    for (const backend_server& server : listed) {
        ids.insert(server.id);
        const auto [found, is_new] = this->servers.try_emplace(server.id);
        usage& known = found->second;
        if (is_new || known.born_ms != server.born_ms || !(known.endpoint == server.endpoint)) {
            known.born_ms = server.born_ms;
            known.endpoint = server.endpoint;
            known.unsure_since = now;
        }
        known.stated_end = server.cold_until;
    }
    std::erase_if(this->servers, [&](const auto& named) {
        const usage& known = named.second;
        const bool is_recent = !known.sent.empty() && known.sent.back() + bound_interval > now;
        return ids.count(named.first) == 0 && known.unsent == 0 && !is_recent;
    });
}

void cold_limits::note_list_answer(steady_time now)
{
    if (now - this->last_list_answer >= list_answer_time) {
        for (auto& [id, known] : this->servers) {
            known.unsure_since = now;
        }
    }
    this->last_list_answer = now;
}

void cold_limits::set_policies(const service_policies& declared)
{
    this->policies.clear();
    for (const auto& [service, policy] : declared) {
        if (this->is_on() && policy.cold_rate > 0) {
            this->policies.emplace(service, policy);
        }
    }
}

void cold_limits::set_processes(const process_group& processes, steady_time now)
{
    this->own = processes.own;
    this->others = processes.others;
    this->others.insert(this->others.end(), processes.silent.begin(), processes.silent.end());
    if (this->first_heard == steady_time{} && !processes.others.empty()) {
        this->first_heard = now;
    }
}

const cold_limits::usage* cold_limits::find(const backend_server& server) const
{
    const auto found = this->servers.find(server.id);
    return found == this->servers.end() ? nullptr : &found->second;
}

const service_policy* cold_limits::policy_of(const backend_server& server) const
{
    const auto found = this->policies.find(server.service);
    return found == this->policies.end() ? nullptr : &found->second;
}

void cold_limits::note_outage(const backend_server& server, steady_time now)
{
    if (const auto found = this->servers.find(server.id); found != this->servers.end()) {
        found->second.unsure_since = now;
    }
}

void cold_limits::note_placed(const backend_server& server)
{
    if (const auto found = this->servers.find(server.id); found != this->servers.end()) {
        ++found->second.unsent;
    }
}

void cold_limits::note_never_sent(const backend_server& server)
{
    if (const auto found = this->servers.find(server.id); found != this->servers.end()) {
        found->second.unsent = std::max(0, found->second.unsent - 1);
    }
}

void cold_limits::note_sent(const backend_server& server, steady_time now)
{
    this->note_never_sent(server);
    const auto found = this->servers.find(server.id);
    if (found == this->servers.end()) {
        return;
    }
    std::deque<steady_time>& sent = found->second.sent;
    sent.push_back(now);
    while (sent.size() > max_bound || sent.front() + bound_interval <= now) {
        sent.pop_front();
    }
}

int cold_limits::bound_of(const service_policy& policy) const
{
    const double all = policy.cold_rate * this->bound.overage + this->bound.slack;
    return static_cast<int>(std::clamp(all + rounding_margin, 0.0, double(max_bound)));
}

int cold_limits::own_part(const backend_server& server, int all, steady_time now) const
{
    const bool settled =
        this->first_heard != steady_time{} && now - this->first_heard >= settling_time;
    const int known = static_cast<int>(this->others.size()) + 1;
    const int sharing = settled ? known : std::max(known, assumed_processes_at_start);
    if (!settled) {
        return all / sharing;
    }
    const int shared = all - parts_left_free * (all / assumed_processes_at_start);
    if (shared >= sharing) {
        return shared / sharing;
    }
    const int rank = rendezvous_rank(server_limits::start_key(server), this->own, this->others);
    return rank < shared ? 1 : 0;
}

steady_time cold_limits::cold_end(const usage& known, const service_policy& policy,
                                  steady_time now) const
{
    const steady_time end =
        std::max(known.stated_end, known.unsure_since + policy.cold_period + unsure_margin);
    return now - this->last_list_answer < list_answer_time ? end
                                                           : std::max(end, now + list_recheck);
}

cold_condition cold_limits::condition(const backend_server& server, steady_time now) const
{
    const service_policy* const policy = this->policy_of(server);
    const usage* const known = policy == nullptr ? nullptr : this->find(server);
    if (known == nullptr || cold_end(*known, *policy, now) <= now) {
        return cold_condition::warm;
    }
    return known->stated_end > now ? cold_condition::cold : cold_condition::perhaps_cold;
}

steady_time cold_limits::next_request_time(const backend_server& server, steady_time now) const
{
    const service_policy* const policy = this->policy_of(server);
    const usage* const known = policy == nullptr ? nullptr : this->find(server);
    if (known == nullptr) {
        return now;
    }
    const steady_time end = cold_end(*known, *policy, now);
    if (end <= now) {
        return now;
    }
    const int part = this->own_part(server, this->bound_of(*policy), now);
    if (part == 0) {
        return end;
    }
    const int left = part - known->unsent;
    if (left <= 0) {
        return std::min(end, now + unsent_recheck);
    }
    // The request after which `left` were sent must be out of the interval.
    const auto before = static_cast<std::size_t>(left);
    return known->sent.size() < before
               ? now
               : std::min(end, known->sent[known->sent.size() - before] + bound_interval);
}

} // namespace sardinestream
