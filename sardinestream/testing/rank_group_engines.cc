#include "sardinestream/testing/rank_group_engines.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sardinestream::testing {
namespace {

constexpr absl::Duration idle_wait = absl::Milliseconds(50);
constexpr double load_smoothing = 0.05; // weight of the newest step

void smooth(double& average, double sample)
{
    average = average == 0 ? sample : average + load_smoothing * (sample - average);
}

void smooth(float& average, float sample)
{
    average =
        average == 0 ? sample : average + static_cast<float>(load_smoothing) * (sample - average);
}

std::size_t count_fetches(const engine_placement& from, const engine_placement& to, int rank)
{
    std::size_t fetches = 0;
    for (std::size_t i = 0; i < to.ranks.size(); ++i) {
        const bool had = i < from.ranks.size() && from.ranks[i] == rank;
        fetches += to.ranks[i] == rank && !had ? 1 : 0;
    }
    return fetches;
}

} // namespace

std::optional<std::pair<std::uint64_t, std::uint64_t>> find_split_step(const rank_ledger& ledger)
{
    // A step is split where two ranks' segments overlap with different maps.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> first_split;
    for (const auto& left_rank : ledger) {
        for (const auto& right_rank : ledger) {
            for (const ledger_segment& left : left_rank) {
                for (const ledger_segment& right : right_rank) {
                    if (left.group_incarnation != right.group_incarnation ||
                        left.digest == right.digest) {
                        continue;
                    }
                    const std::uint64_t overlap = std::max(left.first_step, right.first_step);
                    if (overlap > std::min(left.last_step, right.last_step)) {
                        continue;
                    }
                    const std::pair split(left.group_incarnation, overlap);
                    if (!first_split.has_value() || split < *first_split) {
                        first_split = split;
                    }
                }
            }
        }
    }
    return first_split;
}

rank_group_engines::rank_group_engines(const rank_group_options& options)
    : settings(options), states(options.ranks), popularity(options.load)
{
    {
        const absl::MutexLock lock(&this->mutex);
        for (rank_state& rank : this->states) {
            this->reset(rank);
        }
    }
    this->stepping = std::thread([this] { this->run_steps(); });
}

rank_group_engines::~rank_group_engines()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        this->changed = true;
    }
    this->stepping.join();
}

void rank_group_engines::reset(rank_state& rank)
{
    rank.seen = engine_snapshot();
    rank.seen.engine_incarnation = this->next_engine_incarnation++;
    rank.highest_fencing_number = 0;
    rank.staging_digest.clear();
    rank.staged_at = absl::InfiniteFuture();
    this->changed = true;
}

absl::Status rank_group_engines::refuse(absl::string_view reason)
{
    ++this->totals.refused_orders;
    return absl::FailedPreconditionError(reason);
}

absl::Status rank_group_engines::check_order(rank_state& rank, const engine_order& order)
{
    if (!rank.alive) {
        return absl::UnavailableError("rank is down");
    }
    if (!this->settings.honours_fencing) {
        return absl::OkStatus();
    }
    if (order.fencing_number < rank.highest_fencing_number) {
        return this->refuse("old_fencing_number");
    }
    rank.highest_fencing_number = order.fencing_number;
    return absl::OkStatus();
}

absl::StatusOr<engine_snapshot> rank_group_engines::read(int rank)
{
    const absl::MutexLock lock(&this->mutex);
    rank_state& state = this->states[rank];
    if (!state.alive) {
        return absl::UnavailableError("rank is down");
    }
    state.seen.staged_digest = absl::Now() >= state.staged_at ? state.staging_digest : "";
    return state.seen;
}

absl::Status rank_group_engines::stage(int rank, const engine_order& order)
{
    const absl::MutexLock lock(&this->mutex);
    rank_state& state = this->states[rank];
    if (absl::Status checked = this->check_order(state, order); !checked.ok()) {
        return checked;
    }
    if (state.staging_digest == order.map.digest) {
        return absl::OkStatus();
    }
    const std::size_t fetches = count_fetches(state.seen.current, order.map, rank);
    this->totals.experts_fetched += fetches;
    this->weight_store_free_at =
        std::max(absl::Now(), this->weight_store_free_at) +
        absl::Seconds(static_cast<double>(fetches) / this->settings.weight_store_rate);
    state.staging_digest = order.map.digest;
    state.staged_at = this->weight_store_free_at;
    return absl::OkStatus();
}

