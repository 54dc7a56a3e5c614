#include "sardinestream/backends/service_policy.h"

#include <algorithm>
#include <set>

namespace sardinestream {
namespace {

// Returns the priorities that requests of the route may have.
std::set<int> priorities_of(const route& declared, const std::set<int>& team_priorities)
{
    std::set<int> all = team_priorities;
    all.insert(declared.priority);
    return all;
}

} // namespace

service_policies policies_of(const desired_state& state)
{
    service_policies policies;
    for (const auto& [name, declared] : state.services) {
        service_policy& policy = policies[name];
        policy.cold_rate = declared.cold_rate;
        policy.cold_period = declared.cold_period;
        policy.engine = declared.engine;
    }
    std::set<int> team_priorities;
    for (const auto& [key, holder] : state.teams_by_key) {
        if (holder.priority >= 0) {
            team_priorities.insert(holder.priority);
        }
    }
    std::map<std::string, std::set<int>> stream_priorities;
    for (const route& declared : state.routes) {
        if (declared.kind != request_kind::streaming) {
            continue;
        }
        for (const weighted_service& part : declared.services) {
            stream_priorities[part.service].merge(priorities_of(declared, team_priorities));
            if (declared.pause_target.count() == 0) {
                continue;
            }
            std::chrono::milliseconds& shortest = policies[part.service].pause_target;
            shortest = shortest.count() == 0 ? declared.pause_target
                                             : std::min(shortest, declared.pause_target);
        }
    }
    for (const auto& [service, priorities] : stream_priorities) {
        policies[service].has_urgent_streams = priorities.size() > 1;
        policies[service].stream_priorities = priorities;
    }
    return policies;
}

} // namespace sardinestream
