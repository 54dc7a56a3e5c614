#include "sardinestream/backends/service_availability.h"

#include <algorithm>

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Time within which servers that restart or are temporarily full normally serve again.
constexpr milliseconds server_recovery_time{1000};
// The same for a rank group, which re-forms once its last rank has returned.
constexpr milliseconds group_recovery_time{1500};
constexpr milliseconds min_probe_interval{200};
constexpr milliseconds probe_interval_per_process{25};
// A refused caller gets a time to retry after about this share of the time for which the service
// has been down, within these bounds.
constexpr double retry_after_share = 0.5;
constexpr double min_retry_after_ms = 500;
constexpr double max_retry_after_ms = 4000;

} // namespace

service_availability availability_of(absl::Span<const std::optional<server_outage>> servers,
                                     steady_time now)
{
    if (servers.empty()) {
        return {service_condition::down, milliseconds(0)};
    }
    steady_time since{};
    steady_time seen{};
    bool group_broken = false;
    for (const std::optional<server_outage>& outage : servers) {
        if (!outage.has_value()) {
            return {};
        }
        since = std::max(since, outage->since);
        seen = std::max(seen, outage->last_seen);
        group_broken = group_broken || outage->group_broken;
    }
    const milliseconds recovery_time = group_broken ? group_recovery_time : server_recovery_time;
    return {seen - since < recovery_time ? service_condition::recovering : service_condition::down,
            std::chrono::duration_cast<milliseconds>(now - since)};
}

milliseconds probe_interval(int processes)
{
    return std::max(min_probe_interval, probe_interval_per_process * processes);
}

milliseconds retry_after_for(const service_availability& availability, double draw)
{
    const double base =
        std::clamp(retry_after_share * static_cast<double>(availability.unserved_time.count()),
                   min_retry_after_ms, max_retry_after_ms);
    return milliseconds(static_cast<std::int64_t>(base * (0.75 + draw / 2)));
}

absl::string_view name_of(service_condition condition)
{
    switch (condition) {
    case service_condition::recovering:
        return "recovering";
    case service_condition::down:
        return "down";
    default:
        return "serving";
    }
}

} // namespace sardinestream
