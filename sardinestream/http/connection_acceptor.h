// Accepts connections from a listener and handles each one on its own thread until it is stopped.
//
//     connection_acceptor acceptor(*tcp_listener::bind(local), {},
//                                  [](tcp_socket connection) { serve(std::move(connection)); });
//     acceptor.stop_accepting();
//     acceptor.wait_until_idle(deadline);
//
// When accepting fails, for example because the process has no file descriptors left, the acceptor
// waits for `acceptor_options::poll_interval` and tries again. Thread-safe.

#ifndef SARDINESTREAM_HTTP_CONNECTION_ACCEPTOR_H_
#define SARDINESTREAM_HTTP_CONNECTION_ACCEPTOR_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"

namespace sardinestream {

struct acceptor_options {
    // Maximum number of open connections; further ones are refused.
    int max_connections = std::numeric_limits<int>::max();
    // What a refused connection gets, on the accepting thread, once a request arrives on it. If
    // empty, or if very many are being refused, refused connections are closed at once.
    std::string refusal;
    // Called on the accepting thread, with the reason, for each connection that is refused because
    // of the limit or because no thread could be started.
    std::function<void(absl::string_view reason)> on_refused = [](absl::string_view) {};
    // How often the accepting thread checks whether it must stop; also the delay after an error.
    std::chrono::milliseconds poll_interval{200};
};

class connection_acceptor {
public:
    using handler = std::function<void(tcp_socket connection)>;

    // `served` is called once for each connection, on that connection's thread.
    connection_acceptor(tcp_listener bound, acceptor_options chosen, handler served);
    // Stops accepting and blocks until all connections have been handled.
    ~connection_acceptor();
    connection_acceptor(const connection_acceptor&) = delete;
    connection_acceptor& operator=(const connection_acceptor&) = delete;

    // Accepts what the kernel has queued and closes the listener. Open connections are not
    // affected. Further calls have no effect.
    void stop_accepting();

    // Blocks until no connection is open and returns true, or returns false at `deadline`.
    bool wait_until_idle(steady_time deadline) { return this->threads.wait_until_empty(deadline); }

    [[nodiscard]] int connections() const { return this->threads.size(); }

    // Returns the bound address. The port is the actual one, also if port 0 was requested.
    [[nodiscard]] const address& local() const { return this->bound_to; }

private:
    // A connection that gets no thread.
    struct refused_connection {
        tcp_socket connection;
        // When it is closed.
        steady_time end;
        bool answered = false;
    };

    void run();
    // Waits for a connection or for input of a refused one, up to `poll_interval`.
    void wait_for_event();
    void refuse(tcp_socket connection, absl::string_view reason);
    // Answers the refused connections that have sent something and closes those that are done.
    void serve_refused();
    // Takes the next step with a refused connection, without waiting. Returns whether it is done.
    [[nodiscard]] bool advance(refused_connection& refused) const;
    // Accepts the connections in the listener's queue, and those that get there by
    // `handshakes_end`, up to `end`: the kernel resets them when the listener closes.
    void accept_queued(steady_time handshakes_end, steady_time end);
    void start_connection(tcp_socket connection);

    tcp_listener listener;
    const address bound_to;
    const acceptor_options options;
    const handler served;
    std::atomic<bool> stopping = false;
    thread_group threads;
    // Used only by the accepting thread.
    std::vector<refused_connection> refused;
    std::thread accepting;
};

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_CONNECTION_ACCEPTOR_H_
