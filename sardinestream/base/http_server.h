// Runs an HTTP server on cpp-httplib, configured to serve many connections.
//
// It changes these defaults of the library: one thread for each connection instead of a fixed pool,
// a listen backlog large enough for bursts, no delay on small writes, keep-alive without a request
// limit, bounded bodies, and a limit on connections above which each request is refused.
//
//     auto server = http_server::create({.local = {"127.0.0.1", 0}});
//     (*server)->routes().Get("/health", handle_health);
//     (*server)->start();
//     ... (*server)->local().port ...
//
// Owns the accepting thread and the connection threads. Independent of the content that is served.

#ifndef SARDINESTREAM_BASE_HTTP_SERVER_H_
#define SARDINESTREAM_BASE_HTTP_SERVER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

#include <httplib.h>

#include "sardinestream/base/http_connection.h"
#include "sardinestream/base/settings.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream {

struct http_server_options {
    address local;
    // Maximum number of connections that are served; the next `max_refused_connections` are
    // answered by `refuse_request`, and those beyond wait in the listen backlog.
    int max_connections = 4000;
    int max_refused_connections = 64;
    std::size_t max_body_bytes = 8U << 20;
    absl::Duration keep_alive = absl::Seconds(5);
    absl::Duration read_timeout = absl::Seconds(30);
    absl::Duration write_timeout = absl::Seconds(30);
    // Fills the response to a request on a connection above the limit; status 503 is already set.
    std::function<void(const httplib::Request&, httplib::Response&)> refuse_request = nullptr;
    // Runs before the routes. Returns true if it has filled the response itself. The body of the
    // request has not been read at that point, so the connection is closed after that response.
    std::function<bool(const httplib::Request&, httplib::Response&)> before_routes = nullptr;
};

class http_server {
public:
    // Binds and listens; connections wait until `start`.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<http_server>>
    create(http_server_options options);

    // Calls `stop`.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Returns the object to which handlers are added; call only before `start`.
    [[nodiscard]] httplib::Server& routes() { return this->server; }

    // Starts accepting. Call once.
    void start();

    // Stops accepting, lets handlers in progress finish, and returns when every connection has
    // ended; idle ones end within `keep_alive`. Streamed answers are truncated: wait until
    // `requests` is zero first. Thread-safe; later calls wait as well.
    void stop();

    // Stops accepting and waits until every connection has ended or until `deadline`: a caller that
    // sends or reads slowly may keep its connection for any length of time. Returns whether all
    // have ended. `stop` still has to be called, or the process ended.
    bool stop_accepting(std::chrono::steady_clock::time_point deadline);

    // Returns the bound address; its port is never zero.
    [[nodiscard]] const address& local() const { return this->local_address; }

    // Returns the number of connections currently being served or refused. Thread-safe.
    [[nodiscard]] int connections() const { return *this->open_connections; }

    // Returns the number of requests that are being read, handled or answered. Thread-safe.
    [[nodiscard]] int requests() const { return this->server.requests(); }

private:
    explicit http_server(http_server_options configured);

    [[nodiscard]] absl::Status bind();
    void configure();
    void close_listener() ABSL_EXCLUSIVE_LOCKS_REQUIRED(stop_mutex);

    const http_server_options options;
    // Shared with the task queue, which belongs to the library.
    const std::shared_ptr<std::atomic<int>> open_connections =
        std::make_shared<std::atomic<int>>(0);
    address local_address;
    connection_server server;
    absl::Mutex stop_mutex;
    std::thread accepting ABSL_GUARDED_BY(stop_mutex);
    bool listener_closed ABSL_GUARDED_BY(stop_mutex) = false;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_HTTP_SERVER_H_
