// Fetches the complete answer of one agent to one request, for calls that are not streamed.

#ifndef SARDINESTREAM_REQUESTS_WHOLE_ANSWER_H_
#define SARDINESTREAM_REQUESTS_WHOLE_ANSWER_H_

#include <memory>
#include <string>
#include <variant>

#include "sardinestream/requests/attempt.h"

namespace sardinestream::requests {

struct service_answer {
    int status = 200;
    header_list headers;
    std::string body;
    // True if the answer was recorded by an earlier run of the same key.
    bool replayed = false;
};

using call_result = std::variant<service_answer, refusal>;

// Sends `message` to the agent and blocks until its answer is complete, `deadline` passes, or the
// caller disconnects, which cancels the run if it may be cancelled.
[[nodiscard]] call_result fetch_whole_answer(const std::shared_ptr<membership::peer>& agent,
                                             const request_openT& message, steady_deadline deadline,
                                             const caller_check& caller_has_gone);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_WHOLE_ANSWER_H_
