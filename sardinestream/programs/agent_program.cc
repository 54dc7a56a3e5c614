#include "sardinestream/programs/agent_program.h"

#include <algorithm>
#include <random>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/programs/rank_news.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds look_interval{100};
// The same while the engine copies experts or waits for the pass of a switch.
constexpr milliseconds look_interval_in_change{25};
constexpr std::chrono::seconds longest_copy{4};
constexpr int most_news_before_look = 256;
// Keeps what a coordinator receives within its link, whatever the size of its group.
constexpr milliseconds count_interval_per_rank{3};
constexpr milliseconds entry_lifetime{3000};
// A group that has work and begins no pass for so long is held, or waits for a rank.
constexpr milliseconds longest_pass{500};

// A start that differs between two runs of one agent.
std::uint64_t first_sequence()
{
    constexpr int counter_bits = 24;
    return static_cast<std::uint64_t>(std::random_device()()) << counter_bits;
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
      engine(this->options.connect(this->options.engine)), silent(this->options.connect),
      sequence(first_sequence()), last_directive(steady_clock::now())
{
}

void agent_program::run()
{
    while (!this->stopping) {
        this->take_news();
        if (steady_clock::now() >= this->next_look) {
            this->look_at_engine();
            this->publish_status();
            const bool changing = this->engine.report().has_value() && this->is_changing_map();
            this->next_look =
                steady_clock::now() + (changing ? look_interval_in_change : look_interval);
        }
    }
}

void agent_program::publish_status()
{
    agent_status fresh;
    if (const std::optional<engine_report>& report = this->engine.report(); report.has_value()) {
        fresh.engine_answers = true;
        fresh.group = report->group;
        fresh.rank = report->rank;
        fresh.epoch = report->maps.epoch;
        fresh.step = report->maps.step;
        fresh.pass_ms = this->engine.pass_ms();
        fresh.running = report->running;
        fresh.waiting = report->waiting;
        fresh.map_version = report->maps.map_version;
        fresh.prepared_version = report->maps.prepared_version;
    }
    fresh.term = this->obeyed.term;
    fresh.coordinator_rank = this->obeyed.term == 0 ? -1 : this->obeyed.rank;
    fresh.coordinating = this->is_coordinating();
    fresh.entries = static_cast<int>(this->entries.size());
    const absl::MutexLock lock(&this->status_mutex);
    this->published = std::move(fresh);
    this->published_at = steady_clock::now();
}

agent_status agent_program::status() const
{
    const absl::MutexLock lock(&this->status_mutex);
    agent_status copy = this->published;
    copy.age = std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->published_at);
    return copy;
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
    if (!this->engine.report().has_value() || hello.group != this->engine.report()->group ||
        hello.sets <= 0) {
        return;
    }
    for (const auto& place : hello.ranks) {
        const std::string ip = ip_text(place->ip);
        this->group[place->rank] = {place->ip, {ip, place->port}};
    }
    this->shape = {hello.sets, this->engine.report()->group_size, hello.experts, hello.places};
    this->planner.most_new_experts = hello.most_new_experts;
    this->planner.copy_ms = hello.copy_ms;
    this->planner.expert_share = hello.expert_share;
    if (hello.report_interval_ms > 0) {
        this->report_interval = milliseconds(hello.report_interval_ms);
    }
}

void agent_program::look_at_engine()
{
    if (!this->refresh()) {
        return;
    }
    if (steady_clock::now() >= this->next_report) {
        // A little early, so that looks and reports keep step.
        this->next_report = steady_clock::now() + this->report_interval - look_interval / 2;
        this->tell_entries();
    }
    if (this->engine.report()->group.empty()) {
        return;
    }
    this->consider_coordinating();
    const bool with_counts = this->counts_are_due();
    if (!this->is_coordinating()) {
        if (this->has_news_for_coordinator() || with_counts) {
            this->send_state(this->obeyed.ip, with_counts);
        }
        return;
    }
    this->send_due_signs_of_life();
    this->take_state(this->make_state(with_counts));
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
    this->next_counts = now + std::max(look_interval / 2,
                                       count_interval_per_rank * this->engine.report()->group_size);
    return true;
}

