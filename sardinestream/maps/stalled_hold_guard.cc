#include "sardinestream/maps/stalled_hold_guard.h"

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

} // namespace sardinestream
