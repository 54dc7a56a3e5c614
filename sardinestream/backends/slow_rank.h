// Decides how many requests a rank that is slower than its group may run.
//
// Answers the load in which one rank of a group turns slow. All ranks of a group begin each step
// together and wait for the slowest, whose own part grows with the requests that it runs. A request
// on a slow rank therefore delays every request of the group, so that streams on all ranks pause
// for longer than their callers accept. Fewer requests on the slow rank cost the group one rank's
// share of its capacity at most. Pure functions.

#ifndef SARDINESTREAM_BACKENDS_SLOW_RANK_H_
#define SARDINESTREAM_BACKENDS_SLOW_RANK_H_

#include <vector>

namespace sardinestream {

// Returns the median of the slowness of a group's ranks, as in `server_report`; 1 if there are
// none.
[[nodiscard]] double typical_slowness(std::vector<double> slowness_by_rank);

// Slowness, relative to that of its group, up to which a rank may fill its capacity. The ranks of a
// healthy group differ by less.
inline constexpr double tolerated_slowness = 1.5;
// Slowness, relative to that of its group, from which a rank runs no requests.
inline constexpr double unusable_slowness = 2;

// Returns the share of its capacity that a rank may fill, 0 to 1: all of it up to
// `tolerated_slowness` times the typical slowness of its group, nothing from `unusable_slowness`
// times that on. A group that is faster than a healthy one (1) counts as healthy.
[[nodiscard]] double usable_capacity_share(double slowness, double typical);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SLOW_RANK_H_