bool agent_program::refresh()
{
    const std::string before =
        this->engine.report().has_value() ? this->engine.report()->group : "";
    if (!this->engine.refresh()) {
        return false;
    }
    if (!before.empty() && this->engine.report()->group != before) {
        this->group.clear();
        this->maps.clear();
        this->coordinator.reset();
    }
    this->drop_old_maps();
    return true;
}

void agent_program::drop_old_maps()
{
    if (this->maps.empty()) {
        return;
    }
    const std::int64_t in_use = this->engine.report()->maps.map_version;
    const std::int64_t newest = this->maps.rbegin()->first;
    std::erase_if(this->maps, [&](const auto& known) {
        return known.first != in_use && known.first != newest;
    });
}

bool agent_program::is_changing_map() const
{
    const rank_report& report = this->engine.report()->maps;
    const bool copying = this->prepares.accepted > report.map_version &&
                         report.prepared_version != this->prepares.accepted &&
                         steady_clock::now() - this->last_prepare < longest_copy;
    return copying || report.armed.has_value();
}

bool agent_program::has_news_for_coordinator()
{
    const rank_report& report = this->engine.report()->maps;
    const map_progress now = {report.map_version, report.prepared_version, report.armed,
                              report.held_step};
    return !(now == std::exchange(this->told_progress, now));
}

void agent_program::tell_entries()
{
    news::ServerReportT told;
    told.ip = ip_number(this->options.ip);
    told.sequence = ++this->sequence;
    told.running = this->engine.report()->running;
    told.waiting = this->engine.report()->waiting;
    told.slowness = static_cast<float>(this->engine.report()->slowness);
    told.pass_ms = static_cast<float>(this->engine.pass_ms());
    told.group = this->engine.report()->group;
    told.group_size = this->engine.report()->group_size;
    told.rank = this->engine.report()->rank;
    told.broken = this->engine.report()->broken ||
                  this->engine.time_without_pass(steady_clock::now()) > longest_pass;
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

rank_state agent_program::own_state() const
{
    rank_state state;
    state.rank = this->engine.report()->rank;
    state.report = this->engine.report()->maps;
    state.broken = this->engine.report()->broken;
    state.slowness = this->engine.report()->slowness;
    state.prepares = this->prepares;
    state.experts = this->engine.experts();
    return state;
}

news::RankStateT agent_program::make_state(bool with_counts)
{
    news::RankStateT state = encode_state(this->own_state());
    state.group = this->engine.report()->group;
    state.ip = ip_number(this->options.ip);
    state.sequence = ++this->sequence;
    state.term = this->obeyed.term;
    if (with_counts) {
        this->engine.add_counts(state);
    }
    return state;
}

void agent_program::send_state(std::uint32_t ip, bool with_counts)
{
    if (ip != 0) {
        this->socket.send(make_news(this->make_state(with_counts)),
                          {ip_text(ip), this->options.news_port});
    }
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
    if (!this->engine.report().has_value() || directive.group != this->engine.report()->group) {
        return;
    }
    const coordinator_term sender = {directive.term, directive.coordinator_rank,
                                     directive.coordinator_ip};
    if (this->obeyed.term > sender.term) {
        // An older coordinator: this state tells it that it has been replaced.
        this->send_state(sender.ip, false);
        return;
    }
    this->obey(sender);
    const absl::StatusOr<std::optional<engine_order>> order =
        decode_order(directive, this->shape, this->maps);
    if (!order.ok()) {
        log_failure("order_unreadable", order.status(), {{"version", directive.version}});
        return;
    }
    if (!order->has_value()) {
        return;
    }
    this->carry_out(**order, directive.term);
    if (this->refresh()) {
        this->send_state(this->obeyed.ip, false);
    }
}

void agent_program::carry_out(const engine_order& order, std::uint64_t term)
{
    if (order.kind == order_kind::prepare) {
        this->maps[order.version] = order.map;
    }
    const order_outcome outcome = this->engine.port().give_order(order);
    this->prepares.note(order, outcome);
    this->last_prepare =
        order.kind == order_kind::prepare ? steady_clock::now() : this->last_prepare;
    log_order(order, term, outcome);
}

} // namespace sardinestream
