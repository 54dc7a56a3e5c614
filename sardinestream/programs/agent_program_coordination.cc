// Implements the coordinator role of the agent: when to take over, which orders to issue, and what
// it hands over when it stops.

#include <algorithm>
#include <cmath>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/programs/agent_program.h"
#include "sardinestream/programs/rank_messages.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds heartbeat_interval{200};
// Another agent takes over after the coordinator has been silent for this long. Each rank waits
// longer than the one before it, so that they do not all take over at once.
constexpr milliseconds coordinator_timeout{700};
constexpr milliseconds first_coordinator_timeout{250};
constexpr milliseconds extra_timeout_per_rank{60};
// A coordinator that stops has this long to complete a switch before it hands it over.
constexpr milliseconds max_completion_time{250};
// An agent that stops repeats for this long that it does so.
constexpr milliseconds notice_time{200};
// One candidate is appointed this often before another one is.
constexpr int max_appointments = 2;

// Amount that one machine can send at once without overflowing its link's queue. Larger messages
// are forwarded by some of their receivers.
constexpr std::size_t max_burst_bytes = 24000;
// After more repetitions than this, the receiver may not know the base map, and the whole map is
// sent.
constexpr int max_repetitions_as_changes = 1;

// Returns true if two orders differ at most in their ranks.
bool is_same_order(const rank_order& one, const rank_order& other)
{
    return one.kind == other.kind && one.version == other.version && one.step == other.step &&
           one.repetitions == other.repetitions;
}

// Returns a term above `newest`. The rank in the low bits keeps two agents from using the same
// term.
std::uint64_t next_term(std::uint64_t newest, int rank)
{
    constexpr int rank_bits = 16;
    return ((newest >> rank_bits) + 1) << rank_bits | static_cast<std::uint64_t>(rank);
}

} // namespace

void agent_program::send_due_heartbeats()
{
    if (steady_clock::now() >= this->next_heartbeat) {
        this->next_heartbeat = steady_clock::now() + heartbeat_interval;
        this->send_heartbeats();
    }
}

bool agent_program::knows_group() const
{
    return this->shape.ranks > 0 && this->shape.experts <= max_serializable_experts &&
           static_cast<int>(this->endpoints.size()) >= this->shape.ranks;
}

void agent_program::start_coordinating_if_due()
{
    if (!this->knows_group()) {
        this->complete_since = {};
        return;
    }
    const steady_time now = steady_clock::now();
    if (this->complete_since == steady_time{}) {
        this->complete_since = now;
    }
    const auto timeout =
        (this->has_received_directive ? coordinator_timeout : first_coordinator_timeout) +
        extra_timeout_per_rank * this->engine.report()->rank;
    // Silence counts from when the group became complete, which all agents learn at about the same
    // time.
    if (this->is_coordinating() || this->stopping ||
        now - std::max(this->last_directive, this->complete_since) < timeout) {
        return;
    }
    this->start_coordinating(next_term(this->followed.term, this->engine.report()->rank));
}

void agent_program::start_coordinating(std::uint64_t term)
{
    this->followed = {term, this->engine.report()->rank, ip_to_number(this->options.ip)};
    coordinator_options chosen;
    chosen.shape = this->shape;
    chosen.planner = this->planner;
    chosen.planner.skew_weight = this->options.skew_weight;
    chosen.planner.rebalance_weight = this->options.rebalance_weight;
    chosen.planner.on_progress = [this] { this->send_due_heartbeats(); };
    chosen.own_rank = this->engine.report()->rank;
    this->coordinator = std::make_unique<map_coordinator>(chosen);
    this->state_sequences.clear();
    this->agentless.clear();
    this->state_times.clear();
    this->coordinating_since = steady_clock::now();
    log_event("coordinating", {{"term", this->followed.term},
                               {"group", this->engine.report()->group},
                               {"rank", this->engine.report()->rank}});
    this->send_heartbeats();
}

void agent_program::stop_coordinating(const coordinator_term& successor)
{
    log_event("coordinating_ended", {{"term", this->followed.term}, {"successor", successor.term}});
    this->coordinator.reset();
}

gossip::DirectiveT agent_program::make_directive() const
{
    gossip::DirectiveT directive;
    directive.group = this->engine.report()->group;
    directive.term = this->followed.term;
    directive.coordinator_rank = this->followed.rank;
    directive.coordinator_ip = this->followed.ip;
    return directive;
}

