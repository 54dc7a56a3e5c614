#include "sardinestream/programs/agent_program.h"

#include <algorithm>
#include <random>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds look_interval{100};
constexpr int most_news_before_look = 256;
constexpr milliseconds sign_interval{200};
// Keeps what a coordinator receives within its link, whatever the size of its group.
constexpr milliseconds count_interval_per_rank{6};
// Silence of the coordinator after which another agent takes over; later ranks wait longer, so
// that they do not all do so at once.
constexpr milliseconds coordinator_silence{700};
constexpr milliseconds first_coordinator_wait{250};
constexpr milliseconds silence_per_rank{60};
constexpr milliseconds entry_lifetime{3000};
// How often a rank without an agent is reached from the coordinator.
constexpr milliseconds reach_interval{200};
// A group that has work and begins no pass for so long is held, or waits for a rank.
constexpr milliseconds longest_pass{500};
// An agent without a state for so long counts as silent.
constexpr milliseconds agent_silence{700};

news::OrderKind to_wire(order_kind kind)
{
    switch (kind) {
    case order_kind::prepare:
        return news::OrderKind::Prepare;
    case order_kind::hold:
        return news::OrderKind::Hold;
    case order_kind::arm:
        return news::OrderKind::Arm;
    case order_kind::release:
        return news::OrderKind::Release;
    }
    return news::OrderKind::None;
}

std::optional<order_kind> from_wire(news::OrderKind kind)
{
    switch (kind) {
    case news::OrderKind::Prepare:
        return order_kind::prepare;
    case news::OrderKind::Hold:
        return order_kind::hold;
    case news::OrderKind::Arm:
        return order_kind::arm;
    case news::OrderKind::Release:
        return order_kind::release;
    default:
        return std::nullopt;
    }
}

absl::string_view order_name(order_kind kind)
{
    switch (kind) {
    case order_kind::prepare:
        return "prepare";
    case order_kind::hold:
        return "hold";
    case order_kind::arm:
        return "arm";
    case order_kind::release:
        return "release";
    }
    return "";
}

rank_report to_report(const news::RankStateT& state)
{
    rank_report report;
    report.epoch = state.epoch;
    report.step = state.step;
    report.map_version = state.map_version;
    report.prepared_version = state.prepared_version;
    if (state.armed_version > 0) {
        report.armed = armed_switch{state.armed_version, state.armed_step};
    }
    if (state.held_step >= 0) {
        report.held_step = state.held_step;
    }
    return report;
}

// A start that differs between two runs of one agent.
std::uint64_t first_sequence()
{
    constexpr int counter_bits = 24;
    return static_cast<std::uint64_t>(std::random_device()()) << counter_bits;
}

absl::string_view outcome_name(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::refused:
        return "refused";
    case order_outcome::no_answer:
        return "no_answer";
    }
    return "";
}

void log_order(const engine_order& order, std::uint64_t term, order_outcome outcome)
{
    count("sardine_engine_orders_total", {{"kind", std::string(order_name(order.kind))},
                                          {"outcome", std::string(outcome_name(outcome))}});
    log_event("order", {{"kind", order_name(order.kind)},
                        {"version", order.version},
                        {"step", order.step},
                        {"epoch", order.epoch},
                        {"term", term},
                        {"outcome", outcome_name(outcome)}});
}

// The rank in the low bits keeps two agents from taking the same term.
std::uint64_t next_term(std::uint64_t newest, int rank)
{
    constexpr int rank_bits = 16;
    return ((newest >> rank_bits) + 1) << rank_bits | static_cast<std::uint64_t>(rank);
}

} // namespace

absl::StatusOr<std::unique_ptr<agent_program>> agent_program::start(agent_options options)
{
    absl::StatusOr<datagram_socket> bound = datagram_socket::bind({options.ip, options.news_port});
    if (!bound.ok()) {
        return bound.status();
    }
    return std::unique_ptr<agent_program>(new agent_program(std::move(options), *std::move(bound)));
}

agent_program::agent_program(agent_options chosen, datagram_socket bound)
    : options(std::move(chosen)), socket(std::move(bound)),
      engine(this->options.connect(this->options.engine)), sequence(first_sequence()),
      last_directive(steady_clock::now())
{
}

