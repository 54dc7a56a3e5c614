// Time constants shared by the two parts of `team_limiter`: admission (team_limiter.cc) and
// borrowing and lending (team_limiter_trade.cc). Not for use elsewhere.

#ifndef SARDINESTREAM_LIMITS_TEAM_LIMITER_TIMES_H_
#define SARDINESTREAM_LIMITS_TEAM_LIMITER_TIMES_H_

#include "absl/time/time.h"

namespace sardinestream::limits {

// Time by which a loan of requests in flight exceeds the longest request deadline.
constexpr absl::Duration in_flight_loan_extra = absl::Seconds(20);
// The broker borrows for longer than it lends, because it lends borrowed units on.
constexpr double broker_loan_factor = 2.0;
// Bounds of the pause after a refused ask; it doubles with each further refusal in a row.
constexpr absl::Duration min_ask_pause = absl::Milliseconds(10);
constexpr absl::Duration max_ask_pause = absl::Milliseconds(200);

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_TEAM_LIMITER_TIMES_H_