void agent_program::send_heartbeats()
{
    std::vector<std::uint32_t> receivers;
    for (const auto& [rank, endpoint] : this->endpoints) {
        if (rank != this->engine.report()->rank) {
            receivers.push_back(endpoint.ip);
        }
    }
    this->options.messages.send(make_message(this->make_directive()), receivers);
}

void agent_program::handle_state(const gossip::RankStateT& state)
{
    if (!this->is_coordinating() || !this->engine.report().has_value() ||
        state.group != this->engine.report()->group) {
        return;
    }
    if (state.term > this->followed.term) {
        // Another agent has taken over; its directives will identify it.
        this->stop_coordinating({state.term, 0, 0});
        this->followed = {state.term, -1, 0};
        this->last_directive = steady_clock::now();
        return;
    }
    std::uint64_t& newest = this->state_sequences[state.rank];
    constexpr std::uint64_t reordering_window = 64;
    const bool late = state.sequence <= newest && newest - state.sequence < reordering_window;
    if (state.term != this->followed.term || late) {
        return;
    }
    newest = state.sequence;
    this->record_agent(state);
    absl::StatusOr<rank_state> decoded = decode_state(state, this->shape.sets);
    if (!decoded.ok()) {
        log_failure("state_unreadable", decoded.status(), {{"rank", state.rank}});
        return;
    }
    decoded->without_agent = this->state_times[state.rank] == steady_time{};
    this->coordinator->update_rank_state(*std::move(decoded), steady_clock::now());
    this->has_new_states = true;
}

void agent_program::record_agent(const gossip::RankStateT& state)
{
    const bool leaves = state.ip == 0 && state.rank != this->engine.report()->rank;
    const auto known = this->state_times.find(state.rank);
    if (leaves && (known == this->state_times.end() || known->second != steady_time{})) {
        log_event("agent_leaves", {{"rank", state.rank}});
        this->read_agentless_soon();
    }
    this->state_times[state.rank] = leaves ? steady_time{} : steady_clock::now();
}

void agent_program::read_agentless_soon()
{
    this->last_agentless_poll = {};
    this->next_poll = {};
}

