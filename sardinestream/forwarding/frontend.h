// Accepts callers' connections, one thread each, and admits their requests after checking message
// syntax, limits, route and API key.
//
//     auto frontend = frontend::start(address, services, options);
//     frontend->stop_accepting();       // planned shutdown: requests in flight continue
//     frontend->wait_until_idle(deadline);

#ifndef SARDINESTREAM_FORWARDING_FRONTEND_H_
#define SARDINESTREAM_FORWARDING_FRONTEND_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "sardinestream/forwarding/exchange.h"
#include "sardinestream/http/connection_acceptor.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

struct frontend_options {
    // Returns the newest desired state, or null before the first one has been received.
    std::function<std::shared_ptr<const desired_state>()> current_state;
    // Called for each admitted request.
    std::function<void(const std::string& service)> on_admitted;
    // Maximum number of callers' connections open at the same time.
    int max_connections = 1000;
};

class frontend {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<frontend>>
    start(const address& local, forwarding_services services, frontend_options options);

    ~frontend();
    frontend(const frontend&) = delete;
    frontend& operator=(const frontend&) = delete;

    // Closes the listener and idle connections; requests in flight continue.
    void stop_accepting();

    // Returns true once no connection is open, or false if `deadline` passes first.
    bool wait_until_idle(steady_time deadline) { return this->acceptor.wait_until_idle(deadline); }

    // Returns the bound address; its port is never zero.
    [[nodiscard]] const address& local() const { return this->acceptor.local(); }

    [[nodiscard]] int connections() const { return this->acceptor.connections(); }

private:
    frontend(tcp_listener opened, forwarding_services shared, frontend_options chosen);

    void serve_connection(tcp_socket connection);
    // Returns until when a connection is read after its last answer.
    [[nodiscard]] steady_time linger_end() const;
    [[nodiscard]] bool serve_request(tcp_socket& connection, message_reader& reader);
    [[nodiscard]] bool wait_for_request(tcp_socket& connection, message_reader& reader);
    // A request whose body has not been read.
    struct arriving_request {
        const http_request_head& head;
        request_limits limits;
        steady_time arrival;
    };
    // Reads the body of the request into it. Returns false if the request has been refused or
    // cannot be read, and the connection is to be closed.
    [[nodiscard]] bool read_body(tcp_socket& connection, message_reader& reader,
                                 const arriving_request& arriving,
                                 message_memory_reservation& reservation, caller_request& request);
    // Rejects a message that is no request, or not a whole one; `rejected` holds what is known of
    // it. Returns false.
    [[nodiscard]] bool reject_message(tcp_socket& connection, const absl::Status& error,
                                      const caller_request& rejected);
    [[nodiscard]] bool admit(tcp_socket& connection, caller_request request, steady_time arrival);
    // Returns the desired state; shortly after start-up, waits a short time for the first one.
    // Returns null if none is received in that time.
    [[nodiscard]] std::shared_ptr<const desired_state>
    wait_for_state(const tcp_socket& connection) const;
    [[nodiscard]] bool refuse(tcp_socket& connection, const caller_request& request, int status,
                              absl::string_view code);
    // Refuses a request whose body is not read to its end, and closes the connection.
    [[nodiscard]] bool refuse_unread(tcp_socket& connection, caller_request request,
                                     absl::string_view code);
    [[nodiscard]] request_limits limits() const;

    forwarding_services services;
    const frontend_options options;
    // Becomes readable when the frontend stops; wakes the threads that wait for a caller's next
    // request. Connections are not shut down from another thread instead, because a request may
    // have arrived at the same moment.
    tcp_socket stop_event;
    absl::Mutex mutex;
    std::minstd_rand random ABSL_GUARDED_BY(mutex);
    // Declared last: its threads use all members above.
    connection_acceptor acceptor;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_FRONTEND_H_
