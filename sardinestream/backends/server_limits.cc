#include "sardinestream/backends/server_limits.h"

#include <algorithm>
#include <chrono>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/rendezvous.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

// A process uses a server only for at least this many requests per second, since its single token
// may be spent at the same time as those of all others.
constexpr double min_own_rate = 0.5;
// A server that accepts less is still asked so often whether its limit has ended.
constexpr double min_max_rate = 0.1;
// After this time without an answer, the processes that use the server may have no requests for it,
// so the others follow.
constexpr std::chrono::seconds confirmation_time{10};
// After this time without an answer, a statement is forgotten.
constexpr std::chrono::seconds statement_lifetime{60};
// Statements are statements to other processes for this time.
constexpr std::chrono::seconds telling_time{20};
constexpr std::size_t max_limits = 4096;
// Statements that are statements at a time, so that they fit into one message.
constexpr std::size_t max_statements = 512;

steady_clock::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

std::uint64_t server_limits::start_key(const backend_server& server)
{
    return stable_hash(absl::StrCat(server.id, " ", server.born_ms));
}

void server_limits::set_processes(const process_group& group)
{
    this->processes = group;
}

bool server_limits::note_answer(const backend_server& server, std::optional<double> max_rate,
                                steady_time now)
{
    if (this->limits.empty() && !max_rate.has_value()) {
        return false;
    }
    const std::uint64_t key = start_key(server);
    const auto found = this->limits.find(key);
    const bool is_limited =
        found != this->limits.end() && found->second.latest.max_rate.has_value();
    if (!is_limited && !max_rate.has_value()) {
        return false;
    }
    const bool changed = found == this->limits.end() || found->second.latest.max_rate != max_rate;
    this->note_statement({key, max_rate, now}, now);
    if (const auto known = this->limits.find(key); known != this->limits.end()) {
        known->second.heard_here = limit_statement{key, max_rate, now};
    }
    return changed;
}

void server_limits::note_statement(const limit_statement& heard, steady_time now)
{
    const auto found = this->limits.find(heard.server);
    if (found == this->limits.end()) {
        this->forget_old(now);
        if (this->limits.size() < max_limits) {
            known_limit& added = this->limits[heard.server];
            added.latest = heard;
            // What this process sent before it knew of the limit counts as well.
            added.next_request = now;
            if (heard.max_rate.has_value()) {
                added.next_request += to_duration(1 / this->own_share(added).rate);
            }
        }
        return;
    }
    known_limit& known = found->second;
    if (heard.heard < known.latest.heard) {
        return;
    }
    known.latest = heard;
}

std::vector<limit_statement> server_limits::own_statements(steady_time now) const
{
    std::vector<limit_statement> statements;
    for (const auto& [key, known] : this->limits) {
        if (!known.heard_here.has_value() || now - known.heard_here->heard >= telling_time) {
            continue;
        }
        // What another process has heard since may contradict it.
        if (known.heard_here->max_rate == known.latest.max_rate) {
            statements.push_back(*known.heard_here);
        }
    }
    if (statements.size() > max_statements) {
        std::sort(statements.begin(), statements.end(),
                  [](const auto& left, const auto& right) { return left.heard > right.heard; });
        statements.resize(max_statements);
    }
    return statements;
}

const server_limits::known_limit* server_limits::find(const backend_server& server,
                                                      steady_time now) const
{
    if (this->limits.empty()) {
        return nullptr;
    }
    const auto found = this->limits.find(start_key(server));
    const bool in_force = found != this->limits.end() &&
                          found->second.latest.max_rate.has_value() &&
                          now - found->second.latest.heard < statement_lifetime;
    return in_force ? &found->second : nullptr;
}

std::optional<double> server_limits::max_rate(const backend_server& server, steady_time now) const
{
    const known_limit* const known = this->find(server, now);
    return known == nullptr ? std::nullopt : known->latest.max_rate;
}

server_limits::share server_limits::own_share(const known_limit& known) const
{
    const int all = static_cast<int>(this->processes.others.size()) + 1;
    const double rate = std::max(*known.latest.max_rate, min_max_rate);
    const auto users = static_cast<int>(std::clamp(rate / min_own_rate, 1.0, double(all)));
    const int rank =
        rendezvous_rank(known.latest.server, this->processes.own, this->processes.others);
    return rank < users ? share{rate / users, 0} : share{rate / all, rank - users + 1};
}

steady_time server_limits::next_request_time(const backend_server& server, steady_time now) const
{
    const known_limit* const known = this->find(server, now);
    if (known == nullptr) {
        return now;
    }
    const share own = this->own_share(*known);
    if (own.reserve_position == 0) {
        return known->next_request;
    }
    const double rate = std::max(*known->latest.max_rate, min_max_rate);
    return std::max(known->next_request, known->latest.heard + confirmation_time +
                                             to_duration(own.reserve_position / rate));
}

void server_limits::note_request(const backend_server& server, steady_time now)
{
    if (this->find(server, now) == nullptr) {
        return;
    }
    known_limit& known = this->limits.at(start_key(server));
    known.next_request = now + to_duration(1 / this->own_share(known).rate);
}

void server_limits::forget_old(steady_time now)
{
    std::erase_if(this->limits, [&](const auto& entry) {
        return now - entry.second.latest.heard >= statement_lifetime;
    });
}

} // namespace sardinestream
