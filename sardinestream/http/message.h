// Heads of HTTP/1.1 messages as values.
//
// Header names keep the sender's spelling and are compared without case. `end_to_end_headers`
// drops what concerns one connection only, so that the rest can be passed on.

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

// Returns the first header of that name.
[[nodiscard]] std::optional<absl::string_view> find_header(const http_headers& headers,
                                                           absl::string_view name);

// The same, or the empty text.
[[nodiscard]] std::string header_or_empty(const http_headers& headers, absl::string_view name);

// Returns how often a header stands there.
[[nodiscard]] int count_header(const http_headers& headers, absl::string_view name);

// Returns true where `Connection` holds `token`.
[[nodiscard]] bool connection_says(const http_headers& headers, absl::string_view token);

// Returns the headers without those of one hop, with neither length nor coding of the body.
[[nodiscard]] http_headers end_to_end_headers(const http_headers& headers);

// How the end of a body is marked.
enum class body_framing { none, length, chunked, until_close };

struct http_request_head {
    std::string method;
    // Path and query as sent.
    std::string target;
    // 10 or 11.
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

void append_header(std::string& text, absl::string_view name, absl::string_view value);

// Returns true for 2xx.
[[nodiscard]] bool is_success(int status);

// Returns the customary reason phrase of a status code.
[[nodiscard]] absl::string_view reason_phrase(int status);

// An answer that is to be written.
struct answer_head {
    int status = 0;
    // Empty: the customary one.
    std::string reason;
    http_headers headers;
    // Nothing for a chunked body, for one that ends with the connection, and where there is none.
    std::optional<std::size_t> content_length;
    bool chunked = false;
    // The connection can take another request after this answer.
    bool keeps_connection = true;
};

// Returns the status line and the headers, with the empty line behind them.
[[nodiscard]] std::string encode_answer_head(const answer_head& head);

// One chunk of a chunked body.
[[nodiscard]] std::string chunk_of(absl::string_view bytes);

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_MESSAGE_H_
