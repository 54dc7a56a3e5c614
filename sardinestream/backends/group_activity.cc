#include "sardinestream/backends/group_activity.h"

namespace sardinestream {

bool group_activity::is_over(const period& active, steady_time now)
{
    return now - active.last_event >= min_standstill;
}

void group_activity::note_event(absl::string_view group, steady_time now)
{
    const auto found = this->periods.find(group);
    if (found != this->periods.end() && !is_over(found->second, now)) {
        found->second.last_event = now;
        return;
    }
    std::erase_if(this->periods, [&](const auto& named) { return is_over(named.second, now); });
    this->periods.emplace(std::string(group), period{now, now});
}

bool group_activity::is_running(absl::string_view group, steady_time now) const
{
    const auto found = this->periods.find(group);
    return found != this->periods.end() && now - found->second.last_event < max_event_interval &&
           now - found->second.begin >= settling_time;
}

} // namespace sardinestream
