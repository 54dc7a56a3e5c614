// Selects a backend server for a request, or none if all are full.
//
// Under normal load every server has free capacity, and the least occupied one has the shortest
// steps. Under heavy load no server is filled beyond its capacity, because an additional request
// would slow down the streams that already run there. The functions are pure.

#ifndef SARDINESTREAM_BACKENDS_CHOOSE_SERVER_H_
#define SARDINESTREAM_BACKENDS_CHOOSE_SERVER_H_

#include <cstddef>
#include <optional>

#include "absl/types/span.h"

namespace sardinestream {

// The load of one server at the time of the selection.
struct server_load {
    // Number of requests that run or wait on the server.
    double occupancy = 0;
    // What these requests still cost, as a number of usual requests that have just begun; empty if
    // it is unknown, so that they are counted.
    std::optional<double> work;
    // Number of requests that it may hold before further ones have to wait; zero if it should hold
    // none.
    double capacity = 1;
    // Time per unit of work relative to that of a healthy server; 1 is normal.
    double slowness = 1;
    // Share of recent answers that were failures, 0 to 1.
    double failure_share = 0;
    bool same_data_centre = false;
    // False if the server must not be sent requests: it is leaving, was tried already or is
    // unreachable.
    bool available = true;
};

// Returns the index of the best server with free capacity. `tie_break` is uniform in [0, 1).
[[nodiscard]] std::optional<std::size_t> choose_server(absl::Span<const server_load> servers,
                                                       double tie_break);

// Returns the index of the best server in a random sample of those with free capacity; slow and
// failing servers are sampled with lower probability.
//
// Used because many entries select servers at the same time from reports of the same age: if each
// took the best of all servers, they would all send to the same few until the next reports. In a
// small set, all servers are considered. `draws` are uniform in [0, 1): one for each sampled
// server; the first also breaks ties. Must not be empty.
[[nodiscard]] std::optional<std::size_t> choose_from_sample(absl::Span<const server_load> servers,
                                                            absl::Span<const double> draws);

// Sample size. Large enough that the fullest servers are rarely chosen while reports are old, and
// small enough that entries choose different servers.
inline constexpr std::size_t server_sample_size = 3;

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_CHOOSE_SERVER_H_
