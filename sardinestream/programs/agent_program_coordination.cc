// The part of the agent that coordinates the maps of its group: when it takes over, the orders that
// it gives, and the ranks that it reaches itself.

#include <algorithm>
#include <cmath>
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
constexpr milliseconds agent_silence{800};

// What one machine sends at once without passing its link's queue; more goes through some of its
// receivers.
constexpr std::size_t most_bytes_at_once = 24000;
// Repetitions of an order after which its receiver may not know the map that it changes.
constexpr int most_repetitions_of_changes = 1;

// Whether two orders differ in their ranks alone.
bool is_same_order(const rank_order& one, const rank_order& other)
{
    return one.kind == other.kind && one.version == other.version && one.step == other.step &&
           one.repetitions == other.repetitions;
}

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
    const bool whole_group = this->shape.ranks > 0 &&
                             this->shape.experts <= max_serializable_experts &&
                             static_cast<int>(this->group.size()) >= this->shape.ranks;
    if (!whole_group) {
        this->whole_since = {};
        return;
    }
    const steady_time now = steady_clock::now();
    if (this->whole_since == steady_time{}) {
        this->whole_since = now;
    }
    const auto silence = (this->heard_directive ? coordinator_silence : first_coordinator_wait) +
                         silence_per_rank * this->engine.report()->rank;
    // All agents learn of the group at about the same time, and none was silent before that.
    if (this->is_coordinating() ||
        now - std::max(this->last_directive, this->whole_since) < silence) {
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
    std::vector<std::uint32_t> receivers;
    for (const auto& [rank, place] : this->group) {
        if (rank != this->engine.report()->rank) {
            receivers.push_back(place.ip);
        }
    }
    this->options.news.send(make_news(this->make_directive()), receivers);
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
    this->coordinator->update_rank_state(*std::move(decoded), steady_clock::now());
    this->states_came = true;
}

void agent_program::coordinate()
{
    // An order to the own engine changes its report at once, which may call for the next order.
    constexpr int most_rounds = 4;
    for (int round = 0;
         round < most_rounds && this->is_coordinating() && this->engine.report().has_value();
         ++round) {
        const std::vector<rank_order> orders = this->coordinator->next_orders(steady_clock::now());
        bool own = false;
        for (std::size_t begin = 0; begin < orders.size();) {
            std::vector<int> ranks;
            std::size_t end = begin;
            for (; end < orders.size() && is_same_order(orders[begin], orders[end]); ++end) {
                ranks.push_back(orders[end].rank);
                own = own || orders[end].rank == this->engine.report()->rank;
            }
            this->give(orders[begin], ranks);
            begin = end;
        }
        if (!own || !this->refresh() || !this->is_coordinating()) {
            return;
        }
        this->coordinator->update_rank_state(this->own_state(), steady_clock::now());
    }
}

engine_order agent_program::make_order(const rank_order& wanted) const
{
    engine_order order;
    order.kind = wanted.kind;
    order.epoch = this->coordinator->epoch();
    order.version = wanted.version;
    order.step = wanted.step;
    if (wanted.kind == order_kind::prepare) {
        order.map = this->coordinator->target_map();
    }
    return order;
}

void agent_program::give(const rank_order& wanted, absl::Span<const int> ranks)
{
    const engine_order order = this->make_order(wanted);
    const int own_rank = this->engine.report()->rank;
    std::vector<std::uint32_t> receivers;
    for (const int rank : ranks) {
        const auto place = this->group.find(rank);
        if (rank != own_rank && !this->silent.has(rank) && place != this->group.end()) {
            receivers.push_back(place->second.ip);
        }
    }
    // The others wait for their orders meanwhile, so the engines that are called from here come
    // last.
    this->send_order(wanted, order, std::move(receivers));
    for (const int rank : ranks) {
        if (rank == own_rank) {
            this->carry_out(order, this->obeyed.term);
        }
        else if (this->silent.has(rank)) {
            this->silent.give(rank, order, this->obeyed.term);
        }
    }
}

const versioned_map* agent_program::base_of(const rank_order& wanted) const
{
    const versioned_map& replaced = this->coordinator->replaced_map();
    // Every agent knows the map with which a group forms.
    const bool known = replaced.version > 0 || replaced.map == initial_map(this->shape);
    return known && wanted.repetitions <= most_repetitions_of_changes ? &replaced : nullptr;
}

void agent_program::send_order(const rank_order& wanted, const engine_order& order,
                               std::vector<std::uint32_t> receivers)
{
    if (receivers.empty()) {
        return;
    }
    news::DirectiveT directive = this->make_directive();
    directive.sequence = ++this->sequence;
    add_order(order, this->base_of(wanted), directive);
    if (directive.map.size() * receivers.size() <= most_bytes_at_once) {
        this->options.news.send(make_news(std::move(directive)), receivers);
        return;
    }
    // Others are drawn each time, so that one that cannot pass it on costs little.
    std::shuffle(receivers.begin(), receivers.end(), this->random);
    const auto block =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(receivers.size()))));
    for (std::size_t begin = 0; begin < receivers.size(); begin += block) {
        const absl::Span<const std::uint32_t> part =
            absl::MakeConstSpan(receivers).subspan(begin, block);
        directive.pass_on.assign(part.begin() + 1, part.end());
        this->options.news.send(make_news(directive), {part.front()});
    }
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
        std::optional<rank_state> state = this->silent.read(
            rank, {ip_text(place.ip), place.engine_port}, this->engine.report()->group);
        if (state.has_value()) {
            this->coordinator->update_rank_state(*std::move(state), steady_clock::now());
            this->coordinate();
        }
    }
}

} // namespace sardinestream
