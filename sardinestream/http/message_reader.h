// Reads HTTP/1.1 messages from a socket, with Boost.Beast's incremental parser.
//
// One reader belongs to one connection. It keeps what came beyond a message for the next one, and
// says so (`has_surplus`), since a server that sends more than it was asked for must not be used
// again.
//
//     message_reader reader(socket);
//     absl::StatusOr<http_request_head> head = reader.read_request_head(limits, deadline, {});
//     absl::Status done = reader.read_body(limits.body_bytes, body, deadline, {});
//
// Errors beside those of the socket: kInvalidArgument (not HTTP, or a form that two parsers could
// read differently), kResourceExhausted (head or another line too large), kOutOfRange (body too
// large), kDataLoss (the connection ended within the message), kNotFound (it ended before the first
// byte).

#ifndef SARDINESTREAM_HTTP_MESSAGE_READER_H_
#define SARDINESTREAM_HTTP_MESSAGE_READER_H_

#include <memory>
#include <string>

#include "sardinestream/http/message.h"
#include "sardinestream/http/socket.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace sardinestream {

struct message_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
};

class message_reader {
public:
    // `source` must outlive the reader.
    explicit message_reader(tcp_socket& source);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    // Waits for the first byte of the next message; kNotFound where the peer ended instead.
    [[nodiscard]] absl::Status wait_for_message(steady_time deadline);

    [[nodiscard]] absl::StatusOr<http_request_head> read_request_head(const message_limits& limits,
                                                                      steady_time deadline);

    // `to_head` says that the answer has no body whatever its head says.
    [[nodiscard]] absl::StatusOr<http_response_head>
    read_response_head(const message_limits& limits, bool to_head, steady_time deadline,
                       const hangup_watch& caller);

    // Appends the rest of the body to `body`.
    [[nodiscard]] absl::Status read_body(std::size_t most_bytes, std::string& body,
                                         steady_time deadline, const hangup_watch& caller);

    // Appends what has come of the body, waiting for some. Returns true at the body's end.
    [[nodiscard]] absl::StatusOr<bool> read_body_part(std::string& body, steady_time deadline,
                                                      const hangup_watch& caller);

    // Bytes beyond the last message have been received.
    [[nodiscard]] bool has_surplus() const { return !this->buffered.empty(); }

private:
    template <bool IsRequest>
    class parser;

    template <bool IsRequest>
    absl::Status read_head(parser<IsRequest>& into, steady_time deadline,
                           const hangup_watch& caller);
    template <bool IsRequest>
    absl::Status parse_buffered(parser<IsRequest>& into);
    // Fails where what waits for more bytes has grown beyond any sound message.
    [[nodiscard]] absl::Status check_unparsed() const;
    template <bool IsRequest>
    absl::StatusOr<bool> read_part(parser<IsRequest>& from, std::string& body, steady_time deadline,
                                   const hangup_watch& caller);
    // Reads more into `buffered`; zero bytes at the end of the connection.
    absl::StatusOr<std::size_t> fill(steady_time deadline, const hangup_watch& caller);

    tcp_socket& socket;
    std::string buffered;
    // At most one of the two is set: the message that is being read.
    std::unique_ptr<parser<true>> request;
    std::unique_ptr<parser<false>> response;
};

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_MESSAGE_READER_H_
