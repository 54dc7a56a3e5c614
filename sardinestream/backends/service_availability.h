// Determines from the states of its servers whether a service can serve requests.
//
// A service is serving while at least one of its servers may serve. When all are known not to
// serve, it is recovering for a limited time, in which requests may wait. It is down once a server
// has refused a request, or reported its outage, after that time. Requests are then refused
// immediately instead of waiting until their deadline and returning as retries. Meanwhile a few
// requests probe the servers, including those that are excluded after a failure, to detect when the
// service has recovered.
//
// The functions are pure; the current time is passed in.

#ifndef SARDINESTREAM_BACKENDS_SERVICE_AVAILABILITY_H_
#define SARDINESTREAM_BACKENDS_SERVICE_AVAILABILITY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace sardinestream {

// The cause and time of a server's outage.
struct server_outage {
    steady_time since{};
    // When the outage was last observed, by a refusal, a failed connection or a report.
    steady_time last_seen{};
    // Its agent reports that the group is re-forming or a rank is missing; otherwise the server
    // refuses requests or is unreachable.
    bool group_broken = false;
};

enum class service_condition : std::uint8_t { serving, recovering, down };

struct service_availability {
    service_condition condition = service_condition::serving;
    // Time since which no server has served; zero while the service serves.
    std::chrono::milliseconds unserved_time{0};
};

// Returns the availability of a service. `servers` holds the outage of each server that may take
// requests, or nothing for a server that may serve. A service without servers is down.
[[nodiscard]] service_availability
availability_of(absl::Span<const std::optional<server_outage>> servers, steady_time now);

// Returns the interval at which each of `processes` probes a service that does not serve.
[[nodiscard]] std::chrono::milliseconds probe_interval(int processes);

// Returns the time after which a refused caller of a service that is down should retry. It grows
// with the length of the outage and is randomized by `draw`, uniform in [0, 1).
[[nodiscard]] std::chrono::milliseconds retry_after_for(const service_availability& availability,
                                                        double draw);

[[nodiscard]] absl::string_view name_of(service_condition condition);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVICE_AVAILABILITY_H_
