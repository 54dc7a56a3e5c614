// Serves short responses of the process itself over HTTP: readiness, metrics, state for peers.
//
//     auto service = http_service::start(address, [](const http_request_head& head) {
//         return http_answer{200, {}, "ready"};
//     });
//
// Each connection has its own thread, on which the handler is called; the handler must therefore be
// thread-safe.

#ifndef SARDINESTREAM_HTTP_HTTP_SERVICE_H_
#define SARDINESTREAM_HTTP_HTTP_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>

#include "sardinestream/http/connection_acceptor.h"
#include "sardinestream/http/http_client.h"
#include "sardinestream/http/socket.h"

#include "absl/status/statusor.h"

namespace sardinestream {

using http_handler = std::function<http_answer(const http_request_head& head)>;

class http_service {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<http_service>> start(const address& local,
                                                                             http_handler handler);
    // Stops listening and waits for all connections. An idle connection ends within a second.
    ~http_service();
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;

    [[nodiscard]] const address& local() const { return this->acceptor.local(); }

private:
    http_service(tcp_listener bound, http_handler handle);

    void serve(tcp_socket connection);
    void serve_requests(tcp_socket& connection);

    const http_handler handler;
    std::atomic<bool> stopping = false;
    connection_acceptor acceptor;
};

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_HTTP_SERVICE_H_
