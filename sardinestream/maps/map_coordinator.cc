#include "sardinestream/maps/map_coordinator.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/maps/report_intervals.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// A state older than this is no longer used.
constexpr milliseconds max_state_age{900};
constexpr milliseconds sample_interval{120};
// If counts are late or lost, the sample is taken without them after this many counts intervals,
// provided that at least `min_reported_share` of the ranks have reported.
constexpr double max_sample_delay_intervals = 1.6;
constexpr double min_reported_share = 0.5;
// Time for a planned map to be prepared and the switch to begin: a rank that has accepted a map
// reports it as prepared only when its copies are complete.
constexpr milliseconds plan_timeout{6000};
// Delay before the next plan after a failed one.
constexpr milliseconds delay_after_failed_plan{400};
constexpr std::chrono::seconds lost_order_memory_period{10};
// A lost datagram costs one repetition; engines that do not take orders need more.
constexpr int max_expected_repetitions = 1;
// Samples required before the first plan.
constexpr int min_samples_for_plan = 2;

} // namespace

map_coordinator::map_coordinator(const coordinator_options& chosen)
    : options(chosen), ranks(static_cast<std::size_t>(chosen.shape.ranks)),
      demand(chosen.shape.sets, chosen.shape.experts),
      accumulated_counts(static_cast<std::size_t>(chosen.shape.sets) *
                         static_cast<std::size_t>(chosen.shape.experts)),
      has_reported_counts(ranks.size(), false), switch_protocol(switch_options{})
{
}

void map_coordinator::update_rank_state(rank_state state, steady_time now)
{
    if (state.rank < 0 || state.rank >= this->options.shape.ranks) {
        return;
    }
    const auto index = static_cast<std::size_t>(state.rank);
    if (state.without_agent) {
        this->has_reported_counts[index] = reports_counts(state.rank, this->options.shape.ranks);
    }
    // Counts are packed in pairs, so an odd number of them is padded with a zero.
    if (state.counts.size() == this->accumulated_counts.size() ||
        state.counts.size() == this->accumulated_counts.size() + 1) {
        for (std::size_t i = 0; i < this->accumulated_counts.size(); ++i) {
            this->accumulated_counts[i] += state.counts[i];
        }
        this->has_reported_counts[index] = true;
    }
    state.counts.clear();
    const rank_state& before = this->ranks[index].state;
    if (state.experts.empty() && before.report.epoch == state.report.epoch &&
        before.report.map_version == state.report.map_version) {
        state.experts = before.experts;
    }
    this->ranks[index] = {std::move(state), now};
}

std::vector<int> map_coordinator::stale_ranks(steady_time now) const
{
    std::vector<int> stale;
    for (std::size_t rank = 0; rank < this->ranks.size(); ++rank) {
        if (this->ranks[rank].last_update == steady_time{} ||
            now - this->ranks[rank].last_update > max_state_age) {
            stale.push_back(static_cast<int>(rank));
        }
    }
    return stale;
}

void map_coordinator::update_epoch(std::int64_t epoch)
{
    if (epoch == this->group_epoch) {
        return;
    }
    log_event("group_epoch", {{"epoch", epoch}, {"before", this->group_epoch}});
    this->group_epoch = epoch;
    this->plan.reset();
    this->plan_version = 0;
    this->sent_orders.clear();
    this->switch_protocol.begin_epoch();
}

bool map_coordinator::sample_is_due(steady_time now) const
{
    const auto reported =
        std::count(this->has_reported_counts.begin(), this->has_reported_counts.end(), true);
    const int expected = count_reporting_ranks(this->options.shape.ranks);
    const auto waited = now - this->last_sample;
    if (reported >= expected) {
        return waited >= sample_interval;
    }
    return waited >= max_sample_delay_intervals * counts_interval(this->options.shape) &&
           static_cast<double>(reported) >= min_reported_share * expected;
}

void map_coordinator::sample_demand(steady_time now)
{
    if (!this->sample_is_due(now)) {
        return;
    }
    this->last_sample = now;
    this->plan_is_due = true;
    this->demand.add_sample(this->accumulated_counts);
    std::fill(this->accumulated_counts.begin(), this->accumulated_counts.end(), 0.0);
    std::fill(this->has_reported_counts.begin(), this->has_reported_counts.end(), false);
}

std::optional<expert_map> map_coordinator::current_map() const
{
    expert_map map(this->options.shape);
    const std::int64_t version = this->ranks.front().state.report.map_version;
    for (std::size_t rank = 0; rank < this->ranks.size(); ++rank) {
        const rank_state& state = this->ranks[rank].state;
        if (state.report.map_version != version || state.experts.empty()) {
            return std::nullopt;
        }
        map.set_rank(static_cast<int>(rank), state.experts);
    }
    if (!map.check().ok()) {
        return std::nullopt;
    }
    return map;
}

std::int64_t map_coordinator::next_version(absl::Span<const rank_report> reports)
{
    std::int64_t newest = this->plan_version;
    for (std::size_t rank = 0; rank < reports.size(); ++rank) {
        const rank_state& state = this->ranks[rank].state;
        newest = std::max({newest, reports[rank].map_version, reports[rank].prepared_version,
                           state.prepares.newest()});
        if (reports[rank].armed.has_value()) {
            newest = std::max(newest, reports[rank].armed->version);
        }
    }
    constexpr int max_draws = 64;
    std::int64_t version = 0;
    for (int draw = 0; draw < max_draws; ++draw) {
        version = plan_version_after(newest, this->random());
        if (this->can_hold(holding_rank(version, this->options.shape.ranks))) {
            break;
        }
    }
    return version;
}

bool map_coordinator::can_hold(int rank) const
{
    return rank != this->options.own_rank &&
           !this->ranks[static_cast<std::size_t>(rank)].state.without_agent;
}

