#include "sardinestream/experts/rebalancer.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream::experts {
namespace {

constexpr int max_coordinators = 2;

} // namespace

std::unique_ptr<rebalancer> rebalancer::create(rebalancer_options options, engine_client& engine,
                                               agent_peers peers, propose_hook propose)
{
    std::unique_ptr<rebalancer> made(
        new rebalancer(std::move(options), engine, std::move(peers), std::move(propose)));
    made->running = std::thread([balance = made.get()] { balance->run(); });
    return made;
}

rebalancer::rebalancer(rebalancer_options options, engine_client& rank_engine, agent_peers agents,
                       propose_hook propose_map)
    : settings(std::move(options)), engine(rank_engine), peers(std::move(agents)),
      propose(std::move(propose_map))
{
}

rebalancer::~rebalancer()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->running.join();
}

void rebalancer::run()
{
    while (true) {
        this->send_report();
        this->decide();
        const absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                         this->settings.report_interval)) {
            return;
        }
    }
}

void rebalancer::send_report()
{
    const absl::StatusOr<engine_state> state = this->engine.read_state();
    absl::StatusOr<engine_load> load = this->engine.read_load();
    if (!state.ok() || !load.ok() || state->group_incarnation == 0) {
        return;
    }
    expert_loadT message;
    message.group = this->settings.group;
    message.group_incarnation = state->group_incarnation;
    message.rank = static_cast<std::uint32_t>(this->settings.rank);
    message.step = load->step;
    message.tokens = std::move(load->tokens);
    message.busy_us = load->busy_us;
    observe_seconds("sardine_step_seconds", {{"group", this->settings.group}}, load->step_us / 1e6);
    const std::string payload = wire::encode<expert_load>(message);
    for (int rank = 0; rank < std::min(max_coordinators, this->settings.ranks); ++rank) {
        if (rank == this->settings.rank) {
            this->note_load(message);
            continue;
        }
        this->peers.notify(rank, wire::frame_type::expert_load, payload);
    }
}

void rebalancer::note_load(const expert_loadT& load)
{
    if (load.group != this->settings.group ||
        load.rank >= static_cast<std::uint32_t>(this->settings.ranks)) {
        return;
    }
    const absl::MutexLock lock(&this->mutex);
    this->reports[static_cast<int>(load.rank)] = {load, absl::Now()};
}

bool rebalancer::is_fresh(int rank)
{
    auto found = this->reports.find(rank);
    return found != this->reports.end() &&
           absl::Now() - found->second.received < this->settings.report_lifetime;
}

bool rebalancer::is_coordinator()
{
    for (int rank = 0; rank < this->settings.rank; ++rank) {
        if (this->is_fresh(rank)) {
            return false;
        }
    }
    return this->settings.rank < max_coordinators;
}

std::optional<group_load> rebalancer::collect()
{
    group_load load;
    load.ranks = this->settings.ranks;
    load.busy_us.resize(this->settings.ranks);
    for (int rank = 0; rank < this->settings.ranks; ++rank) {
        if (!this->is_fresh(rank)) {
            return std::nullopt;
        }
        const expert_loadT& reported = this->reports[rank].load;
        load.tokens.resize(std::max(load.tokens.size(), reported.tokens.size()));
        for (std::size_t expert = 0; expert < reported.tokens.size(); ++expert) {
            load.tokens[expert] += reported.tokens[expert];
        }
        load.busy_us[rank] = reported.busy_us;
    }
    return load;
}

void rebalancer::decide()
{
    if (!this->settings.policy) {
        return;
    }
    std::optional<group_load> load;
    {
        const absl::MutexLock lock(&this->mutex);
        load = this->is_coordinator() ? this->collect() : std::nullopt;
    }
    if (!load.has_value()) {
        return;
    }
    absl::StatusOr<expert_mapT> map = this->engine.read_map();
    if (!map.ok()) {
        return;
    }
    load->map = *std::move(map);
    if (load->map.ranks.size() != load->tokens.size()) {
        return;
    }
    set_gauge("sardine_expert_skew", {{"group", this->settings.group}},
              load_skew(load->map, load->tokens, load->ranks));
    set_gauge("sardine_stragglers", {{"group", this->settings.group}},
              static_cast<double>(find_stragglers(*load).size()));
    const std::optional<rebalance_plan> plan = this->settings.policy()(*load);
    if (!plan.has_value()) {
        return;
    }
    log_event("rebalance", {{"group", this->settings.group},
                            {"moves", plan->moves},
                            {"skew_before", plan->skew_before},
                            {"skew_after", plan->skew_after}});
    const absl::StatusOr<bool> committed = this->propose(plan->map);
    if (!committed.ok()) {
        log_failure("rebalance_failed", committed.status(), {{"group", this->settings.group}});
        return;
    }
    if (*committed) {
        count("sardine_experts_moved_total", {{"group", this->settings.group}}, plan->moves);
    }
}

} // namespace sardinestream::experts