void agent_program::coordinate()
{
    // An order to this agent's own engine changes its report at once, which may require a further
    // order.
    constexpr int max_rounds = 4;
    for (int round = 0;
         round < max_rounds && this->is_coordinating() && this->engine.report().has_value();
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
            this->issue_order(orders[begin], ranks);
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

void agent_program::order_hold(const engine_order& order, int rank)
{
    const auto endpoint = this->endpoints.find(rank);
    if (endpoint == this->endpoints.end()) {
        return;
    }
    const address engine_address = {ip_to_string(endpoint->second.ip),
                                    endpoint->second.engine_port};
    log_order(order, this->followed.term, this->options.connect(engine_address).send_order(order));
    if (this->agentless.has(rank)) {
        this->read_agentless_soon();
        return;
    }
    // Makes the rank's agent report the hold at once.
    this->options.messages.send(make_message(this->make_directive()), {endpoint->second.ip});
}

void agent_program::issue_order(const rank_order& wanted, absl::Span<const int> ranks)
{
    const engine_order order = this->make_order(wanted);
    const int own_rank = this->engine.report()->rank;
    if (order.kind == order_kind::hold && ranks.front() != own_rank) {
        this->order_hold(order, ranks.front());
        return;
    }
    std::vector<std::uint32_t> receivers;
    for (const int rank : ranks) {
        const auto endpoint = this->endpoints.find(rank);
        if (rank != own_rank && !this->agentless.has(rank) && endpoint != this->endpoints.end()) {
            receivers.push_back(endpoint->second.ip);
        }
    }
    // Messages to other agents go first, so that they do not wait for the engine calls below.
    this->send_order(wanted, order, std::move(receivers));
    for (const int rank : ranks) {
        if (rank == own_rank) {
            this->execute_order(order, this->followed.term);
        }
        else if (this->agentless.has(rank) && this->may_call_others()) {
            this->agentless.give_order(rank, order, this->followed.term);
            this->read_agentless_soon();
        }
    }
}

void agent_program::accept_appointment(const coordinator_term& appointed)
{
    // An agent that stops itself, or knows too little, leaves the appointment to the next
    // candidate.
    if (appointed.term > this->followed.term && !this->stopping && this->knows_group() &&
        appointed.rank == this->engine.report()->rank) {
        this->start_coordinating(appointed.term);
        this->next_poll = {};
    }
}

int agent_program::next_candidate(int previous) const
{
    const int size = this->shape.ranks;
    for (int distance = 1; distance <= size; ++distance) {
        const int rank = (previous + distance) % size;
        const auto last_state = this->state_times.find(rank);
        if (rank != this->engine.report()->rank && last_state != this->state_times.end() &&
            steady_clock::now() - last_state->second < agent_timeout &&
            this->endpoints.count(rank) != 0) {
            return rank;
        }
    }
    return -1;
}

bool agent_program::appoint_successor()
{
    leave_progress& progress = *this->leaving;
    if (progress.appointments % max_appointments == 0) {
        progress.appointed_rank = this->next_candidate(
            progress.appointments == 0 ? this->engine.report()->rank : progress.appointed_rank);
    }
    if (progress.appointed_rank < 0) {
        return false;
    }
    ++progress.appointments;
    gossip::DirectiveT appointment = this->make_directive();
    appointment.term = next_term(this->followed.term, progress.appointed_rank);
    appointment.coordinator_rank = progress.appointed_rank;
    appointment.coordinator_ip = this->endpoints[progress.appointed_rank].ip;
    log_event("successor_appointed",
              {{"term", appointment.term}, {"rank", progress.appointed_rank}});
    this->options.messages.send(make_message(appointment), {appointment.coordinator_ip});
    return true;
}

bool agent_program::proceed_leaving()
{
    const steady_time now = steady_clock::now();
    if (!this->leaving.has_value()) {
        this->leaving = leave_progress{.since = now};
        log_event("leaving", {{"term", this->followed.term},
                              {"coordinating", this->is_coordinating() ? "true" : "false"}});
    }
    leave_progress& progress = *this->leaving;
    if (now - progress.since >= max_leave_time) {
        return true;
    }
    if (!this->engine.report().has_value()) {
        // It may answer the next call; the group has to be handed over until then.
        return this->followed.term == 0;
    }
    if (this->engine.report()->group.empty()) {
        return true;
    }
    if (this->is_coordinating()) {
        progress.follower_since = {};
        this->coordinator->begin_nothing();
        const bool completes =
            this->coordinator->is_switching() && now - progress.since < max_completion_time;
        return !completes && !this->appoint_successor();
    }
    if (progress.follower_since == steady_time{}) {
        progress.follower_since = now;
    }
    this->send_state(this->followed.ip, false);
    return this->followed.ip == 0 ||
           (now - progress.follower_since >= notice_time && !this->is_changing_map());
}

const versioned_map* agent_program::base_map_for(const rank_order& wanted) const
{
    const versioned_map& replaced = this->coordinator->replaced_map();
    // Every agent knows the initial map of a group.
    const bool known = replaced.version > 0 || replaced.map == initial_map(this->shape);
    return known && wanted.repetitions <= max_repetitions_as_changes ? &replaced : nullptr;
}

void agent_program::send_order(const rank_order& wanted, const engine_order& order,
                               std::vector<std::uint32_t> receivers)
{
    if (receivers.empty()) {
        return;
    }
    gossip::DirectiveT directive = this->make_directive();
    directive.sequence = ++this->sequence;
    add_order(order, this->base_map_for(wanted), directive);
    if (directive.map.size() * receivers.size() <= max_burst_bytes) {
        this->options.messages.send(make_message(std::move(directive)), receivers);
        return;
    }
    // The forwarding agents are selected at random each time, so that one that cannot forward has
    // little effect.
    std::shuffle(receivers.begin(), receivers.end(), this->random);
    const auto block =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(receivers.size()))));
    for (std::size_t begin = 0; begin < receivers.size(); begin += block) {
        const absl::Span<const std::uint32_t> part =
            absl::MakeConstSpan(receivers).subspan(begin, block);
        directive.pass_on.assign(part.begin() + 1, part.end());
        this->options.messages.send(make_message(directive), {part.front()});
    }
}

bool agent_program::may_call_others() const
{
    if (!this->leaving.has_value()) {
        // A stop begins with the next poll.
        return !this->stopping;
    }
    return steady_clock::now() - this->leaving->since < max_completion_time;
}

} // namespace sardinestream
