#include "sardinestream/maps/map_coordinator.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/maps/group_pace.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// A state older than this says nothing about the rank.
constexpr milliseconds state_lifetime{900};
constexpr milliseconds sample_interval{120};
// A sample that waits for counts which are late or lost is taken without them after so many
// intervals, if enough have come.
constexpr double sample_patience = 1.6;
constexpr double least_counted_share = 0.5;
// Copies that a rank has accepted show when they are done.
constexpr milliseconds copy_patience{6000};
// After a plan that failed.
constexpr milliseconds rest_after_failure{400};
// Passes until a switch; more while orders get lost, so that arms are there before the group waits.
constexpr int usual_margin = 1;
constexpr int margin_for_lost_orders = 5;
constexpr std::chrono::seconds lost_order_memory{10};
// One repetition is that of a lost datagram; engines that take no orders need more.
constexpr int most_usual_repetitions = 1;
// Samples before the first plan.
constexpr int least_samples = 2;

} // namespace

map_coordinator::map_coordinator(const coordinator_options& chosen)
    : options(chosen), ranks(static_cast<std::size_t>(chosen.shape.ranks)),
      demand(chosen.shape.sets, chosen.shape.experts),
      summed(static_cast<std::size_t>(chosen.shape.sets) *
             static_cast<std::size_t>(chosen.shape.experts)),
      counted(ranks.size(), false), switching(switch_options{usual_margin, chosen.own_rank})
{
}

void map_coordinator::take_state(rank_state state, steady_time now)
{
    if (state.rank < 0 || state.rank >= this->options.shape.ranks) {
        return;
    }
    const auto at = static_cast<std::size_t>(state.rank);
    if (state.without_agent) {
        this->counted[at] = tells_counts(state.rank, this->options.shape.ranks);
    }
    // Packed counts come in pairs: an odd number has a zero behind it.
    if (state.counts.size() == this->summed.size() ||
        state.counts.size() == this->summed.size() + 1) {
        for (std::size_t i = 0; i < this->summed.size(); ++i) {
            this->summed[i] += state.counts[i];
        }
        this->counted[at] = true;
    }
    state.counts.clear();
    const rank_state& before = this->ranks[at].state;
    if (state.experts.empty() && before.report.epoch == state.report.epoch &&
        before.report.map_version == state.report.map_version) {
        state.experts = before.experts;
    }
    this->ranks[at] = {std::move(state), now};
}

std::vector<int> map_coordinator::missing(steady_time now) const
{
    std::vector<int> absent;
    for (std::size_t rank = 0; rank < this->ranks.size(); ++rank) {
        if (this->ranks[rank].last == steady_time{} ||
            now - this->ranks[rank].last > state_lifetime) {
            absent.push_back(static_cast<int>(rank));
        }
    }
    return absent;
}

void map_coordinator::note_epoch(std::int64_t epoch)
{
    if (epoch == this->group_epoch) {
        return;
    }
    log_event("group_epoch", {{"epoch", epoch}, {"before", this->group_epoch}});
    this->group_epoch = epoch;
    this->plan.reset();
    this->plan_version = 0;
    this->sent.clear();
    this->switching.reset();
}

bool map_coordinator::sample_is_due(steady_time now) const
{
    const auto heard = std::count(this->counted.begin(), this->counted.end(), true);
    const int expected = counting_ranks(this->options.shape.ranks);
    const auto waited = now - this->last_sample;
    if (heard >= expected) {
        return waited >= sample_interval;
    }
    return waited >= sample_patience * counts_interval(this->options.shape) &&
           static_cast<double>(heard) >= least_counted_share * expected;
}

void map_coordinator::sample_demand(steady_time now)
{
    if (!this->sample_is_due(now)) {
        return;
    }
    this->last_sample = now;
    this->plan_is_due = true;
    this->demand.add_sample(this->summed);
    std::fill(this->summed.begin(), this->summed.end(), 0.0);
    std::fill(this->counted.begin(), this->counted.end(), false);
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
                           state.prepares.accepted, state.prepares.refused});
        if (reports[rank].armed.has_value()) {
            newest = std::max(newest, reports[rank].armed->version);
        }
    }
    // The low bits are drawn, so that no other agent, and none that has forgotten what it ordered,
    // uses one version for two maps.
    constexpr int drawn_bits = 20;
    constexpr std::uint64_t drawn_mask = (1ULL << drawn_bits) - 1;
    return ((newest >> drawn_bits) + 1) << drawn_bits |
           static_cast<std::int64_t>(this->random() & drawn_mask);
}