absl::Status rank_group_engines::set_hold(int rank, const engine_order& order,
                                          const standing_hold& hold)
{
    const absl::MutexLock lock(&this->mutex);
    rank_state& state = this->states[rank];
    if (absl::Status checked = this->check_order(state, order); !checked.ok()) {
        return checked;
    }
    engine_snapshot& seen = state.seen;
    if (seen.hold.has_value() && seen.hold->token != hold.token) {
        return this->refuse("held_for_another");
    }
    if (seen.step > hold.step || (seen.step == hold.step && seen.step_started)) {
        return this->refuse("step_started");
    }
    seen.hold = hold;
    this->changed = true;
    return absl::OkStatus();
}

absl::Status rank_group_engines::apply_map(int rank, const engine_order& order)
{
    const absl::MutexLock lock(&this->mutex);
    rank_state& state = this->states[rank];
    if (absl::Status checked = this->check_order(state, order); !checked.ok()) {
        return checked;
    }
    engine_snapshot& seen = state.seen;
    const std::uint64_t id = order.map.proposal_id;
    if (seen.current.proposal_id == id || (seen.due.has_value() && seen.due->proposal_id == id)) {
        return absl::OkStatus();
    }
    const std::uint64_t from = order.map.from_step;
    if (seen.step > from || (seen.step == from && seen.step_started)) {
        return this->refuse("step_started");
    }
    if (state.staging_digest != order.map.digest || absl::Now() < state.staged_at) {
        return this->refuse("not_staged");
    }
    seen.due = order.map;
    this->changed = true;
    return absl::OkStatus();
}

absl::Status rank_group_engines::release(int rank, absl::string_view token)
{
    const absl::MutexLock lock(&this->mutex);
    rank_state& state = this->states[rank];
    if (!state.alive) {
        return absl::UnavailableError("rank is down");
    }
    if (state.seen.hold.has_value() && state.seen.hold->token == token) {
        state.seen.hold.reset();
        this->changed = true;
    }
    return absl::OkStatus();
}

absl::Status rank_group_engines::join(int rank, const engine_order& order)
{
    const absl::MutexLock lock(&this->mutex);
    rank_state& state = this->states[rank];
    if (absl::Status checked = this->check_order(state, order); !checked.ok()) {
        return checked;
    }
    engine_snapshot& seen = state.seen;
    if (seen.group_incarnation == order.group_incarnation) {
        return absl::OkStatus();
    }
    seen.group_incarnation = order.group_incarnation;
    seen.step = 0;
    seen.step_started = false;
    seen.current = order.map;
    seen.due.reset();
    seen.hold.reset();
    seen.tokens.assign(order.map.ranks.size(), 0);
    state.staging_digest.clear();
    this->changed = true;
    return absl::OkStatus();
}

void rank_group_engines::stall(int rank, bool stalled)
{
    const absl::MutexLock lock(&this->mutex);
    this->states[rank].stalled = stalled;
    this->changed = true;
}

void rank_group_engines::slow_down(int rank, double factor)
{
    const absl::MutexLock lock(&this->mutex);
    this->states[rank].slow_factor = factor;
}

void rank_group_engines::kill(int rank)
{
    const absl::MutexLock lock(&this->mutex);
    this->states[rank].alive = false;
    this->changed = true;
}

void rank_group_engines::start_again(int rank)
{
    const absl::MutexLock lock(&this->mutex);
    this->states[rank].alive = true;
    this->reset(this->states[rank]);
}

rank_ledger rank_group_engines::ledger() const
{
    const absl::MutexLock lock(&this->mutex);
    rank_ledger all;
    for (const rank_state& rank : this->states) {
        all.push_back(rank.segments);
    }
    return all;
}

rank_group_stats rank_group_engines::stats() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->totals;
}

void rank_group_engines::run_steps()
{
    const absl::MutexLock lock(&this->mutex);
    while (!this->stopping) {
        this->start_ready_ranks();
        if (this->all_started()) {
            this->run_step();
            continue;
        }
        this->changed = false;
        const bool by_hold = this->held_back();
        const absl::Time since = absl::Now();
        this->mutex.AwaitWithTimeout(absl::Condition(&this->changed), idle_wait);
        if (by_hold) {
            this->totals.held_us += absl::ToDoubleMicroseconds(absl::Now() - since);
        }
    }
}

