// Implements the coordinator's calls of engines whose agents do not respond.

#include <algorithm>
#include <utility>

#include "sardinestream/programs/agent_program.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Interval at which the coordinator polls ranks without a responsive agent.
constexpr milliseconds agentless_poll_interval{200};
// Calls without an answer may take this long in one poll, of ranks that answered before and of the
// others: messages wait meanwhile, and followers for the next heartbeat. One such call takes about
// as long.
constexpr milliseconds max_unanswered_time{80};

} // namespace

bool agent_program::is_silent(int rank) const
{
    const auto last_state = this->state_times.find(rank);
    const steady_time heard =
        last_state == this->state_times.end() ? this->coordinating_since : last_state->second;
    return rank != this->engine.report()->rank && steady_clock::now() - heard > agent_timeout;
}

void agent_program::poll_agentless_ranks()
{
    const steady_time now = steady_clock::now();
    // An order to this agent's own engine may just have gone unanswered.
    if (!this->engine.report().has_value() ||
        now - this->last_agentless_poll < agentless_poll_interval) {
        return;
    }
    this->last_agentless_poll = now;
    std::vector<int> answering;
    std::vector<int> others;
    for (const auto& [rank, endpoint] : this->endpoints) {
        if (!this->is_silent(rank)) {
            this->agentless.forget(rank);
            continue;
        }
        (this->agentless.answers(rank) ? answering : others).push_back(rank);
    }
    this->read_agentless(std::move(answering));
    this->read_agentless(std::move(others));
}

void agent_program::read_agentless(std::vector<int> ranks)
{
    std::stable_sort(ranks.begin(), ranks.end(), [this](int left, int right) {
        return this->agentless.last_read(left) < this->agentless.last_read(right);
    });
    steady_clock::duration unanswered{};
    for (const int rank : ranks) {
        const auto endpoint = this->endpoints.find(rank);
        if (!this->engine.report().has_value() || !this->is_coordinating() ||
            !this->may_call_others() || unanswered >= max_unanswered_time ||
            endpoint == this->endpoints.end()) {
            return;
        }
        const steady_time begin = steady_clock::now();
        std::optional<rank_state> state = this->agentless.read(
            rank, {ip_to_string(endpoint->second.ip), endpoint->second.engine_port},
            this->engine.report()->group);
        if (!state.has_value()) {
            unanswered += steady_clock::now() - begin;
            continue;
        }
        this->coordinator->update_rank_state(*std::move(state), steady_clock::now());
        this->coordinate();
    }
}

} // namespace sardinestream
