// Decides the order in which the queued requests of a service get servers.
//
// Answers the load in which urgent and unhurried requests wait for the same servers: the urgent are
// served first, and among equals those whose first event can still be in time, so that a backlog
// does not make all that come later late as well. Pure; the clock is handed in.

#ifndef SARDINESTREAM_BACKENDS_QUEUE_ORDER_H_
#define SARDINESTREAM_BACKENDS_QUEUE_ORDER_H_

#include <chrono>

#include "sardinestream/backends/service_policy.h"
#include "sardinestream/http/socket.h"

namespace sardinestream {

// What the order takes from a queued request.
struct queue_entry {
    // Parts of its answer have reached the caller.
    bool has_begun = false;
    int priority = 0;
    // When it was queued, and how long it waits at most.
    steady_time since{};
    std::chrono::milliseconds max_wait{0};
    // Time by which the first event of its answer is in time; zero if unknown.
    steady_time first_event_by{};
};

// What decides the order, at one moment.
struct urgency {
    bool has_begun = false;
    // As in the request, or more urgent after a long wait.
    int priority = 0;
    // Its first event can still be in time.
    bool can_be_in_time = true;
};

// `policy` is null for services whose requests are ordered by priority alone.
[[nodiscard]] urgency urgency_of(const queue_entry& queued, const service_policy* policy,
                                 steady_time now);

// Returns whether `first` is served before `second`, which came later or at the same time.
[[nodiscard]] bool goes_before(const urgency& first, const urgency& second);

// Returns whether requests of the service are ordered by urgency and not by priority alone.
[[nodiscard]] bool has_urgency_order(const service_policy& policy);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_QUEUE_ORDER_H_