planner_options map_coordinator::planner_now() const
{
    planner_options now = this->options.planner;
    for (const known_rank& known : this->ranks) {
        now.rank_slowness.push_back(std::max(1.0, known.state.slowness));
    }
    return now;
}

void map_coordinator::consider_plan(absl::Span<const rank_report> reports, steady_time now)
{
    if (!this->plan_is_due || now < this->rest_until || this->demand.samples() < least_samples ||
        !this->demand.is_settled()) {
        return;
    }
    this->plan_is_due = false;
    const std::optional<expert_map> current = this->current_map();
    if (!current.has_value()) {
        return;
    }
    const std::vector<double> wanted = this->demand.with_past(this->options.past_weight);
    const planner_options planner = this->planner_now();
    if (pass_factor(*current, wanted, planner) < 1 + planner.least_gain) {
        return;
    }
    this->plan = plan_map(*current, wanted, planner);
    if (!this->plan.has_value()) {
        return;
    }
    this->plan_version = this->next_version(reports);
    this->replaced = {reports.front().map_version, *current};
    this->plan_time = now;
    this->sent.clear();
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
    this->sent.clear();
    this->switching.reset();
    this->rest_until = now + rest_after_failure;
}

void map_coordinator::check_plan(absl::Span<const rank_report> reports, steady_time now)
{
    bool in_force = true;
    for (const rank_report& report : reports) {
        in_force = in_force && report.map_version >= this->plan_version;
    }
    if (in_force) {
        const std::chrono::duration<double> taken = now - this->plan_time;
        observe_seconds("sardine_map_change_seconds", {}, taken.count());
        log_event("map_in_force", {{"version", this->plan_version},
                                   {"step", reports.front().step},
                                   {"taken_s", taken.count()}});
        this->plan.reset();
        this->plan_is_due = true;
        this->sent.clear();
        return;
    }
    if (is_switching(reports)) {
        return;
    }
    for (std::size_t rank = 0; rank < reports.size(); ++rank) {
        if (this->ranks[rank].state.prepares.refused == this->plan_version &&
            reports[rank].prepared_version != this->plan_version) {
            this->drop_plan("refused", now);
            return;
        }
    }
    if (now - this->plan_time > copy_patience) {
        this->drop_plan("timeout", now);
    }
}

bool map_coordinator::is_due(rank_order& order, steady_time now)
{
    sent_record& record = this->sent[{order.rank, order.kind, order.version, order.step}];
    const rank_state& state = this->ranks[static_cast<std::size_t>(order.rank)].state;
    const bool copying =
        order.kind == order_kind::prepare && state.prepares.accepted == order.version;
    const int size = this->options.shape.ranks;
    const milliseconds patience =
        order.kind == order_kind::prepare ? prepare_patience(size) : order_patience(size);
    order.repetitions = record.times;
    if (record.times > 0 && (copying || now - record.last < patience)) {
        return false;
    }
    if (record.times > most_usual_repetitions && order.kind == order_kind::arm) {
        this->orders_lost_until = now + lost_order_memory;
    }
    record.last = now;
    ++record.times;
    return true;
}

std::vector<rank_order> map_coordinator::next_orders(steady_time now)
{
    if (!this->missing(now).empty()) {
        return {};
    }
    std::vector<rank_report> reports;
    for (const known_rank& known : this->ranks) {
        if (known.state.broken) {
            return {};
        }
        reports.push_back(known.state.report);
    }
    if (!same_epoch(reports)) {
        return {};
    }
    this->note_epoch(reports.front().epoch);
    this->sample_demand(now);
    if (this->plan.has_value()) {
        this->check_plan(reports, now);
    }
    if (!this->plan.has_value() && !is_switching(reports)) {
        this->consider_plan(reports, now);
    }
    this->switching.set_step_margin(now < this->orders_lost_until ? margin_for_lost_orders
                                                                  : usual_margin);
    std::vector<rank_order> due;
    for (rank_order& order :
         this->switching.next_orders(reports, this->plan.has_value() ? this->plan_version : 0)) {
        if (this->is_due(order, now)) {
            due.push_back(order);
        }
    }
    return due;
}

} // namespace sardinestream
