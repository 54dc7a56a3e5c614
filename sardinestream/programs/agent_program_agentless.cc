// Implements the coordinator's calls of engines whose agents do not respond.

#include <algorithm>
#include <utility>

#include "sardinestream/programs/agent_program.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Interval at which the coordinator polls ranks without a responsive agent.
constexpr milliseconds agentless_poll_interval{200};
// Ranks that answer, and then those that have not, are read for this long in one poll: messages
// wait meanwhile, and followers for the next heartbeat. A call without an answer takes about as
// long.
constexpr milliseconds max_agentless_time{80};

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
    if (now - this->last_agentless_poll < agentless_poll_interval) {
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
    const steady_time end = steady_clock::now() + max_agentless_time;
    for (const int rank : ranks) {
        const auto endpoint = this->endpoints.find(rank);
        if (!this->engine.report().has_value() || !this->is_coordinating() ||
            !this->may_call_others() || steady_clock::now() >= end ||
            endpoint == this->endpoints.end()) {
            return;
        }
        std::optional<rank_state> state = this->agentless.read(
            rank, {ip_to_string(endpoint->second.ip), endpoint->second.engine_port},
            this->engine.report()->group);
        if (state.has_value()) {
            this->coordinator->update_rank_state(*std::move(state), steady_clock::now());
            this->coordinate();
        }
    }
}

} // namespace sardinestream
