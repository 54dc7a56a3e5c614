// Decides whether a failed request may be retried, and which status the caller gets. Pure
// functions. They guarantee that a request which must not run twice never does, and that "not run"
// is reported only if it is true.

#ifndef SARDINESTREAM_FORWARDING_RETRY_RULES_H_
#define SARDINESTREAM_FORWARDING_RETRY_RULES_H_

#include "sardinestream/routes/desired_state.h"

namespace sardinestream {

// What is known about an attempt that produced no response to relay.
enum class attempt_state {
    // No byte of the request was sent.
    nothing_sent,
    // The server stated that it did not run the request.
    refused_by_server,
    // Bytes were sent, and it is unknown whether the request ran.
    possibly_executed,
    // The server responded that the request failed while running.
    execution_failed,
};

// Returns whether the request may be sent to another server. `sent` is the number of servers that
// may have run it.
[[nodiscard]] bool may_retry(const route& chosen, attempt_state last, bool any_possibly_executed,
                             int sent);

// Returns the HTTP status for a request that is not retried. `any_possibly_executed`: some attempt
// may have run the request; `timed_out`: its deadline has passed.
[[nodiscard]] int final_status(bool any_possibly_executed, bool timed_out);

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_RETRY_RULES_H_