planner_options map_coordinator::current_planner_options() const
{
    planner_options now = this->options.planner;
    for (const known_rank& known : this->ranks) {
        now.rank_slowness.push_back(std::max(1.0, known.state.slowness));
    }
    return now;
}

void map_coordinator::plan_if_worthwhile(absl::Span<const rank_report> reports, steady_time now)
{
    if (!this->plan_is_due || now < this->next_plan_not_before ||
        this->demand.sample_count() < min_samples_for_plan || !this->demand.is_stable()) {
        return;
    }
    this->plan_is_due = false;
    const std::optional<expert_map> current = this->current_map();
    if (!current.has_value()) {
        return;
    }
    const std::vector<double> wanted = this->demand.blended_shares(this->options.long_term_weight);
    const planner_options planner = this->current_planner_options();
    if (relative_step_time(*current, wanted, planner) < 1 + planner.min_gain) {
        return;
    }
    this->plan = plan_map(*current, wanted, planner);
    if (!this->plan.has_value()) {
        return;
    }
    this->plan_version = this->next_version(reports);
    this->replaced = {reports.front().map_version, *current};
    this->planned_at = now;
    this->sent_orders.clear();
    count("sardine_map_plans_total");
    log_event("map_planned", {{"version", this->plan_version},
                              {"epoch", this->group_epoch},
                              {"step", reports.front().step},
                              {"factor_before", this->plan->factor_before},
                              {"factor_after", this->plan->factor_after},
                              {"copies", this->plan->copies},
                              {"copies_at_busiest", this->plan->copies_at_busiest_rank}});
}

void map_coordinator::drop_plan(absl::string_view reason, steady_time now)
{
    log_event("map_plan_dropped", {{"version", this->plan_version}, {"reason", reason}});
    count("sardine_map_plans_dropped_total", {{"reason", std::string(reason)}});
    this->plan.reset();
    this->sent_orders.clear();
    this->switch_protocol.reset();
    this->next_plan_not_before = now + delay_after_failed_plan;
}

void map_coordinator::update_plan_progress(absl::Span<const rank_report> reports, steady_time now)
{
    bool in_force = true;
    for (const rank_report& report : reports) {
        in_force = in_force && report.map_version >= this->plan_version;
    }
    if (in_force) {
        const std::chrono::duration<double> elapsed = now - this->planned_at;
        observe_seconds("sardine_map_change_seconds", {}, elapsed.count());
        log_event("map_in_force", {{"version", this->plan_version},
                                   {"step", reports.front().step},
                                   {"taken_s", elapsed.count()}});
        this->plan.reset();
        this->plan_is_due = true;
        this->sent_orders.clear();
        return;
    }
    if (sardinestream::is_switching(reports)) {
        return;
    }
    for (std::size_t rank = 0; rank < reports.size(); ++rank) {
        if (this->ranks[rank].state.prepares.refused == this->plan_version &&
            reports[rank].prepared_version != this->plan_version) {
            this->drop_plan("refused", now);
            return;
        }
    }
    if (now - this->planned_at > plan_timeout) {
        this->drop_plan("timeout", now);
    }
}

bool map_coordinator::is_due(rank_order& order, steady_time now)
{
    sent_record& record = this->sent_orders[{order.rank, order.kind, order.version, order.step}];
    const rank_state& state = this->ranks[static_cast<std::size_t>(order.rank)].state;
    const bool copying =
        order.kind == order_kind::prepare && state.prepares.accepted == order.version;
    const int size = this->options.shape.ranks;
    const milliseconds retry_interval = order.kind == order_kind::prepare
                                            ? prepare_retry_interval(size)
                                            : order_retry_interval(size);
    order.repetitions = record.send_count;
    if (record.send_count > 0 && (copying || now - record.last_sent < retry_interval)) {
        return false;
    }
    if (record.send_count > max_expected_repetitions && order.kind == order_kind::arm) {
        this->orders_lost_until = now + lost_order_memory_period;
    }
    record.last_sent = now;
    ++record.send_count;
    return true;
}

std::vector<rank_report> map_coordinator::newest_reports() const
{
    std::vector<rank_report> reports;
    reports.reserve(this->ranks.size());
    for (const known_rank& known : this->ranks) {
        reports.push_back(known.state.report);
    }
    return reports;
}

bool map_coordinator::is_switching() const
{
    const std::vector<rank_report> reports = this->newest_reports();
    return sardinestream::is_switching(reports) || this->switch_protocol.awaits_hold(reports);
}

std::vector<rank_order> map_coordinator::next_orders(steady_time now)
{
    if (!this->stale_ranks(now).empty()) {
        return {};
    }
    for (const known_rank& known : this->ranks) {
        if (known.state.broken) {
            return {};
        }
    }
    const std::vector<rank_report> reports = this->newest_reports();
    if (!same_epoch(reports) || (this->begins_nothing && !sardinestream::is_switching(reports))) {
        return {};
    }
    this->update_epoch(reports.front().epoch);
    this->sample_demand(now);
    if (this->plan.has_value()) {
        this->update_plan_progress(reports, now);
    }
    if (!this->plan.has_value() && !sardinestream::is_switching(reports)) {
        this->plan_if_worthwhile(reports, now);
    }
    this->pace.note_step(newest_step(reports), now);
    this->switch_protocol.set_step_margin(
        step_margin(this->pace.step_time(now), now < this->orders_lost_until));
    std::vector<rank_order> due;
    for (rank_order& order : this->switch_protocol.next_orders(
             reports, this->plan.has_value() ? this->plan_version : 0)) {
        if (this->is_due(order, now)) {
            due.push_back(order);
        }
    }
    return due;
}

} // namespace sardinestream
