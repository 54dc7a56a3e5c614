#include "sardinestream/programs/agentless_ranks.h"

#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/programs/rank_messages.h"

namespace sardinestream {

agentless_ranks::agentless_ranks(engine_connector connector) : connect(std::move(connector)) {}

bool agentless_ranks::refresh_experts(int rank, reached_rank& reached, std::int64_t version)
{
    if (reached.experts_version == version) {
        return true;
    }
    absl::StatusOr<rank_experts> held = reached.engine.read_experts();
    if (!held.ok()) {
        log_failure("experts_unread", held.status(), {{"rank", rank}});
        return false;
    }
    reached.experts = *std::move(held);
    reached.experts_version = version;
    return true;
}

std::optional<rank_state> agentless_ranks::read(int rank, const address& engine,
                                                const std::string& group)
{
    auto found = this->ranks.find(rank);
    if (found == this->ranks.end()) {
        log_event("rank_reached_directly", {{"rank", rank}, {"engine", engine.to_string()}});
        found = this->ranks.emplace(rank, reached_rank(this->connect(engine))).first;
    }
    reached_rank& reached = found->second;
    reached.last_read = steady_clock::now();
    reached.answers = false;
    const absl::StatusOr<engine_report> report = reached.engine.read_report();
    if (!report.ok()) {
        log_failure("rank_unreachable", report.status(), {{"rank", rank}});
        return std::nullopt;
    }
    if (report->group != group || report->rank != rank) {
        log_event("rank_moved", {{"rank", rank}, {"group", report->group}});
        return std::nullopt;
    }
    if (!this->refresh_experts(rank, reached, report->map_report.map_version)) {
        return std::nullopt;
    }
    reached.answers = true;
    rank_state state;
    state.rank = rank;
    state.report = report->map_report;
    state.broken = report->broken;
    state.slowness = report->slowness;
    state.prepares = reached.prepares;
    state.experts = reached.experts;
    state.without_agent = true;
    return state;
}

bool agentless_ranks::answers(int rank) const
{
    const auto found = this->ranks.find(rank);
    return found != this->ranks.end() && found->second.answers;
}

steady_time agentless_ranks::last_read(int rank) const
{
    const auto found = this->ranks.find(rank);
    return found == this->ranks.end() ? steady_time{} : found->second.last_read;
}

void agentless_ranks::give_order(int rank, const engine_order& order, std::uint64_t term)
{
    const auto found = this->ranks.find(rank);
    if (found == this->ranks.end()) {
        return;
    }
    const order_outcome outcome = found->second.engine.send_order(order);
    found->second.prepares.record_outcome(order, outcome);
    log_order(order, term, outcome);
}

} // namespace sardinestream
