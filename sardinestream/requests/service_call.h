// A call of a plain service, and the whole answer to it.
//
// Owns the decision whether a call may be tried again: a repeatable one inside the retry budget,
// any other never (see keyed_call.h). It knows nothing of HTTP towards the caller.

#ifndef SARDINESTREAM_REQUESTS_SERVICE_CALL_H_
#define SARDINESTREAM_REQUESTS_SERVICE_CALL_H_

#include "sardinestream/requests/services.h"
#include "sardinestream/requests/whole_answer.h"

namespace sardinestream::requests {

// Runs `request` and blocks until its answer is whole, at most until its deadline.
[[nodiscard]] call_result call_service(const caller_request& request,
                                       const request_services& services);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_SERVICE_CALL_H_
