// Runs calls that must not be repeated. Each is sent only to the agent incarnation that its key or
// ticket is bound to, and never to another agent.
//
// The outcome in a refusal covers every sending of the key. A refusal decided by the entry
// therefore says `not_run` only if no earlier sending is known to have run or may have run: the key
// has no binding, its agent reports that it never accepted the key, or the caller guarantees that
// it has never sent the key before.

#ifndef SARDINESTREAM_REQUESTS_KEYED_CALL_H_
#define SARDINESTREAM_REQUESTS_KEYED_CALL_H_

#include "sardinestream/requests/services.h"
#include "sardinestream/requests/whole_answer.h"

namespace sardinestream::requests {

// Runs `request` and blocks until its answer is complete, at most until its deadline.
[[nodiscard]] call_result call_at_most_once(const caller_request& request,
                                            const request_services& services);

// Refuses `request` with `why`, which was decided before its key was examined. Returns the recorded
// answer if an earlier sending has run.
[[nodiscard]] call_result refuse_at_most_once(const caller_request& request,
                                              const request_services& services, refusal why);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_KEYED_CALL_H_
