// Calls that may not be repeated: each goes only to the agent incarnation that its key or ticket is
// bound to, and is never tried elsewhere.
//
// What is said of the outcome speaks of the key over all of its sendings. So a refusal that is
// decided at the entry says `not_run` only where it is known that no earlier sending has run: the
// key is bound to nobody, its agent says that it never accepted it, or the caller vouches that it
// has never sent it.

#ifndef SARDINESTREAM_REQUESTS_KEYED_CALL_H_
#define SARDINESTREAM_REQUESTS_KEYED_CALL_H_

#include "sardinestream/requests/services.h"
#include "sardinestream/requests/whole_answer.h"

namespace sardinestream::requests {

// Runs `request` and blocks until its answer is whole, at most until its deadline.
[[nodiscard]] call_result call_at_most_once(const caller_request& request,
                                            const request_services& services);

// Refuses `request` for the reason `why`, which was decided before its key was looked at. Returns
// the recorded answer where an earlier sending has run.
[[nodiscard]] call_result refuse_at_most_once(const caller_request& request,
                                              const request_services& services, refusal why);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_KEYED_CALL_H_
