// Serves the pages on a process's metrics address: /metrics and /status.

#ifndef SARDINESTREAM_PROGRAMS_OPERATOR_PAGES_H_
#define SARDINESTREAM_PROGRAMS_OPERATOR_PAGES_H_

#include <functional>
#include <string>

#include "sardinestream/http/http_client.h"
#include "sardinestream/http/message.h"

namespace sardinestream {

struct operator_pages {
    // Sets the gauges to the current values of the process.
    std::function<void()> set_gauges;
    // Returns the current state of the process as JSON.
    std::function<std::string()> status_json;
};

// Answers a request for one of the pages; returns 404 for any other path.
[[nodiscard]] http_answer answer_operator(const http_request_head& head,
                                          const operator_pages& pages);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_OPERATOR_PAGES_H_
