#include "sardinestream/programs/engine_monitor.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/programs/packed_counts.h"

namespace sardinestream {
namespace {

// The mean step time is measured over this window.
constexpr std::chrono::milliseconds step_window{500};

} // namespace

engine_monitor::engine_monitor(engine_interface engine) : calls(std::move(engine)) {}

bool engine_monitor::refresh()
{
    absl::StatusOr<engine_report> fresh = this->calls.read_report();
    if (!fresh.ok()) {
        if (this->newest.has_value()) {
            log_failure("engine_lost", fresh.status());
        }
        this->newest.reset();
        return false;
    }
    if (!this->newest.has_value()) {
        log_event(
            "engine_found",
            {{"group", fresh->group}, {"rank", fresh->rank}, {"epoch", fresh->map_report.epoch}});
    }
    if (!this->newest.has_value() || fresh->map_report.step != this->newest->map_report.step ||
        fresh->running + fresh->waiting == 0) {
        this->last_progress = steady_clock::now();
    }
    this->newest = *std::move(fresh);
    this->record_step(steady_clock::now());
    this->refresh_experts();
    return true;
}

void engine_monitor::record_step(steady_time now)
{
    if (this->newest->running == 0) {
        this->step_samples.clear();
        return;
    }
    this->step_samples.push_back({now, this->newest->map_report.step});
    while (this->step_samples.size() > 2 && now - this->step_samples.front().at > step_window) {
        this->step_samples.pop_front();
    }
}

double engine_monitor::pass_ms() const
{
    if (this->step_samples.size() < 2) {
        return 0;
    }
    const std::chrono::duration<double, std::milli> time =
        this->step_samples.back().at - this->step_samples.front().at;
    const std::int64_t steps = this->step_samples.back().step - this->step_samples.front().step;
    return time.count() / static_cast<double>(std::max<std::int64_t>(1, steps));
}

void engine_monitor::refresh_experts()
{
    const rank_report& maps = this->newest->map_report;
    if (this->newest->group.empty() ||
        (this->experts_epoch == maps.epoch && this->experts_version == maps.map_version)) {
        return;
    }
    // Those of another map must not be reported with this version.
    this->current_experts.clear();
    this->experts_version = -1;
    absl::StatusOr<rank_experts> fresh = this->calls.read_experts();
    if (!fresh.ok()) {
        log_failure("experts_unread", fresh.status());
        return;
    }
    this->current_experts = *std::move(fresh);
    this->experts_epoch = maps.epoch;
    this->experts_version = maps.map_version;
}

void engine_monitor::add_counts(gossip::RankStateT& state)
{
    absl::StatusOr<std::vector<std::int64_t>> counts = this->calls.read_counts();
    if (!counts.ok()) {
        log_failure("counts_unread", counts.status());
        return;
    }
    if (counts->size() == this->last_counts.size()) {
        std::vector<std::int64_t> chosen(counts->size());
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            // A restarted rank counts from zero again, which makes its differences negative.
            chosen[i] = (*counts)[i] - this->last_counts[i];
        }
        packed_counts packed = pack_counts(chosen);
        state.counts = std::move(packed.nibbles);
        state.counts_scale = packed.scale;
    }
    this->last_counts = *std::move(counts);
}

} // namespace sardinestream