void agent_program::run()
{
    while (!this->stopping) {
        this->take_news();
        if (steady_clock::now() >= this->next_look) {
            this->look_at_engine();
            this->next_look = steady_clock::now() + look_interval;
        }
    }
}

void agent_program::take_news()
{
    // Waits for the first message; what has piled up behind it is older than the next look.
    std::unique_ptr<news::NewsT> message = this->socket.receive(this->next_look);
    for (int taken = 0; message != nullptr && taken < most_news_before_look; ++taken) {
        this->take(*message);
        message = this->socket.receive(steady_time{});
    }
}

void agent_program::take(const news::NewsT& message)
{
    if (const auto* const hello = message.body.AsEntryHello(); hello != nullptr) {
        this->take_hello(*hello);
    }
    if (const auto* const directive = message.body.AsDirective(); directive != nullptr) {
        this->take_directive(*directive);
    }
    if (const auto* const state = message.body.AsRankState(); state != nullptr) {
        this->take_state(*state);
    }
}

void agent_program::take_hello(const news::EntryHelloT& hello)
{
    this->entries[hello.ip] = steady_clock::now();
    this->config_revision = std::max(this->config_revision, hello.config_revision);
    this->servers_revision = std::max(this->servers_revision, hello.servers_revision);
    if (!this->report.has_value() || hello.group != this->report->group || hello.sets <= 0) {
        return;
    }
    for (const auto& place : hello.ranks) {
        const std::string ip = ip_text(place->ip);
        this->group[place->rank] = {place->ip, {ip, place->port}};
    }
    this->shape = {hello.sets, this->report->group_size, hello.experts, hello.places};
    this->planner.most_new_experts = hello.most_new_experts;
    this->planner.copy_ms = hello.copy_ms;
    this->planner.expert_share = hello.expert_share;
    if (hello.report_interval_ms > 0) {
        this->report_interval = milliseconds(hello.report_interval_ms);
    }
}

void agent_program::look_at_engine()
{
    if (!this->refresh_report()) {
        return;
    }
    if (steady_clock::now() >= this->next_report) {
        // A little early, so that looks and reports keep step.
        this->next_report = steady_clock::now() + this->report_interval - look_interval / 2;
        this->tell_entries();
    }
    if (this->report->group.empty()) {
        return;
    }
    this->refresh_experts();
    this->consider_coordinating();
    if (!this->is_coordinating()) {
        if (this->counts_are_due()) {
            this->send_state(true);
        }
        return;
    }
    this->send_due_signs_of_life();
    this->take_state(this->make_state(this->counts_are_due()));
    if (this->is_coordinating()) {
        this->reach_missing_ranks();
    }
}

bool agent_program::counts_are_due()
{
    const steady_time now = steady_clock::now();
    if (now < this->next_counts) {
        return false;
    }
    this->next_counts =
        now + std::max(look_interval / 2, count_interval_per_rank * this->report->group_size);
    return true;
}

void agent_program::send_due_signs_of_life()
{
    if (steady_clock::now() >= this->next_sign) {
        this->next_sign = steady_clock::now() + sign_interval;
        this->send_signs_of_life();
    }
}

bool agent_program::refresh_report()
{
    absl::StatusOr<engine_report> fresh = this->engine.read_report();
    if (!fresh.ok()) {
        if (this->report.has_value()) {
            log_failure("engine_lost", fresh.status());
        }
        this->report.reset();
        return false;
    }
    if (!this->report.has_value()) {
        log_event("engine_found",
                  {{"group", fresh->group}, {"rank", fresh->rank}, {"epoch", fresh->maps.epoch}});
    }
    else if (fresh->group != this->report->group) {
        this->group.clear();
        this->coordinator.reset();
    }
    if (!this->report.has_value() || fresh->maps.step != this->report->maps.step ||
        fresh->running + fresh->waiting == 0) {
        this->last_progress = steady_clock::now();
    }
    this->report = *std::move(fresh);
    return true;
}

void agent_program::refresh_experts()
{
    const rank_report& maps = this->report->maps;
    if (this->experts_epoch == maps.epoch && this->experts_version == maps.map_version) {
        return;
    }
    absl::StatusOr<rank_experts> fresh = this->engine.read_experts();
    if (!fresh.ok()) {
        log_failure("experts_unread", fresh.status());
        return;
    }
    this->experts = *std::move(fresh);
    this->experts_epoch = maps.epoch;
    this->experts_version = maps.map_version;
}

