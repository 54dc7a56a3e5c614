// The part of the agent that coordinates the maps of its group: when it takes over, the orders that
// it gives, and the ranks that it reaches itself.

#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/programs/agent_program.h"
#include "sardinestream/programs/rank_news.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds sign_interval{200};
// Silence of the coordinator after which another agent takes over; later ranks wait longer, so
// that they do not all do so at once.
constexpr milliseconds coordinator_silence{700};
constexpr milliseconds first_coordinator_wait{250};
constexpr milliseconds silence_per_rank{60};
// How often a rank without an agent is reached from the coordinator.
constexpr milliseconds reach_interval{200};
// An agent without a state for so long counts as silent.
constexpr milliseconds agent_silence{700};

// The rank in the low bits keeps two agents from taking the same term.
std::uint64_t next_term(std::uint64_t newest, int rank)
{
    constexpr int rank_bits = 16;
    return ((newest >> rank_bits) + 1) << rank_bits | static_cast<std::uint64_t>(rank);
}

} // namespace

void agent_program::send_due_signs_of_life()
{
    if (steady_clock::now() >= this->next_sign) {
        this->next_sign = steady_clock::now() + sign_interval;
        this->send_signs_of_life();
    }
}

void agent_program::consider_coordinating()
{
    const bool whole_group = this->shape.ranks > 0 && this->shape.experts <= most_experts &&
                             static_cast<int>(this->group.size()) >= this->shape.ranks;
    const auto silence = (this->heard_directive ? coordinator_silence : first_coordinator_wait) +
                         silence_per_rank * this->engine.report()->rank;
    if (this->is_coordinating() || !whole_group ||
        steady_clock::now() - this->last_directive < silence) {
        return;
    }
    this->begin_coordinating();
}

void agent_program::begin_coordinating()
{
    this->obeyed = {next_term(this->obeyed.term, this->engine.report()->rank),
                    this->engine.report()->rank, ip_number(this->options.ip)};
    coordinator_options chosen;
    chosen.shape = this->shape;
    chosen.planner = this->planner;
    chosen.planner.skew_weight = this->options.skew_weight;
    chosen.planner.rebalance_weight = this->options.rebalance_weight;
    chosen.planner.on_progress = [this] { this->send_due_signs_of_life(); };
    chosen.own_rank = this->engine.report()->rank;
    this->coordinator = std::make_unique<map_coordinator>(chosen);
    this->state_sequences.clear();
    this->silent.clear();
    this->state_times.clear();
    this->coordinating_since = steady_clock::now();
    log_event("coordinating", {{"term", this->obeyed.term},
                               {"group", this->engine.report()->group},
                               {"rank", this->engine.report()->rank}});
    this->send_signs_of_life();
}

void agent_program::stop_coordinating(const coordinator_term& successor)
{
    log_event("coordinating_ended", {{"term", this->obeyed.term}, {"successor", successor.term}});
    this->coordinator.reset();
}

news::DirectiveT agent_program::make_directive() const
{
    news::DirectiveT directive;
    directive.group = this->engine.report()->group;
    directive.term = this->obeyed.term;
    directive.coordinator_rank = this->obeyed.rank;
    directive.coordinator_ip = this->obeyed.ip;
    return directive;
}

void agent_program::send_signs_of_life()
{
    const news::NewsT message = make_news(this->make_directive());
    for (const auto& [rank, place] : this->group) {
        if (rank != this->engine.report()->rank) {
            this->socket.send(message, {ip_text(place.ip), this->options.news_port});
        }
    }
}

void agent_program::take_state(const news::RankStateT& state)
{
    if (!this->is_coordinating() || !this->engine.report().has_value() ||
        state.group != this->engine.report()->group) {
        return;
    }
    if (state.term > this->obeyed.term) {
        // Another agent has taken over; its directives say who.
        this->stop_coordinating({state.term, 0, 0});
        this->obeyed = {state.term, -1, 0};
        this->last_directive = steady_clock::now();
        return;
    }
    std::uint64_t& newest = this->state_sequences[state.rank];
    constexpr std::uint64_t reordering_window = 64;
    const bool late = state.sequence <= newest && newest - state.sequence < reordering_window;
    if (state.term != this->obeyed.term || late) {
        return;
    }
    newest = state.sequence;
    this->state_times[state.rank] = steady_clock::now();
    absl::StatusOr<rank_state> decoded = decode_state(state, this->shape.sets);
    if (!decoded.ok()) {
        log_failure("state_unreadable", decoded.status(), {{"rank", state.rank}});
        return;
    }
    this->coordinator->take_state(*std::move(decoded), steady_clock::now());
    this->coordinate();
}

void agent_program::coordinate()
{
    // An order to the own engine changes its report at once, which may call for the next order.
    constexpr int most_rounds = 4;
    for (int round = 0; round < most_rounds && this->is_coordinating(); ++round) {
        bool own = false;
        for (const rank_order& order : this->coordinator->next_orders(steady_clock::now())) {
            this->give(order);
            own = own || order.rank == this->engine.report()->rank;
        }
        if (!own || !this->refresh() || !this->is_coordinating()) {
            return;
        }
        this->coordinator->take_state(this->own_state(), steady_clock::now());
    }
}

void agent_program::give(const rank_order& wanted)
{
    if (!this->engine.report().has_value()) {
        return;
    }
    engine_order order;
    order.kind = wanted.kind;
    order.epoch = this->coordinator->epoch();
    order.version = wanted.version;
    order.step = wanted.step;
    if (wanted.kind == order_kind::prepare) {
        order.map = this->coordinator->wanted_map();
    }
    if (wanted.rank == this->engine.report()->rank) {
        this->carry_out(order, this->obeyed.term);
        return;
    }
    if (this->silent.has(wanted.rank)) {
        this->silent.give(wanted.rank, order, this->obeyed.term);
        return;
    }
    const auto place = this->group.find(wanted.rank);
    if (place == this->group.end()) {
        return;
    }
    news::DirectiveT directive = this->make_directive();
    directive.sequence = ++this->sequence;
    // One that has not taken the changes may not know the map before them.
    const versioned_map& replaced = this->coordinator->replaced_map();
    add_order(order, wanted.repeated || replaced.version == 0 ? nullptr : &replaced, directive);
    this->socket.send(make_news(std::move(directive)),
                      {ip_text(place->second.ip), this->options.news_port});
}

void agent_program::reach_missing_ranks()
{
    const steady_time now = steady_clock::now();
    if (now - this->last_reach < reach_interval || now - this->coordinating_since < agent_silence) {
        return;
    }
    this->last_reach = now;
    for (const auto& [rank, place] : this->group) {
        if (!this->engine.report().has_value() || !this->is_coordinating()) {
            return;
        }
        const auto heard = this->state_times.find(rank);
        const bool silent =
            rank != this->engine.report()->rank &&
            (heard == this->state_times.end() || now - heard->second > agent_silence);
        if (!silent) {
            this->silent.forget(rank);
            continue;
        }
        std::optional<rank_state> state =
            this->silent.read(rank, place.engine, this->engine.report()->group);
        if (state.has_value()) {
            this->coordinator->take_state(*std::move(state), steady_clock::now());
            this->coordinate();
        }
    }
}

} // namespace sardinestream
