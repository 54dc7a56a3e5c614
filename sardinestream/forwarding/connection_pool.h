// Pools idle connections to backend servers, for requests that may be sent again.
//
// A connection is pooled only after a complete response with no bytes after it, and reused only if
// nothing has arrived on it since. Thread-safe.

#ifndef SARDINESTREAM_FORWARDING_CONNECTION_POOL_H_
#define SARDINESTREAM_FORWARDING_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/http/message_reader.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// A connection to one server. Belongs to one thread at a time.
struct server_connection {
    server_connection(tcp_socket opened, message_reader::reading_end end)
        : socket(std::move(opened)), reader(socket, std::move(end))
    {
    }

    tcp_socket socket;
    message_reader reader;
    // The connection served an earlier request.
    bool reused = false;
    steady_time expires_at{};
    // Requests that the server has refused on this connection. They are not sent on it again: a
    // refusal that arrives once more would be taken for the new answer.
    std::vector<std::string> refused_ids;
    // How long the server keeps the connection open when idle, as stated in its last response.
    std::chrono::milliseconds idle_timeout{0};
};

class connection_pool {
public:
    // The connections are read up to `end` at most.
    explicit connection_pool(message_reader::reading_end end) : reading_end(std::move(end)) {}

    // Returns an idle connection to that incarnation of the server on which the request has not
    // been refused, or a new one. Always opens a new one if `require_new` is set.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<server_connection>>
    open(const backend_server& server, const std::string& request_id, bool require_new,
         steady_time deadline, const hangup_watch& caller);

    // Returns a connection to the pool; its last response must be complete. `idle_timeout` is the
    // server's keep-alive time.
    void release(const backend_server& server, std::unique_ptr<server_connection> connection,
                 std::chrono::milliseconds idle_timeout);

    // Closes the idle connections to a server: what made one of them silent or lost may have cut
    // the others as well.
    void discard(const backend_server& server);

    // Closes expired connections and all connections to servers that are draining or not in
    // `servers`.
    void close_stale(const std::vector<backend_server>& servers);

private:
    using pool_key = std::pair<std::string, std::int64_t>;

    std::unique_ptr<server_connection> take_idle(const backend_server& server,
                                                 const std::string& request_id);

    const message_reader::reading_end reading_end;
    absl::Mutex mutex;
    // By id and start time of the server; the most recently released connection is reused first.
    std::map<pool_key, std::vector<std::unique_ptr<server_connection>>> idle ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_CONNECTION_POOL_H_