void agent_program::tell_entries()
{
    news::ServerReportT told;
    told.ip = ip_number(this->options.ip);
    told.sequence = ++this->sequence;
    told.running = this->report->running;
    told.waiting = this->report->waiting;
    told.slowness = static_cast<float>(this->report->slowness);
    told.group = this->report->group;
    told.group_size = this->report->group_size;
    told.rank = this->report->rank;
    told.broken = this->report->broken || steady_clock::now() - this->last_progress > longest_pass;
    told.config_revision = this->config_revision;
    told.servers_revision = this->servers_revision;
    const steady_time now = steady_clock::now();
    std::erase_if(this->entries,
                  [&](const auto& heard) { return now - heard.second > entry_lifetime; });
    for (const auto& [ip, last] : this->entries) {
        told.entries.push_back(ip);
    }
    const news::NewsT message = make_news(std::move(told));
    for (const auto& [ip, last] : this->entries) {
        this->socket.send(message, {ip_text(ip), this->options.news_port});
    }
}

void agent_program::add_counts(news::RankStateT& state)
{
    absl::StatusOr<std::vector<std::int64_t>> counts = this->engine.read_counts();
    if (!counts.ok()) {
        log_failure("counts_unread", counts.status());
        return;
    }
    if (counts->size() == this->last_counts.size()) {
        std::vector<std::int64_t> chosen(counts->size());
        std::int64_t largest = 0;
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            // A rank that has started again counts from zero.
            chosen[i] = std::max<std::int64_t>(0, (*counts)[i] - this->last_counts[i]);
            largest = std::max(largest, chosen[i]);
        }
        constexpr std::int64_t largest_sent = 255;
        while ((largest >> state.counts_shift) > largest_sent) {
            ++state.counts_shift;
        }
        for (const std::int64_t one : chosen) {
            state.counts.push_back(static_cast<std::uint8_t>(one >> state.counts_shift));
        }
    }
    this->last_counts = *std::move(counts);
}

news::RankStateT agent_program::make_state(bool with_counts)
{
    const rank_report& maps = this->report->maps;
    news::RankStateT state;
    state.group = this->report->group;
    state.rank = this->report->rank;
    state.ip = ip_number(this->options.ip);
    state.sequence = ++this->sequence;
    state.term = this->obeyed.term;
    state.epoch = maps.epoch;
    state.broken = this->report->broken;
    state.step = maps.step;
    state.map_version = maps.map_version;
    state.prepared_version = maps.prepared_version;
    if (maps.armed.has_value()) {
        state.armed_version = maps.armed->version;
        state.armed_step = maps.armed->step;
    }
    state.held_step = maps.held_step.value_or(-1);
    state.prepare_accepted = this->prepare_accepted;
    state.prepare_refused = this->prepare_refused;
    state.experts = flatten(this->experts);
    if (with_counts) {
        this->add_counts(state);
    }
    return state;
}

void agent_program::send_state(bool with_counts)
{
    if (this->obeyed.ip == 0 || !this->report.has_value()) {
        return;
    }
    this->socket.send(make_news(this->make_state(with_counts)),
                      {ip_text(this->obeyed.ip), this->options.news_port});
}

void agent_program::obey(const coordinator_term& term)
{
    if (this->is_coordinating()) {
        this->stop_coordinating(term);
    }
    if (this->obeyed.term != term.term || this->obeyed.ip != term.ip) {
        log_event("coordinator_followed", {{"term", term.term}, {"rank", term.rank}});
    }
    this->obeyed = term;
    this->heard_directive = true;
    this->last_directive = steady_clock::now();
}

void agent_program::take_directive(const news::DirectiveT& directive)
{
    if (!this->report.has_value() || directive.group != this->report->group) {
        return;
    }
    const coordinator_term sender = {directive.term, directive.coordinator_rank,
                                     directive.coordinator_ip};
    if (this->obeyed.term > sender.term) {
        // An older coordinator: this state tells it that it has been replaced.
        this->socket.send(make_news(this->make_state(false)),
                          {ip_text(directive.coordinator_ip), this->options.news_port});
        return;
    }
    this->obey(sender);
    if (directive.kind == news::OrderKind::None) {
        return;
    }
    this->carry_out(directive);
    if (this->refresh_report()) {
        this->refresh_experts();
        this->send_state(false);
    }
}

