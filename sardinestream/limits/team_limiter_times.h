// Times that the limiter's two halves share: admission (team_limiter.cc) and trade
// (team_limiter_trade.cc). Not for use elsewhere.

#ifndef SARDINESTREAM_LIMITS_TEAM_LIMITER_TIMES_H_
#define SARDINESTREAM_LIMITS_TEAM_LIMITER_TIMES_H_

#include "absl/time/time.h"

namespace sardinestream::limits {

// Time by which a loan of requests in flight outlasts the longest request.
constexpr absl::Duration in_flight_loan_extra = absl::Seconds(20);
// The home borrows for longer than it lends.
constexpr double broker_loan_factor = 2.0;
// After a refused ask the same need is not put to peers again at once; the pause doubles.
constexpr absl::Duration min_ask_pause = absl::Milliseconds(10);
constexpr absl::Duration max_ask_pause = absl::Milliseconds(200);

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_TEAM_LIMITER_TIMES_H_
