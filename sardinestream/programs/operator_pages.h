// What a process answers on its metrics address: /metrics and /status.

#ifndef SARDINESTREAM_PROGRAMS_OPERATOR_PAGES_H_
#define SARDINESTREAM_PROGRAMS_OPERATOR_PAGES_H_

#include <functional>
#include <string>

#include "sardinestream/http/http_client.h"
#include "sardinestream/http/message.h"

namespace sardinestream {

struct operator_pages {
    // Sets the gauges to what the process believes now.
    std::function<void()> set_gauges;
    // What it has in force, as JSON.
    std::function<std::string()> status_json;
};

// Returns 404 for any other path.
[[nodiscard]] http_answer answer_operator(const http_request_head& head,
                                          const operator_pages& pages);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_OPERATOR_PAGES_H_