void agent_program::carry_out(const news::DirectiveT& directive)
{
    const std::optional<order_kind> kind = from_wire(directive.kind);
    if (!kind.has_value()) {
        return;
    }
    engine_order order;
    order.kind = *kind;
    order.epoch = directive.epoch;
    order.version = directive.version;
    order.step = directive.step;
    if (*kind == order_kind::prepare) {
        const absl::Status readable = unflatten(directive.map, this->shape, order.map);
        if (!readable.ok()) {
            log_failure("map_unreadable", readable);
            return;
        }
    }
    const order_outcome outcome = this->engine.give_order(order);
    if (*kind == order_kind::prepare && outcome == order_outcome::accepted) {
        this->prepare_accepted = order.version;
    }
    if (*kind == order_kind::prepare && outcome == order_outcome::refused) {
        this->prepare_refused = order.version;
    }
    log_order(order, directive.term, outcome);
}

void agent_program::consider_coordinating()
{
    const bool whole_group = this->shape.ranks > 0 && this->shape.experts <= most_experts &&
                             static_cast<int>(this->group.size()) >= this->shape.ranks;
    const auto silence = (this->heard_directive ? coordinator_silence : first_coordinator_wait) +
                         silence_per_rank * this->report->rank;
    if (this->is_coordinating() || !whole_group ||
        steady_clock::now() - this->last_directive < silence) {
        return;
    }
    this->begin_coordinating();
}

void agent_program::begin_coordinating()
{
    this->obeyed = {next_term(this->obeyed.term, this->report->rank), this->report->rank,
                    ip_number(this->options.ip)};
    coordinator_options chosen;
    chosen.shape = this->shape;
    chosen.planner = this->planner;
    chosen.planner.on_progress = [this] { this->send_due_signs_of_life(); };
    chosen.own_rank = this->report->rank;
    this->coordinator = std::make_unique<map_coordinator>(chosen);
    this->state_sequences.clear();
    this->remote_ranks.clear();
    this->state_times.clear();
    this->coordinating_since = steady_clock::now();
    log_event("coordinating", {{"term", this->obeyed.term},
                               {"group", this->report->group},
                               {"rank", this->report->rank}});
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
    directive.group = this->report->group;
    directive.term = this->obeyed.term;
    directive.coordinator_rank = this->obeyed.rank;
    directive.coordinator_ip = this->obeyed.ip;
    return directive;
}

void agent_program::send_signs_of_life()
{
    const news::NewsT message = make_news(this->make_directive());
    for (const auto& [rank, place] : this->group) {
        if (rank != this->report->rank) {
            this->socket.send(message, {ip_text(place.ip), this->options.news_port});
        }
    }
}

