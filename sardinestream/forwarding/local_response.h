// Writes responses that this process generates itself, and reads properties of a response from its
// head.

#ifndef SARDINESTREAM_FORWARDING_LOCAL_RESPONSE_H_
#define SARDINESTREAM_FORWARDING_LOCAL_RESPONSE_H_

#include <chrono>
#include <string>

#include "sardinestream/http/message.h"
#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"

namespace sardinestream {

// Time limit for writing a locally generated response; also applies past the request's deadline.
inline constexpr std::chrono::milliseconds local_response_timeout{1000};

// Returns whether the response is a stream of server-sent events.
[[nodiscard]] bool is_event_stream(const http_response_head& head);

// Returns how long the server keeps its connection open when idle after this response.
[[nodiscard]] std::chrono::milliseconds idle_timeout_of(const http_response_head& head);

// A response that this process generates itself.
struct local_response {
    int status = 0;
    // What the body says.
    absl::string_view code;
    // Retry-After; none if it is zero.
    std::chrono::milliseconds retry_after{0};
    // Whether the connection accepts another request.
    bool keep = false;
    // Method of the request, which decides whether the response has a body; empty if unknown.
    absl::string_view method = "";
};

[[nodiscard]] std::string encode_local_response(const http_headers& headers,
                                                const local_response& response);

// Writes the response. Returns whether the connection can serve another request.
[[nodiscard]] bool write_local_response(tcp_socket& caller, const http_headers& headers,
                                        const local_response& response);

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_LOCAL_RESPONSE_H_