void rank_group_engines::start_ready_ranks()
{
    for (rank_state& rank : this->states) {
        const engine_snapshot& seen = rank.seen;
        const bool held = seen.hold.has_value() && seen.step >= seen.hold->step;
        if (rank.alive && !rank.stalled && !held && seen.group_incarnation != 0 &&
            !seen.step_started) {
            this->start_step(rank);
        }
    }
}

void rank_group_engines::start_step(rank_state& rank)
{
    engine_snapshot& seen = rank.seen;
    if (seen.due.has_value() && seen.step >= seen.due->from_step) {
        seen.current = *std::exchange(seen.due, std::nullopt);
    }
    // From here on the rank is committed to this map for this step, whatever comes later.
    seen.step_started = true;
}

bool rank_group_engines::all_started() const
{
    const engine_snapshot& first = this->states.front().seen;
    return std::all_of(this->states.begin(), this->states.end(), [&first](const rank_state& rank) {
        return rank.alive && rank.seen.step_started && rank.seen.step == first.step &&
               rank.seen.group_incarnation == first.group_incarnation;
    });
}

bool rank_group_engines::held_back() const
{
    return std::any_of(this->states.begin(), this->states.end(), [](const rank_state& rank) {
        return rank.seen.hold.has_value() && rank.seen.step >= rank.seen.hold->step;
    });
}

void rank_group_engines::run_step()
{
    const std::uint64_t group_incarnation = this->states.front().seen.group_incarnation;
    const std::uint64_t step = this->states.front().seen.step;
    for (rank_state& rank : this->states) {
        this->note_in_ledger(rank);
    }
    const absl::Time until = absl::Now() + this->measure_step();
    this->mutex.AwaitWithDeadline(absl::Condition(&this->stopping), until);
    this->finish_step(group_incarnation, step);
}

void rank_group_engines::note_in_ledger(rank_state& rank)
{
    const engine_snapshot& seen = rank.seen;
    std::vector<ledger_segment>& segments = rank.segments;
    if (!segments.empty() && segments.back().group_incarnation == seen.group_incarnation &&
        segments.back().digest == seen.current.digest &&
        segments.back().last_step + 1 == seen.step) {
        segments.back().last_step = seen.step;
        return;
    }
    segments.push_back(
        {seen.group_incarnation, seen.step, seen.step, seen.current.epoch, seen.current.digest});
}

absl::Duration rank_group_engines::measure_step()
{
    const std::span<const float> tokens = this->popularity.next_step();
    double slowest_us = 0;
    double sum_us = 0;
    std::vector<double> busy_us;
    for (std::size_t rank = 0; rank < this->states.size(); ++rank) {
        engine_snapshot& seen = this->states[rank].seen;
        double rank_tokens = 0;
        for (std::size_t i = 0; i < tokens.size() && i < seen.current.ranks.size(); ++i) {
            if (seen.current.ranks[i] != rank) {
                seen.tokens[i] = 0;
                continue;
            }
            smooth(seen.tokens[i], tokens[i]);
            rank_tokens += tokens[i];
        }
        const absl::Duration busy =
            (this->settings.base_step_time + rank_tokens * this->settings.time_per_token) *
            this->states[rank].slow_factor;
        busy_us.push_back(absl::ToDoubleMicroseconds(busy));
        slowest_us = std::max(slowest_us, busy_us.back());
        sum_us += busy_us.back();
    }
    for (std::size_t rank = 0; rank < this->states.size(); ++rank) {
        smooth(this->states[rank].seen.busy_us, busy_us[rank]);
        smooth(this->states[rank].seen.step_us, slowest_us);
    }
    ++this->totals.steps;
    this->totals.step_us += slowest_us;
    this->totals.mean_busy_us += sum_us / static_cast<double>(this->states.size());
    return absl::Microseconds(slowest_us);
}

void rank_group_engines::finish_step(std::uint64_t group_incarnation, std::uint64_t step)
{
    // A rank that died or left during the step keeps the others waiting in the collective.
    const bool complete =
        std::all_of(this->states.begin(), this->states.end(), [&](const rank_state& rank) {
            return rank.alive && rank.seen.group_incarnation == group_incarnation &&
                   rank.seen.step == step && rank.seen.step_started;
        });
    if (!complete) {
        return;
    }
    for (rank_state& rank : this->states) {
        ++rank.seen.step;
        rank.seen.step_started = false;
    }
}

} // namespace sardinestream::testing
