// Runs a call of a plain service and returns the complete answer.
//
// Decides whether a failed call is tried again: a repeatable call is, within the retry budget; any
// other call never is (see keyed_call.h). It does not depend on the HTTP interface to callers.

#ifndef SARDINESTREAM_REQUESTS_SERVICE_CALL_H_
#define SARDINESTREAM_REQUESTS_SERVICE_CALL_H_

#include "sardinestream/requests/services.h"
#include "sardinestream/requests/whole_answer.h"

namespace sardinestream::requests {

// Runs `request` and blocks until its answer is complete, at most until its deadline.
[[nodiscard]] call_result call_service(const caller_request& request,
                                       const request_services& services);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_SERVICE_CALL_H_
