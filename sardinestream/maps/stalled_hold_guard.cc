#include "sardinestream/maps/stalled_hold_guard.h"

#include <algorithm>

namespace sardinestream {

stalled_hold_guard::action stalled_hold_guard::next_action(const rank_report& own, int own_rank,
                                                           int ranks, steady_time now)
{
    const std::int64_t held = own.held_step.value_or(-1);
    const bool stands = held >= 0 && own.step + 1 >= held && !own.armed.has_value();
    if (!stands) {
        this->standing_at = -1;
        return action::none;
    }
    if (this->standing_at != held) {
        this->standing_at = held;
        this->standing_since = now;
        this->last_action = action::none;
    }
    if (now - this->standing_since < max_unarmed_time) {
        return action::none;
    }
    const bool can_be_armed =
        own.prepared_version > 0 && holding_rank(own.prepared_version, ranks) == own_rank;
    const action due = can_be_armed ? action::supersede : action::release;
    if (due == this->last_action && now - this->last_action_time < retry_interval) {
        return action::none;
    }
    this->last_action = due;
    this->last_action_time = now;
    return due;
}

std::int64_t stalled_hold_guard::superseding_version(const rank_report& own, int own_rank,
                                                     int ranks, const prepare_record& prepares,
                                                     absl::FunctionRef<std::uint64_t()> random)
{
    const std::int64_t shown = std::max(own.map_version, own.prepared_version);
    const bool may_be_carried_out = this->drawn_version > shown &&
                                    this->drawn_version == prepares.newest() &&
                                    this->drawn_version != prepares.refused;
    if (may_be_carried_out) {
        return this->drawn_version;
    }
    do {
        this->drawn_version = version_after(std::max(shown, prepares.newest()), random());
    } while (holding_rank(this->drawn_version, ranks) == own_rank);
    return this->drawn_version;
}

} // namespace sardinestream
