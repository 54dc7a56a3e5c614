// What the choice of servers takes from the operator's declaration of a service. A value type.
//
// A feature is on for a service only if its declaration calls for it: the limit of cold servers if
// it names a rate, the order by urgency if its streams differ in priority and one has a pause
// target, costs if it describes its engine's speed.

#ifndef SARDINESTREAM_BACKENDS_SERVICE_POLICY_H_
#define SARDINESTREAM_BACKENDS_SERVICE_POLICY_H_

#include <chrono>
#include <map>
#include <set>
#include <string>

#include "sardinestream/routes/desired_state.h"

namespace sardinestream {

struct service_policy {
    // Requests per second that a cold server bears from all processes together; zero if the
    // operator names no rate.
    double cold_rate = 0;
    // Time for which a server is cold after its start.
    std::chrono::milliseconds cold_period{0};
    // The shortest pause target among the service's streaming routes; zero if none has one.
    std::chrono::milliseconds pause_target{0};
    // Streams of the service differ in priority.
    bool has_urgent_streams = false;
    // The priorities that its streams may have.
    std::set<int> stream_priorities;
    engine_model engine;

    friend bool operator==(const service_policy&, const service_policy&) = default;
};

// Policies by name of the service.
using service_policies = std::map<std::string, service_policy>;

// Returns the policies of all services that the operator declares.
[[nodiscard]] service_policies policies_of(const desired_state& state);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVICE_POLICY_H_
