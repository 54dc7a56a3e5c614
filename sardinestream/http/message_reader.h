// Reads HTTP/1.1 messages from a socket, with Boost.Beast's incremental parser.
//
// Each reader belongs to one connection. Bytes received after the end of a message are kept for the
// next message. `has_surplus` reports them, since a connection on which the server sent more than
// the requested response must not be reused.
//
//     message_reader reader(socket);
//     absl::StatusOr<http_request_head> head = reader.read_request_head(limits, deadline, {});
//     absl::Status done = reader.read_body(limits.body_bytes, body, deadline, {});
//
// Errors in addition to those of the socket: kInvalidArgument (not valid HTTP, a form that two
// parsers could interpret differently, or an invalid status code), kResourceExhausted (head or
// another line too large), kOutOfRange (body too large), kDataLoss (the connection was closed
// within the message), kNotFound (it was closed before the first byte), kFailedPrecondition (the
// reader's `reading_end` has passed). Not thread-safe.

#ifndef SARDINESTREAM_HTTP_MESSAGE_READER_H_
#define SARDINESTREAM_HTTP_MESSAGE_READER_H_

#include <functional>
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

// Limit on interim (1xx) responses before the final one.
inline constexpr int max_interim_responses = 8;

class message_reader {
public:
    // Returns the time at which reading ends whatever the deadline of a call; may bring it forward
    // at any moment.
    using reading_end = std::function<steady_time()>;

    // `source` must outlive the reader.
    explicit message_reader(tcp_socket& source, reading_end end = nullptr);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    // Waits for the first byte of the next message. Returns kNotFound if the peer closes the
    // connection instead.
    [[nodiscard]] absl::Status wait_for_message(steady_time deadline);

    [[nodiscard]] absl::StatusOr<http_request_head> read_request_head(const message_limits& limits,
                                                                      steady_time deadline);

    // Returns the head of an interim response, too. `to_head` states that the request was a HEAD
    // request: the response has no body, regardless of its headers.
    [[nodiscard]] absl::StatusOr<http_response_head>
    read_response_head(const message_limits& limits, bool to_head, steady_time deadline,
                       const hangup_watch& caller);

    // Appends the rest of the body to `body`. Returns kOutOfRange if `body` then exceeds
    // `most_bytes`.
    [[nodiscard]] absl::Status read_body(std::size_t most_bytes, std::string& body,
                                         steady_time deadline, const hangup_watch& caller);

    // Appends the next received part of the body, waiting for one if necessary. Returns true when
    // the body is complete. What was received before bytes that are not valid HTTP is returned
    // first; the error follows with the next call.
    [[nodiscard]] absl::StatusOr<bool> read_body_part(std::string& body, steady_time deadline,
                                                      const hangup_watch& caller);

    // Returns true if bytes after the end of the last message have been received.
    [[nodiscard]] bool has_surplus() const { return !this->buffered.empty(); }

private:
    template <bool IsRequest>
    class parser;

    template <bool IsRequest>
    absl::Status read_head(parser<IsRequest>& into, steady_time deadline,
                           const hangup_watch& caller);
    template <bool IsRequest>
    absl::Status parse_buffered(parser<IsRequest>& into);
    // Removes the first `length` bytes of `buffered`.
    void remove_buffered(std::size_t length);
    // Returns kResourceExhausted if the buffered bytes that the parser cannot consume yet are more
    // than any reasonable line needs.
    [[nodiscard]] absl::Status check_unparsed() const;
    template <bool IsRequest>
    absl::StatusOr<bool> read_part(parser<IsRequest>& from, std::string& body, steady_time deadline,
                                   const hangup_watch& caller);
    // Reads bytes from the socket, until `deadline` or the end of reading.
    absl::StatusOr<std::size_t> read_until_end(absl::Span<char> bytes, steady_time deadline,
                                               const hangup_watch& caller);
    // Reads more bytes into `buffered` and returns their number, zero at the end of the connection.
    absl::StatusOr<std::size_t> fill(steady_time deadline, const hangup_watch& caller);

    tcp_socket& socket;
    const reading_end end;
    std::string buffered;
    // Why the body of the message being read cannot go on behind the bytes parsed so far.
    absl::Status body_error;
    // The parser of the message being read. At most one of the two is set.
    std::unique_ptr<parser<true>> request;
    std::unique_ptr<parser<false>> response;
};

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_MESSAGE_READER_H_
