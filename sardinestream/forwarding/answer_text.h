// The text of answers to callers, and what a server's head says about its answer.

#ifndef SARDINESTREAM_FORWARDING_ANSWER_TEXT_H_
#define SARDINESTREAM_FORWARDING_ANSWER_TEXT_H_

#include <chrono>
#include <string>

#include "sardinestream/http/message.h"
#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"

namespace sardinestream {

// Answers of our own are written within this time, also past the request's deadline.
inline constexpr std::chrono::milliseconds own_answer_timeout{1000};

// Whether the answer is a stream of events.
[[nodiscard]] bool is_event_stream(const http_response_head& head);

// How long the server keeps its connection idle after this answer.
[[nodiscard]] std::chrono::milliseconds idle_timeout_of(const http_response_head& head);

// Writes an answer of our own. Returns whether the connection can take another request.
[[nodiscard]] bool write_own_answer(tcp_socket& caller, const http_headers& headers, int status,
                                    absl::string_view code, std::chrono::milliseconds retry_after,
                                    bool keep);

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_ANSWER_TEXT_H_
