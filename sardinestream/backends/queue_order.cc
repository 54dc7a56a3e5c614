#include "sardinestream/backends/queue_order.h"

#include <algorithm>
#include <iterator>

namespace sardinestream {
namespace {

// Share of the slots that each more urgent priority keeps for itself, and all of them together.
constexpr double kept_per_priority = 0.1;
constexpr double max_kept = 0.3;

} // namespace

bool has_urgency_order(const service_policy& policy)
{
    return policy.has_urgent_streams && policy.pause_target.count() > 0;
}

double share_for_priority(const service_policy& policy, int priority)
{
    const auto more_urgent = static_cast<double>(std::distance(
        policy.stream_priorities.begin(), policy.stream_priorities.lower_bound(priority)));
    return 1 - std::min(max_kept, kept_per_priority * more_urgent);
}

urgency urgency_of(const queue_entry& queued, const service_policy* policy, steady_time now)
{
    urgency own{queued.has_begun, queued.priority, true};
    if (policy == nullptr) {
        return own;
    }
    // None starves: what has waited for half of its time goes one priority up, but never before
    // what is most urgent.
    if (now - queued.since > queued.max_wait / 2 && !policy->stream_priorities.empty() &&
        queued.priority > *policy->stream_priorities.begin()) {
        own.priority -= 1;
    }
    // The first event comes one pass after its server was chosen at the earliest.
    own.can_be_in_time = queued.first_event_by == steady_time{} ||
                         now + policy->pause_target <= queued.first_event_by;
    return own;
}

bool goes_before(const urgency& first, const urgency& second)
{
    if (first.has_begun != second.has_begun) {
        return first.has_begun;
    }
    if (first.priority != second.priority) {
        return first.priority < second.priority;
    }
    return first.can_be_in_time || !second.can_be_in_time;
}

} // namespace sardinestream
