// Provides blocking TCP sockets (IPv4) with deadlines, for code that runs one thread per
// connection.
//
// Every blocking call takes a deadline on the steady clock and, where a caller waits for the
// result, a `hangup_watch` on that caller's socket: the call ends as soon as the caller has
// disconnected.
//
//     absl::StatusOr<tcp_socket> server = tcp_socket::connect(address, deadline, caller);
//     SARDINE_RETURN_IF_ERROR(server->write_all(head, deadline, caller));
//
// Errors: kDeadlineExceeded, kCancelled (the watched caller has disconnected), kUnavailable
// (refused, reset or unreachable), kInvalidArgument (not an IPv4 address). A `tcp_socket` may be
// used by one thread at a time.

#ifndef SARDINESTREAM_HTTP_SOCKET_H_
#define SARDINESTREAM_HTTP_SOCKET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "sardinestream/base/settings.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace sardinestream {

using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;
// A deadline that may be brought forward at any moment; a wait notices it within half a second.
using moving_deadline = std::function<steady_time()>;

[[nodiscard]] inline moving_deadline fixed_deadline(steady_time time)
{
    return [time] { return time; };
}

// Returns the milliseconds from now until `time`, rounded up, as a timeout for poll(2): never
// negative and at most one hour.
[[nodiscard]] int milliseconds_until(steady_time time);
// Returns the whole milliseconds that have passed since `time`.
[[nodiscard]] std::int64_t milliseconds_since(steady_time time);

// Detects that a caller has disconnected while its thread waits for something else.
class hangup_watch {
public:
    // Watches no socket; never reports a hang-up.
    hangup_watch() = default;
    // Does not take ownership of `socket`, which must outlive the watch.
    explicit hangup_watch(int socket) : fd(socket) {}

    // Returns true once the peer has closed or reset the connection, even if received data has not
    // been read yet. Unread data alone is not a hang-up.
    [[nodiscard]] bool has_hung_up() const;

    // Returns the watched descriptor, or -1.
    [[nodiscard]] int descriptor() const { return this->fd; }

private:
    int fd = -1;
};

// Returns whether `connect` failed because nothing listens at the address.
[[nodiscard]] bool is_connection_refused(const absl::Status& error);

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

    // Waits for data and returns the number of bytes read, zero if the peer closed the connection.
    // After `deadline`, only bytes that had arrived at the first call after it are read, so that a
    // peer that never stops sending holds no thread. The caller's hang-up is noticed soon, not at
    // once, while bytes keep arriving.
    [[nodiscard]] absl::StatusOr<std::size_t>
    read_some(absl::Span<char> buffer, steady_time deadline, const hangup_watch& caller);

    [[nodiscard]] absl::Status write_all(absl::string_view bytes, steady_time deadline,
                                         const hangup_watch& caller);

    // Like `write_all`, but stops if the peer responds (or closes the connection) before all bytes
    // are written. Returns whether all bytes were written; if not, the connection must not be
    // reused.
    [[nodiscard]] absl::StatusOr<bool>
    write_until_answer(absl::string_view bytes, steady_time deadline, const hangup_watch& caller);

    // The same for a message of a head and a body, which may be large: small ones are written in
    // one call, and large bodies are not copied.
    [[nodiscard]] absl::Status write_message(std::string head, absl::string_view body,
                                             steady_time deadline, const hangup_watch& caller);
    [[nodiscard]] absl::StatusOr<bool> write_message_until_answer(std::string head,
                                                                  absl::string_view body,
                                                                  const moving_deadline& deadline,
                                                                  const hangup_watch& caller);

    // Returns true if unread bytes are available or the peer has closed the connection. An idle
    // connection in that state must not be reused.
    [[nodiscard]] bool has_input_or_end() const;

    // Returns true if unread bytes are available.
    [[nodiscard]] bool has_input() const;

    // Ends the connection for writing: unread input is left unread, and the peer can still read
    // everything that was written.
    void finish_writing();
    void close();
    // Ends writing and discards what the peer still sends, until it closes the connection or until
    // `deadline`; then closes. Input that is unread at a close makes the kernel reset the
    // connection, and the peer may lose the end of what was written. No effect on a closed socket.
    void close_gracefully(steady_time deadline);
    // Decides whether the connection ends with a reset however it is closed, also by the end of the
    // process.
    void set_abort_on_close(bool aborts);
    // Closes the connection with a reset; bytes that have not been delivered yet are discarded.
    void abort();
    // Like `abort`, but waits first until the peer has acknowledged what was written, or until
    // `deadline`. For an incomplete answer that an orderly end would make look complete.
    void abort_when_delivered(steady_time deadline);

    [[nodiscard]] int descriptor() const { return this->fd; }
    [[nodiscard]] bool is_open() const { return this->fd >= 0; }

private:
    // Returns whether the peer has left so many retransmissions or window probes unanswered that it
    // must be dead. A peer that reads nothing answers them.
    [[nodiscard]] bool is_unanswered() const;
    // Returns how many bytes may be read now: at most `wanted`, fewer after `deadline`.
    [[nodiscard]] std::size_t readable_until(steady_time deadline, std::size_t wanted);
    // Returns kCancelled if the watched caller has disconnected; looks only now and then.
    [[nodiscard]] absl::Status check_caller(const hangup_watch& caller);
    // Both return whether all bytes were written.
    [[nodiscard]] absl::StatusOr<bool> write(absl::string_view bytes, bool stop_at_answer,
                                             const moving_deadline& deadline,
                                             const hangup_watch& caller);
    [[nodiscard]] absl::StatusOr<bool> write_parts(std::string head, absl::string_view body,
                                                   bool stop_at_answer,
                                                   const moving_deadline& deadline,
                                                   const hangup_watch& caller);

    int fd = -1;
    // Reads since one last found out whether the caller is there.
    int unchecked_reads = 0;
    // The deadline that reads have passed, and how many of the bytes that had arrived then are
    // left.
    steady_time passed_deadline{};
    std::size_t late_bytes = 0;
};

// A listening TCP socket.
class tcp_listener {
public:
    [[nodiscard]] static absl::StatusOr<tcp_listener> bind(const address& local);

    // Waits for a connection; returns kDeadlineExceeded if there is none by `deadline`.
    [[nodiscard]] absl::StatusOr<tcp_socket> accept(steady_time deadline);

    // Ignores connections that are not yet being made, as if the machine were busy; those whose
    // handshake has begun can still be accepted.
    void ignore_new_connections();

    // Returns the bound address. The port is the actual one, also if port 0 was requested.
    [[nodiscard]] const address& local() const { return this->bound; }

    // Becomes readable when a connection can be accepted.
    [[nodiscard]] int descriptor() const { return this->socket.descriptor(); }

private:
    tcp_socket socket;
    address bound;
};

// Waits until `descriptor` is readable or closed by its peer, until the watched caller has
// disconnected, or until `deadline`. May return early when a signal arrives.
void wait_for_input(int descriptor, const hangup_watch& caller, steady_time deadline);

// The same for several descriptors.
void wait_for_any_input(absl::Span<const int> descriptors, const hangup_watch& caller,
                        steady_time deadline);

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_SOCKET_H_
