// Whether a service can serve, as far as its servers' states tell, and what that means for
// requests.
//
// A service serves while at least one of its servers may. Where all are known to serve nothing, it
// recovers for a while, in which requests may wait. It is down once a server has refused, or
// reported its outage, after that time: requests are then refused at once, since they would wait in
// vain. A few requests try the servers all the time, also those left alone after a failure, and
// show when the service returns. Answers the load of callers that come back to a service that
// cannot serve.
//
// Pure functions; times are handed in.

#ifndef SARDINESTREAM_BACKENDS_SERVICE_OUTLOOK_H_
#define SARDINESTREAM_BACKENDS_SERVICE_OUTLOOK_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace sardinestream {

// Why and since when a server is known to serve nothing.
struct server_outage {
    steady_time since{};
    // When it was last seen: by the last refusal, or the last report.
    steady_time seen{};
    // Its group forms anew or a rank is missing, by its agent's report; else it refuses requests or
    // cannot be reached.
    bool group_broken = false;
};

enum class service_condition : std::uint8_t { serving, recovering, down };

struct service_outlook {
    service_condition condition = service_condition::serving;
    // How long no server has served; zero while the service serves.
    std::chrono::milliseconds unserved{0};
};

// `servers` holds, for each server that may take requests, its outage, or nothing where it may
// serve. A service without servers is down.
[[nodiscard]] service_outlook outlook_of(absl::Span<const std::optional<server_outage>> servers,
                                         steady_time now);

// How often each of `processes` tries a service that does not serve.
[[nodiscard]] std::chrono::milliseconds probe_interval(int processes);

// When a refused caller of a service that is down should come back: the later the longer it has
// been down, and spread by `draw`, uniform in [0, 1).
[[nodiscard]] std::chrono::milliseconds come_back_after(const service_outlook& outlook,
                                                        double draw);

[[nodiscard]] absl::string_view name_of(service_condition condition);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVICE_OUTLOOK_H_
