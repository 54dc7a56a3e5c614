// Builds the requests for completions that an agent sends to its engine.

#ifndef SARDINESTREAM_AGENT_ENGINE_REQUEST_H_
#define SARDINESTREAM_AGENT_ENGINE_REQUEST_H_

#include <optional>
#include <string>

#include "sardinestream/requests/requests_generated.h"

namespace sardinestream::agent {

struct engine_request {
    // JSON, as the engine reads it.
    std::string body;
    // The text that the engine reads as the prompt.
    std::string prompt;
};

// Builds the engine's request: always streamed and resumable, under the request's own id. Returns
// nullopt if the body is not a JSON object.
[[nodiscard]] std::optional<engine_request>
make_engine_request(const requests::request_openT& request);

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_ENGINE_REQUEST_H_
