// How often the agents of one group tell their coordinator what, by the size of the group: what a
// coordinator takes in stays a bounded share of its machine's link, however large the group is.
//
// The choices of any few ranks are a sample of what the whole group's requests want, so only some
// ranks tell theirs. Pure functions, thread-safe.

#ifndef SARDINESTREAM_MAPS_GROUP_PACE_H_
#define SARDINESTREAM_MAPS_GROUP_PACE_H_

#include <chrono>

#include "sardinestream/maps/expert_map.h"

namespace sardinestream {

// Whether the agent of this rank tells what its requests choose.
[[nodiscard]] bool tells_counts(int rank, int ranks);

// How many ranks do.
[[nodiscard]] int counting_ranks(int ranks);

// How often they do.
[[nodiscard]] std::chrono::milliseconds counts_interval(const map_shape& shape);

// How often each agent tells the state of its rank where nothing has changed.
[[nodiscard]] std::chrono::milliseconds state_interval(int ranks);

// How long the effect of an order may take to show before it is given again: that of one which
// carries a map, and that of a short one.
[[nodiscard]] std::chrono::milliseconds prepare_patience(int ranks);
[[nodiscard]] std::chrono::milliseconds order_patience(int ranks);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_GROUP_PACE_H_
