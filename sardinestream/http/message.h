// Represents the heads of HTTP/1.1 messages (start line and headers) as values.
//
// Header names keep the sender's spelling and are compared case-insensitively.
// `end_to_end_headers` removes the headers that apply to a single connection, so that the rest can
// be forwarded.

#ifndef SARDINESTREAM_HTTP_MESSAGE_H_
#define SARDINESTREAM_HTTP_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace sardinestream {

struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

// Returns the value of the first header called `name`. The view refers to `headers`.
[[nodiscard]] std::optional<absl::string_view> find_header(const http_headers& headers,
                                                           absl::string_view name);

// Returns the value of the first header called `name`, or an empty string if there is none.
[[nodiscard]] std::string header_or_empty(const http_headers& headers, absl::string_view name);

// Returns the number of headers called `name`.
[[nodiscard]] int count_header(const http_headers& headers, absl::string_view name);

// Returns true if a `Connection` header lists `token` (case-insensitive).
[[nodiscard]] bool has_connection_token(const http_headers& headers, absl::string_view token);

// Returns the headers without the hop-by-hop ones: the standard ones, those that `Connection`
// lists, and the ones that frame the body (`Content-Length`, `Transfer-Encoding`).
[[nodiscard]] http_headers end_to_end_headers(const http_headers& headers);

// How the end of a message body is determined.
enum class body_framing { none, length, chunked, until_close };

struct http_request_head {
    std::string method;
    // Path and query, exactly as received.
    std::string target;
    // HTTP version: 10 for HTTP/1.0, 11 for HTTP/1.1.
    int version = 11;
    http_headers headers;

    [[nodiscard]] bool keeps_alive() const;
};

struct http_response_head {
    int status = 0;
    int version = 11;
    std::string reason;
    http_headers headers;
    body_framing framing = body_framing::none;

    [[nodiscard]] bool keeps_alive() const;
};

// Returns whether a header can carry `value` as it is: text without control characters other than
// tabs, and without space at its ends.
[[nodiscard]] bool is_header_value(absl::string_view value);

// Appends a header line to `text`. Control characters in the value, which could begin another
// header, become blanks.
void append_header(std::string& text, absl::string_view name, absl::string_view value);

// Returns true for 2xx.
[[nodiscard]] bool is_success(int status);

// Returns whether a final response with this status to a request with this method has a body; one
// without ends with its head, whatever that says.
[[nodiscard]] bool has_body(absl::string_view method, int status);

// Returns the standard reason phrase of a status code, or "Status" for codes that are not used
// here.
[[nodiscard]] absl::string_view reason_phrase(int status);

// The head of a response to be sent.
struct answer_head {
    int status = 0;
    // Empty selects the standard reason phrase.
    std::string reason;
    http_headers headers;
    // Not set for a chunked body, for a body that ends with the connection, and for no body.
    std::optional<std::size_t> content_length;
    bool chunked = false;
    // Whether the connection accepts another request after this response.
    bool keeps_connection = true;
};

// Returns the status line, the headers and the empty line that ends the head.
[[nodiscard]] std::string encode_answer_head(const answer_head& head);

// The end of a chunked body without trailers.
inline constexpr absl::string_view last_chunk = "0\r\n\r\n";

// Returns `bytes` as one chunk of a chunked body; nothing if there are none, because a chunk
// without bytes would end the body.
[[nodiscard]] std::string encode_chunk(absl::string_view bytes);

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_MESSAGE_H_
