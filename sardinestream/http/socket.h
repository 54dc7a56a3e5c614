// TCP sockets with deadlines, for threads that are written straight down.
//
// Every blocking call takes a deadline on the steady clock and, where somebody waits for the
// outcome, a `hangup_watch` on that caller's socket: the call ends as soon as the caller has gone.
//
//     absl::StatusOr<tcp_socket> server = tcp_socket::connect(address, deadline, caller);
//     SARDINE_RETURN_IF_ERROR(server->write_all(head, deadline, caller));
//
// Errors: kDeadlineExceeded, kCancelled (the watched caller has gone), kUnavailable (refused,
// reset or unreachable). A `tcp_socket` belongs to one thread at a time.

#ifndef SARDINESTREAM_HTTP_SOCKET_H_
#define SARDINESTREAM_HTTP_SOCKET_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "sardinestream/base/settings.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace sardinestream {

using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;

// Milliseconds from now until `time`, never negative.
[[nodiscard]] int milliseconds_until(steady_time time);

// Watches the socket of a caller for its end while its thread waits for something else.
class hangup_watch {
public:
    // Watches nothing.
    hangup_watch() = default;
    // `socket` stays owned by the caller of this constructor.
    explicit hangup_watch(int socket) : fd(socket) {}

    // Returns true once the peer has closed or reset its end. Data that waits to be read is no end.
    [[nodiscard]] bool has_hung_up() const;

    // The watched descriptor, or -1.
    [[nodiscard]] int descriptor() const { return this->fd; }

private:
    int fd = -1;
};

class tcp_socket {
public:
    tcp_socket() = default;
    explicit tcp_socket(int descriptor) : fd(descriptor) {}
    ~tcp_socket();
    tcp_socket(tcp_socket&& other) noexcept;
    tcp_socket& operator=(tcp_socket&& other) noexcept;
    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;

    [[nodiscard]] static absl::StatusOr<tcp_socket>
    connect(const address& peer, steady_time deadline, const hangup_watch& caller);

    // Returns the number of bytes read; zero at an orderly end.
    [[nodiscard]] absl::StatusOr<std::size_t>
    read_some(absl::Span<char> buffer, steady_time deadline, const hangup_watch& caller);

    [[nodiscard]] absl::Status write_all(absl::string_view bytes, steady_time deadline,
                                         const hangup_watch& caller);

    // Like `write_all`, but stops where the peer answers before it has taken everything. Returns
    // whether all was written; if not, the connection must not be used again.
    [[nodiscard]] absl::StatusOr<bool>
    write_until_answer(absl::string_view bytes, steady_time deadline, const hangup_watch& caller);

    // Returns true where bytes wait to be read or the peer has ended the connection: an idle
    // connection in that state must not be used again.
    [[nodiscard]] bool has_input_or_end() const;

    // Ends the connection without reading what is left, but lets the peer read what was written.
    void finish_writing();
    void close();
    // Ends the connection with a reset: bytes that have not reached the peer never will.
    void abort();

    [[nodiscard]] int descriptor() const { return this->fd; }
    [[nodiscard]] bool is_open() const { return this->fd >= 0; }

private:
    // Returns whether all was written.
    [[nodiscard]] absl::StatusOr<bool> write(absl::string_view bytes, bool stop_at_answer,
                                             steady_time deadline, const hangup_watch& caller);

    int fd = -1;
};

// A listening TCP socket.
class tcp_listener {
public:
    [[nodiscard]] static absl::StatusOr<tcp_listener> bind(const address& local);

    // Waits up to `deadline` for a connection; kDeadlineExceeded where none came.
    [[nodiscard]] absl::StatusOr<tcp_socket> accept(steady_time deadline);

    // The address in force; its port is never zero.
    [[nodiscard]] const address& local() const { return this->bound; }

private:
    tcp_socket socket;
    address bound;
};

// Waits until `descriptor` is readable or ended, until the watched caller has gone, or until
// `deadline`.
void wait_for_input(int descriptor, const hangup_watch& caller, steady_time deadline);

// Waits until one of the descriptors is readable or ended, or until `deadline`.
void wait_for_either_input(int first, int second, steady_time deadline);

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_SOCKET_H_
