// Takes the connections of a listener, each to a thread of its own, until it is told to stop.
//
//     connection_acceptor acceptor(*tcp_listener::bind(local), {},
//                                  [](tcp_socket connection) { serve(std::move(connection)); });
//     acceptor.stop_accepting();
//     acceptor.wait_until_idle(deadline);
//
// Where the system has no descriptor left, it waits a moment and goes on. Thread-safe.

#ifndef SARDINESTREAM_HTTP_CONNECTION_ACCEPTOR_H_
#define SARDINESTREAM_HTTP_CONNECTION_ACCEPTOR_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <limits>
#include <thread>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace sardinestream {

struct acceptor_options {
    // Connections beyond this are closed at once.
    int most_connections = std::numeric_limits<int>::max();
    // Called for each connection that is closed at once, with the reason.
    std::function<void(absl::string_view reason)> on_refused = [](absl::string_view) {};
    // How long a stop may take to be seen.
    std::chrono::milliseconds interval{200};
};

class connection_acceptor {
public:
    using handler = std::function<void(tcp_socket connection)>;

    // `served` is called on the threads of the connections.
    connection_acceptor(tcp_listener bound, acceptor_options chosen, handler served);
    // Stops, and waits for every connection.
    ~connection_acceptor();
    connection_acceptor(const connection_acceptor&) = delete;
    connection_acceptor& operator=(const connection_acceptor&) = delete;

    // Closes the listener; open connections go on. Calls after the first do nothing.
    void stop_accepting();

    // Returns true once no connection is open, false when `deadline` comes first.
    bool wait_until_idle(absl::Time deadline) { return this->threads.wait_until_empty(deadline); }

    [[nodiscard]] int connections() const { return this->threads.size(); }

    // The address in force; its port is never zero.
    [[nodiscard]] const address& local() const { return this->bound_to; }

private:
    void run();
    void take(tcp_socket connection);

    tcp_listener listener;
    const address bound_to;
    const acceptor_options options;
    const handler served;
    std::atomic<bool> stopping = false;
    thread_group threads;
    std::thread accepting;
};

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_CONNECTION_ACCEPTOR_H_
