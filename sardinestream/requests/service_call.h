// A call of a plain service, and the whole answer to it.
//
// Owns the decision whether a call may be tried again. A call that may not be repeated goes only to
// the agent incarnation that its key or ticket is bound to, and is never tried elsewhere; a
// repeatable one may be retried inside the retry budget. It knows nothing of HTTP towards the
// caller.

#ifndef SARDINESTREAM_REQUESTS_SERVICE_CALL_H_
#define SARDINESTREAM_REQUESTS_SERVICE_CALL_H_

#include <string>
#include <variant>

#include "sardinestream/requests/attempt.h"
#include "sardinestream/requests/services.h"

namespace sardinestream::requests {

struct service_answer {
    int status = 200;
    header_list headers;
    std::string body;
    // True where the answer was recorded at an earlier run of the same key.
    bool replayed = false;
};

// Runs `request` and blocks until its answer is whole, at most until its deadline.
[[nodiscard]] std::variant<service_answer, refusal> call_service(const caller_request& request,
                                                                 const request_services& services);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_SERVICE_CALL_H_