void agent_program::take_state(const news::RankStateT& state)
{
    if (!this->is_coordinating() || !this->report.has_value() ||
        state.group != this->report->group) {
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
    rank_state decoded;
    decoded.rank = state.rank;
    decoded.report = to_report(state);
    decoded.broken = state.broken;
    decoded.prepare_accepted = state.prepare_accepted;
    decoded.prepare_refused = state.prepare_refused;
    if (!unflatten(state.experts, this->shape.sets, decoded.experts).ok()) {
        return;
    }
    for (const std::uint8_t one : state.counts) {
        decoded.counts.push_back(
            static_cast<double>(static_cast<std::uint64_t>(one) << state.counts_shift));
    }
    this->coordinator->take_state(decoded, steady_clock::now());
    this->coordinate();
}

rank_state agent_program::own_state() const
{
    rank_state state;
    state.rank = this->report->rank;
    state.report = this->report->maps;
    state.broken = this->report->broken;
    state.prepare_accepted = this->prepare_accepted;
    state.prepare_refused = this->prepare_refused;
    state.experts = this->experts;
    return state;
}

void agent_program::coordinate()
{
    // An order to the own engine changes its report at once, which may call for the next order.
    constexpr int most_rounds = 4;
    for (int round = 0; round < most_rounds && this->is_coordinating(); ++round) {
        bool own = false;
        for (const rank_order& order : this->coordinator->next_orders(steady_clock::now())) {
            this->give(order);
            own = own || order.rank == this->report->rank;
        }
        if (!own || !this->refresh_report()) {
            return;
        }
        this->refresh_experts();
        this->coordinator->take_state(this->own_state(), steady_clock::now());
    }
}

void agent_program::give(const rank_order& order)
{
    news::DirectiveT directive = this->make_directive();
    directive.sequence = ++this->sequence;
    directive.epoch = this->coordinator->epoch();
    directive.kind = to_wire(order.kind);
    directive.version = order.version;
    directive.step = order.step;
    if (order.kind == order_kind::prepare) {
        directive.map = flatten(this->coordinator->wanted_map());
    }
    if (order.rank == this->report->rank) {
        this->carry_out(directive);
        return;
    }
    if (const auto remote = this->remote_ranks.find(order.rank);
        remote != this->remote_ranks.end()) {
        this->give_remote(remote->second, order);
        return;
    }
    const auto place = this->group.find(order.rank);
    if (place != this->group.end()) {
        this->socket.send(make_news(std::move(directive)),
                          {ip_text(place->second.ip), this->options.news_port});
    }
}

void agent_program::reach_missing_ranks()
{
    const steady_time now = steady_clock::now();
    if (now - this->last_reach < reach_interval || now - this->coordinating_since < agent_silence) {
        return;
    }
    this->last_reach = now;
    const std::vector<int> missing = this->coordinator->missing(now);
    std::erase_if(this->remote_ranks, [&](const auto& reached) {
        return this->state_times.count(reached.first) != 0 &&
               now - this->state_times[reached.first] < agent_silence;
    });
    for (const auto& [rank, place] : this->group) {
        const bool silent = std::find(missing.begin(), missing.end(), rank) != missing.end();
        if (silent || this->remote_ranks.count(rank) != 0) {
            this->reach(rank, place);
        }
    }
}

void agent_program::reach(int rank, const group_place& place)
{
    auto found = this->remote_ranks.find(rank);
    if (found == this->remote_ranks.end()) {
        log_event("rank_reached_directly", {{"rank", rank}, {"engine", place.engine.to_string()}});
        found = this->remote_ranks.emplace(rank, remote_rank{this->options.connect(place.engine)})
                    .first;
    }
    remote_rank& remote = found->second;
    const absl::StatusOr<engine_report> fresh = remote.engine.read_report();
    if (!fresh.ok()) {
        log_failure("rank_unreachable", fresh.status(), {{"rank", rank}});
        return;
    }
    if (fresh->group != this->report->group || fresh->rank != rank) {
        log_event("rank_moved", {{"rank", rank}, {"group", fresh->group}});
        return;
    }
    if (remote.experts_version != fresh->maps.map_version) {
        absl::StatusOr<rank_experts> held = remote.engine.read_experts();
        if (!held.ok()) {
            log_failure("experts_unread", held.status(), {{"rank", rank}});
            return;
        }
        remote.experts = *std::move(held);
        remote.experts_version = fresh->maps.map_version;
    }
    rank_state decoded;
    decoded.rank = rank;
    decoded.report = fresh->maps;
    decoded.broken = fresh->broken;
    decoded.prepare_accepted = remote.prepare_accepted;
    decoded.prepare_refused = remote.prepare_refused;
    decoded.experts = remote.experts;
    decoded.without_agent = true;
    this->coordinator->take_state(decoded, steady_clock::now());
    this->coordinate();
}

void agent_program::give_remote(remote_rank& remote, const rank_order& order)
{
    engine_order direct;
    direct.kind = order.kind;
    direct.epoch = this->coordinator->epoch();
    direct.version = order.version;
    direct.step = order.step;
    if (order.kind == order_kind::prepare) {
        direct.map = this->coordinator->wanted_map();
    }
    const order_outcome outcome = remote.engine.give_order(direct);
    if (order.kind == order_kind::prepare && outcome == order_outcome::accepted) {
        remote.prepare_accepted = order.version;
    }
    if (order.kind == order_kind::prepare && outcome == order_outcome::refused) {
        remote.prepare_refused = order.version;
    }
    log_order(direct, this->obeyed.term, outcome);
}

} // namespace sardinestream
