// What may be done, and what may be said, after an attempt failed. Pure functions: they hold the
// promise that a request which must not run twice never does, and that "not run" is true.

#ifndef SARDINESTREAM_FORWARDING_RETRY_RULES_H_
#define SARDINESTREAM_FORWARDING_RETRY_RULES_H_

#include "sardinestream/routes/desired_state.h"

namespace sardinestream {

// What is known of an attempt that did not end in an answer to pass on.
enum class attempt_state {
    // No byte of the request has left.
    nothing_sent,
    // The server stated that it did not run the request.
    refused_by_server,
    // Bytes have left and nothing is known of the run.
    possibly_run,
    // The server answered that its run failed.
    run_failed,
};

// Returns true where the request may be sent to another server. `sent` counts the servers that may
// have run it.
[[nodiscard]] bool may_send_again(const route& chosen, attempt_state last, bool any_possibly_run,
                                  int sent);

// The status for a request that is given up on. `any_possibly_run`: some attempt may have run it;
// `timed_out`: its time is over.
[[nodiscard]] int final_status(bool any_possibly_run, bool timed_out);

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_RETRY_RULES_H_
