#include "sardinestream/backends/queue_order.h"

namespace sardinestream {
bool has_urgency_order(const service_policy& policy)
{
    return policy.has_urgent_streams && policy.pause_target.count() > 0;
}

urgency urgency_of(const queue_entry& queued, const service_policy* policy, steady_time now)
{
    urgency own{queued.has_begun, queued.priority, true};
    if (policy == nullptr) {
        return own;
    }
    // A long wait counts one priority, but nothing overtakes the most urgent that can be in time.
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
