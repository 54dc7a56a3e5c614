// Which of a service's servers takes a request now, or none where all are full.
//
// Answers the load of a steady day, where every server has room and the least occupied one gives
// the shortest pass, and that of a heavy one, where a request that is let in beyond a server's room
// slows the streams that run there already. A pure function of its arguments.

#ifndef SARDINESTREAM_BACKENDS_CHOOSE_SERVER_H_
#define SARDINESTREAM_BACKENDS_CHOOSE_SERVER_H_

#include <cstddef>
#include <optional>

#include "absl/types/span.h"

namespace sardinestream {

// What is known of one server at the moment of choice.
struct server_load {
    // Requests that run or wait there.
    double occupancy = 0;
    // Requests that it may hold before others have to wait; at least one.
    double room = 1;
    // Time of a unit of work against that of a sound server; 1 is normal.
    double slowness = 1;
    // Recent failures against all answers, 0 to 1.
    double failure_share = 0;
    bool same_data_centre = false;
    // False where it must not be sent anything: it leaves, it was tried already, it cannot be
    // reached.
    bool available = true;
};

// Returns the position of the best server with room. `tie_break` is uniform in [0, 1).
[[nodiscard]] std::optional<std::size_t> choose_server(absl::Span<const server_load> servers,
                                                       double tie_break);

// The same, where other processes choose at the same time from reports as old as ours: the best of
// a few servers with room that are drawn, slow and failing ones seldom. If each took the best of
// all, they would all send to the same few servers until the next reports. Answers the load of many
// entries on a fleet; of a few servers all are looked at. `draws` are uniform in [0, 1): one for
// each server that is drawn, the first also breaks ties.
[[nodiscard]] std::optional<std::size_t> choose_among_drawn(absl::Span<const server_load> servers,
                                                            absl::Span<const double> draws);

// How many draws make the fullest servers rare while reports are old, and still leave a choice.
inline constexpr std::size_t servers_drawn = 3;

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_CHOOSE_SERVER_H_
