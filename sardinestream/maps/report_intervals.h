// Computes how often the agents of a group report to their coordinator, and how soon orders are
// repeated, from the size of the group. The coordinator's incoming traffic stays a bounded share of
// its machine's link, however large the group is.
//
// The expert selections of a few ranks are a representative sample of the whole group's requests,
// so only some ranks report their counts. Pure functions, thread-safe.

#ifndef SARDINESTREAM_MAPS_REPORT_INTERVALS_H_
#define SARDINESTREAM_MAPS_REPORT_INTERVALS_H_

#include <chrono>

#include "sardinestream/maps/expert_map.h"

namespace sardinestream {

// Returns whether the agent of this rank reports the expert selections of its requests.
[[nodiscard]] bool reports_counts(int rank, int ranks);

// Number of ranks that report their counts.
[[nodiscard]] int count_reporting_ranks(int ranks);

// Interval at which these ranks report their counts.
[[nodiscard]] std::chrono::milliseconds counts_interval(const map_shape& shape);

// Interval at which each agent reports the state of its rank while nothing changes.
[[nodiscard]] std::chrono::milliseconds state_interval(int ranks);

// How long to wait for the effect of an order before sending it again: for a prepare order, which
// carries a map, and for the other orders, which are short.
[[nodiscard]] std::chrono::milliseconds prepare_retry_interval(int ranks);
[[nodiscard]] std::chrono::milliseconds order_retry_interval(int ranks);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_REPORT_INTERVALS_H_
