// The listening side: callers' connections, one thread each, and what is checked before a request
// is let in: form, limits, route and key.
//
//     auto front = front::start(address, services, hooks);
//     front->stop_accepting();       // planned stop: open requests go on
//     front->wait_until_idle(deadline);

#ifndef SARDINESTREAM_FORWARDING_FRONT_H_
#define SARDINESTREAM_FORWARDING_FRONT_H_

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

struct front_hooks {
    // The newest desired state, or null before the first.
    std::function<std::shared_ptr<const desired_state>()> current_state;
    // A request for this service was let in.
    std::function<void(const std::string& service)> on_admitted;
    // The most connections that callers may hold at once.
    int most_connections = 1000;
};

class front {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<front>>
    start(const address& local, forwarding_services services, front_hooks hooks);

    ~front();
    front(const front&) = delete;
    front& operator=(const front&) = delete;

    // Closes the listener and idle connections; requests that are being served go on.
    void stop_accepting();

    // Returns true once no connection is open, false when `deadline` comes first.
    bool wait_until_idle(absl::Time deadline) { return this->acceptor.wait_until_idle(deadline); }

    // The address in force; its port is never zero.
    [[nodiscard]] const address& local() const { return this->acceptor.local(); }

    [[nodiscard]] int connections() const { return this->acceptor.connections(); }

private:
    front(tcp_listener opened, forwarding_services given, front_hooks chosen);

    void serve(tcp_socket connection);
    [[nodiscard]] bool serve_one(tcp_socket& connection, message_reader& reader);
    [[nodiscard]] bool wait_for_request(tcp_socket& connection, message_reader& reader);
    [[nodiscard]] bool refuse_message(tcp_socket& connection, const absl::Status& error);
    [[nodiscard]] bool admit(tcp_socket& connection, caller_request request, steady_time arrival);
    // The desired state; right after a start, waits shortly for the first one.
    [[nodiscard]] std::shared_ptr<const desired_state>
    wait_for_state(const tcp_socket& connection) const;
    [[nodiscard]] bool refuse(tcp_socket& connection, const caller_request& request, int status,
                              absl::string_view code);
    [[nodiscard]] request_limits limits() const;

    forwarding_services services;
    const front_hooks hooks;
    // Becomes readable when the front stops, for threads that wait for a caller's next request. A
    // connection must not be shut down from outside instead: its request may just have come.
    tcp_socket stop_event;
    absl::Mutex mutex;
    std::minstd_rand random ABSL_GUARDED_BY(mutex);
    // Its threads use all of the above.
    connection_acceptor acceptor;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_FRONT_H_
