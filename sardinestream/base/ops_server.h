// Serves the operators' HTTP port: liveness, readiness, metrics and status.
//
//     GET /healthz   200 while the process runs
//     GET /readyz    200 while the process takes new work, 503 otherwise
//     GET /metrics   Prometheus text
//     GET /status    JSON: codes, numbers and times
//     GET /          the same for a browser
//
// Responses are built from what the hooks return; the server holds no state of its own.

#ifndef SARDINESTREAM_BASE_OPS_SERVER_H_
#define SARDINESTREAM_BASE_OPS_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "sardinestream/base/settings.h"

#include "absl/status/statusor.h"

namespace sardinestream {

class http_server;

// Any hook may be empty. Called on the server's threads.
struct ops_hooks {
    std::function<bool()> is_ready;
    // Sets gauges just before /metrics is rendered.
    std::function<void()> update_gauges;
    std::function<std::string()> status_json;
    std::function<std::string()> status_html;
};

class ops_server {
public:
    // Listens on `local` and starts answering.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<ops_server>> create(const address& local,
                                                                            ops_hooks hooks);

    ~ops_server();
    ops_server(const ops_server&) = delete;
    ops_server& operator=(const ops_server&) = delete;

    // Returns the bound address; its port is never zero.
    [[nodiscard]] const address& local() const;

private:
    explicit ops_server(ops_hooks callbacks);

    void add_routes();

    const ops_hooks hooks;
    std::unique_ptr<http_server> http;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_OPS_SERVER_H_
