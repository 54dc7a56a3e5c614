#include "sardinestream/programs/agent_program.h"

#include <algorithm>
#include <random>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/maps/report_intervals.h"
#include "sardinestream/programs/rank_messages.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds usual_poll_interval{100};
// Used while the engine copies experts or waits for the step of an armed switch, and during a stop.
constexpr milliseconds poll_interval_during_change{25};
constexpr std::chrono::seconds max_copy_time{4};
constexpr int max_messages_per_poll = 256;
constexpr milliseconds entry_lifetime{3000};

// Returns a first sequence number that differs between two runs of one agent.
std::uint64_t first_sequence()
{
    constexpr int counter_bits = 24;
    return static_cast<std::uint64_t>(std::random_device()()) << counter_bits;
}

} // namespace

agent_program::agent_program(agent_options chosen)
    : options(std::move(chosen)), engine(this->options.connect(this->options.engine)),
      agentless(this->options.connect), sequence(first_sequence()),
      suspects(ip_to_number(this->options.ip)), last_directive(steady_clock::now())
{
}

void agent_program::run()
{
    bool left = false;
    while (!left) {
        if (steady_clock::now() >= this->next_poll) {
            this->poll_engine();
            left = this->stopping && this->proceed_leaving();
            this->publish_status();
            this->next_poll = steady_clock::now() + this->poll_interval();
        }
        this->receive_messages();
    }
}

milliseconds agent_program::poll_interval() const
{
    const bool changing = this->engine.report().has_value() && this->is_changing_map();
    return changing || this->leaving.has_value() ? poll_interval_during_change
                                                 : usual_poll_interval;
}

