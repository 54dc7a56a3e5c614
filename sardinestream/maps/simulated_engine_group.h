// A simulated group of engines that advances in lock-step, as the engines of the platform do. It
// checks at the beginning of every step that all ranks use the same map. All times are in simulated
// milliseconds.

#ifndef SARDINESTREAM_MAPS_SIMULATED_ENGINE_GROUP_H_
#define SARDINESTREAM_MAPS_SIMULATED_ENGINE_GROUP_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "sardinestream/maps/map_switch.h"

namespace sardinestream {

inline constexpr int step_ms = 60;

struct engine_rank {
    rank_report report;
    std::int64_t newest_version = 0;
    std::int64_t copying_version = 0;
    int copy_complete_at = 0;
};

class engine_group {
public:
    explicit engine_group(int ranks) : all(static_cast<std::size_t>(ranks)) {}

    rank_report read(int rank) const { return this->all[static_cast<std::size_t>(rank)].report; }

    // Returns true if the engine accepts the order.
    bool execute(const rank_order& order, std::int64_t order_epoch, int copy_time, int now)
    {
        engine_rank& rank = this->all[static_cast<std::size_t>(order.rank)];
        if (order_epoch != this->epoch) {
            return false;
        }
        switch (order.kind) {
        case order_kind::prepare:
            if (order.version <= rank.newest_version || rank.report.armed.has_value()) {
                return false;
            }
            rank.newest_version = order.version;
            rank.copying_version = order.version;
            rank.copy_complete_at = now + copy_time;
            rank.report.prepared_version = 0;
            return true;
        case order_kind::arm:
            if (rank.report.prepared_version != order.version || order.step <= this->step) {
                return false;
            }
            rank.report.armed = armed_switch{order.version, order.step};
            return true;
        case order_kind::hold:
            if (order.step <= this->step || rank.report.held_step.has_value()) {
                return false;
            }
            rank.report.held_step = order.step;
            return true;
        case order_kind::release:
            if (rank.report.held_step == order.step) {
                rank.report.held_step.reset();
            }
            return true;
        }
        return false;
    }

    void advance(int now)
    {
        for (engine_rank& rank : this->all) {
            if (rank.copying_version != 0 && now >= rank.copy_complete_at) {
                rank.report.prepared_version = rank.copying_version;
                rank.copying_version = 0;
            }
        }
        if (now < this->next_step_at || now < this->idle_until) {
            return;
        }
        if (this->is_held()) {
            ++this->standing_ms;
            this->longest_standing_ms = std::max(this->longest_standing_ms, this->standing_ms);
            return;
        }
        this->standing_ms = 0;
        this->next_step_at = now + step_ms;
        this->begin_step();
    }

    void form_again()
    {
        ++this->epoch;
        for (engine_rank& rank : this->all) {
            const std::int64_t newest = rank.newest_version;
            rank = {};
            rank.newest_version = newest;
            rank.report.epoch = this->epoch;
            rank.report.step = this->step;
        }
    }

    bool mixed = false;
    // The group has no requests until then, and begins no step.
    int idle_until = 0;
    int standing_ms = 0;
    int longest_standing_ms = 0;
    std::int64_t step = 0;
    std::int64_t epoch = 0;
    std::vector<engine_rank> all;

private:
    [[nodiscard]] bool is_held() const
    {
        return std::any_of(this->all.begin(), this->all.end(), [&](const engine_rank& rank) {
            return rank.report.held_step == this->step + 1;
        });
    }

    void begin_step()
    {
        ++this->step;
        for (engine_rank& rank : this->all) {
            rank.report.step = this->step;
            if (rank.report.armed.has_value() && rank.report.armed->step == this->step) {
                rank.report.map_version = rank.report.armed->version;
                rank.report.prepared_version = 0;
                rank.report.armed.reset();
            }
            this->mixed =
                this->mixed || rank.report.map_version != this->all.front().report.map_version;
        }
    }

    int next_step_at = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_SIMULATED_ENGINE_GROUP_H_