void agent_program::publish_status()
{
    agent_status fresh;
    if (const std::optional<engine_report>& report = this->engine.report(); report.has_value()) {
        fresh.engine_answers = true;
        fresh.group = report->group;
        fresh.rank = report->rank;
        fresh.epoch = report->map_report.epoch;
        fresh.step = report->map_report.step;
        fresh.pass_ms = this->engine.pass_ms();
        fresh.running = report->running;
        fresh.waiting = report->waiting;
        fresh.map_version = report->map_report.map_version;
        fresh.prepared_version = report->map_report.prepared_version;
    }
    fresh.term = this->followed.term;
    fresh.coordinator_rank = this->followed.term == 0 ? -1 : this->followed.rank;
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

void agent_program::receive_messages()
{
    // Waits for the first message, then drains the queue: messages behind it precede the next poll.
    std::unique_ptr<gossip::MessageT> message = this->options.messages.receive(this->next_poll);
    for (int taken = 0; message != nullptr && taken < max_messages_per_poll; ++taken) {
        this->handle_message(*message);
        message = this->options.messages.receive(steady_time{});
    }
    if (std::exchange(this->has_new_states, false) && this->is_coordinating()) {
        this->coordinate();
    }
}

void agent_program::handle_message(const gossip::MessageT& message)
{
    if (const auto* const hello = message.body.AsEntryHello(); hello != nullptr) {
        this->handle_hello(*hello);
    }
    if (const auto* const directive = message.body.AsDirective(); directive != nullptr) {
        this->handle_directive(*directive);
    }
    if (const auto* const state = message.body.AsRankState(); state != nullptr) {
        this->handle_state(*state);
    }
    if (const auto* const endpoints = message.body.AsGroupPlaces(); endpoints != nullptr) {
        this->handle_endpoints(*endpoints);
    }
    if (const auto* const suspects_report = message.body.AsSuspectReport();
        suspects_report != nullptr) {
        this->suspects.merge(*suspects_report);
    }
}

std::vector<std::uint32_t> agent_program::entries_alive()
{
    const steady_time now = steady_clock::now();
    std::erase_if(this->entries,
                  [&](const auto& heard) { return now - heard.second > entry_lifetime; });
    std::vector<std::uint32_t> alive;
    for (const auto& [ip, last] : this->entries) {
        alive.push_back(ip);
    }
    return alive;
}

void agent_program::handle_hello(const gossip::EntryHelloT& hello)
{
    this->entries[hello.ip] = steady_clock::now();
    if (hello.report_interval_ms > 0) {
        this->report_interval = milliseconds(hello.report_interval_ms);
    }
    for (const gossip::MessageT& message :
         this->suspects.answer(hello, this->entries_alive(), steady_clock::now())) {
        this->options.messages.send(message, {hello.ip});
    }
}

void agent_program::handle_endpoints(const gossip::GroupPlacesT& message)
{
    if (!this->engine.report().has_value() || message.group != this->engine.report()->group ||
        message.sets <= 0) {
        return;
    }
    for (const gossip::RankPlace& known : message.ranks) {
        this->endpoints[known.rank()] = {known.ip(), known.port()};
    }
    this->shape = {message.sets, this->engine.report()->group_size, message.experts,
                   message.places};
    this->planner.max_new_experts = message.most_new_experts;
    this->planner.copy_ms = message.copy_ms;
    this->planner.expert_share = message.expert_share;
}

void agent_program::poll_engine()
{
    if (!this->refresh()) {
        return;
    }
    if (steady_clock::now() >= this->next_report) {
        // Slightly early, so that each report coincides with a poll.
        this->next_report = steady_clock::now() + this->report_interval - usual_poll_interval / 2;
        this->report_to_entries();
    }
    if (this->engine.report()->group.empty()) {
        return;
    }
    if (!this->end_stalled_hold()) {
        return;
    }
    this->start_coordinating_if_due();
    const bool with_counts = this->counts_are_due();
    if (!this->is_coordinating()) {
        if (this->has_unreported_progress() || with_counts || this->state_is_due()) {
            this->send_state(this->followed.ip, with_counts);
        }
        return;
    }
    this->send_due_heartbeats();
    this->handle_state(this->make_state(with_counts));
    this->coordinate();
    if (this->is_coordinating()) {
        this->poll_agentless_ranks();
    }
}

bool agent_program::counts_are_due()
{
    const engine_report& report = *this->engine.report();
    const steady_time now = steady_clock::now();
    if (!reports_counts(report.rank, report.group_size) || this->shape.ranks == 0 ||
        now < this->next_counts) {
        return false;
    }
    // Slightly early, so that each count message coincides with a poll.
    this->next_counts = now + counts_interval(this->shape) - usual_poll_interval / 4;
    return true;
}

bool agent_program::state_is_due()
{
    return steady_clock::now() >= this->next_state;
}

bool agent_program::refresh()
{
    const std::string before =
        this->engine.report().has_value() ? this->engine.report()->group : "";
    if (!this->engine.refresh()) {
        return false;
    }
    if (!before.empty() && this->engine.report()->group != before) {
        this->endpoints.clear();
        this->complete_since = {};
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
    const std::int64_t in_use = this->engine.report()->map_report.map_version;
    const std::int64_t newest = this->maps.rbegin()->first;
    std::erase_if(this->maps, [&](const auto& known) {
        return known.first != in_use && known.first != newest;
    });
}

bool agent_program::is_changing_map() const
{
    const rank_report& report = this->engine.report()->map_report;
    const bool copying = this->prepares.accepted > report.map_version &&
                         report.prepared_version != this->prepares.accepted &&
                         steady_clock::now() - this->last_prepare < max_copy_time;
    return copying || report.armed.has_value() || report.held_step.has_value();
}

bool agent_program::end_stalled_hold()
{
    const engine_report& report = *this->engine.report();
    const std::int64_t held_step = report.map_report.held_step.value_or(0);
    engine_order order;
    order.epoch = report.map_report.epoch;
    switch (this->hold_guard.next_action(report.map_report, report.rank, report.group_size,
                                         steady_clock::now())) {
    case stalled_hold_guard::action::none:
        return true;
    case stalled_hold_guard::action::supersede: {
        std::optional<engine_order> superseding = this->make_superseding_order();
        if (!superseding.has_value()) {
            log_event("stalled_hold",
                      {{"step", held_step}, {"action", "none"}, {"reason", "no map known"}});
            return true;
        }
        order = *std::move(superseding);
        break;
    }
    case stalled_hold_guard::action::release:
        order.kind = order_kind::release;
        order.step = held_step;
        count("sardine_stalled_holds_released_total");
        break;
    }
    log_event("stalled_hold",
              {{"step", held_step},
               {"action", order.kind == order_kind::release ? "release" : "supersede"},
               {"version", order.version}});
    this->execute_order(order, this->followed.term);
    if (!this->refresh()) {
        return false;
    }
    this->send_state(this->followed.ip, false);
    return !this->engine.report()->group.empty();
}

std::optional<engine_order> agent_program::make_superseding_order()
{
    const rank_report& report = this->engine.report()->map_report;
    if (this->engine.report()->group_size < 2) {
        return std::nullopt;
    }
    engine_order order;
    order.epoch = report.epoch;
    const auto in_use = this->maps.find(report.map_version);
    if (in_use != this->maps.end()) {
        order.map = in_use->second;
    }
    else if (report.map_version == 0 && this->shape.ranks > 0) {
        order.map = initial_map(this->shape);
    }
    else if (!this->maps.empty()) {
        order.map = this->maps.rbegin()->second;
    }
    else {
        return std::nullopt;
    }
    order.version = this->hold_guard.superseding_version(
        report, this->engine.report()->rank, this->engine.report()->group_size, this->prepares,
        [this] { return this->random(); });
    return order;
}

bool agent_program::may_be_held() const
{
    const engine_report& report = *this->engine.report();
    const std::int64_t prepared = report.map_report.prepared_version;
    return prepared > report.map_report.map_version && report.group_size > 0 &&
           holding_rank(prepared, report.group_size) == report.rank;
}

agent_program::map_progress agent_program::progress() const
{
    const rank_report& report = this->engine.report()->map_report;
    return {report.map_version, report.prepared_version, report.armed, report.held_step};
}

bool agent_program::has_unreported_progress() const
{
    return !(this->progress() == this->reported_progress);
}

void agent_program::follow(const coordinator_term& term)
{
    if (this->is_coordinating()) {
        this->stop_coordinating(term);
    }
    if (this->followed.term != term.term || this->followed.ip != term.ip) {
        log_event("coordinator_followed", {{"term", term.term}, {"rank", term.rank}});
    }
    this->followed = term;
    this->has_received_directive = true;
    this->last_directive = steady_clock::now();
}

void agent_program::handle_directive(const gossip::DirectiveT& directive)
{
    if (!this->engine.report().has_value() || directive.group != this->engine.report()->group) {
        return;
    }
    const coordinator_term sender = {directive.term, directive.coordinator_rank,
                                     directive.coordinator_ip};
    if (sender.ip == ip_to_number(this->options.ip)) {
        this->accept_appointment(sender);
        return;
    }
    if (this->followed.term > sender.term) {
        // The sender is a superseded coordinator; the term in this state tells it so.
        this->send_state(sender.ip, false);
        return;
    }
    this->forward(directive);
    const bool succeeds = this->followed.term != sender.term;
    this->follow(sender);
    const absl::StatusOr<std::optional<engine_order>> order =
        decode_order(directive, this->shape, this->maps);
    if (!order.ok()) {
        log_failure("order_unreadable", order.status(), {{"version", directive.version}});
        return;
    }
    if (!order->has_value()) {
        // A hold that the coordinator has ordered itself shows in the report only. A new
        // coordinator can order nothing before it has the state of every rank.
        const bool reports =
            succeeds ? this->refresh()
                     : this->may_be_held() && this->refresh() && this->has_unreported_progress();
        if (reports) {
            this->send_state(this->followed.ip, false);
        }
        return;
    }
    this->execute_order(**order, directive.term);
    if (this->refresh()) {
        this->send_state(this->followed.ip, false);
    }
}

void agent_program::forward(const gossip::DirectiveT& directive) const
{
    if (directive.pass_on.empty() || directive.pass_on.size() > this->endpoints.size()) {
        return;
    }
    gossip::DirectiveT copy = directive;
    copy.pass_on.clear();
    this->options.messages.send(make_message(std::move(copy)), directive.pass_on);
}

void agent_program::execute_order(const engine_order& order, std::uint64_t term)
{
    if (order.kind == order_kind::prepare) {
        this->maps[order.version] = order.map;
    }
    const order_outcome outcome = this->engine.port().send_order(order);
    this->prepares.record_outcome(order, outcome);
    this->last_prepare =
        order.kind == order_kind::prepare ? steady_clock::now() : this->last_prepare;
    log_order(order, term, outcome);
}

} // namespace sardinestream
