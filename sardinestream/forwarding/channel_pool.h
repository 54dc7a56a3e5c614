// Kept connections to servers, for requests that may be sent again.
//
// A connection is kept only after a whole answer with nothing behind it, and used again only while
// nothing has come on it since. Thread-safe.

#ifndef SARDINESTREAM_FORWARDING_CHANNEL_POOL_H_
#define SARDINESTREAM_FORWARDING_CHANNEL_POOL_H_

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
struct server_channel {
    explicit server_channel(tcp_socket opened) : socket(std::move(opened)), reader(socket) {}

    tcp_socket socket;
    message_reader reader;
    // It served a request before.
    bool reused = false;
    steady_time kept_until{};
    // How long the server keeps the connection idle, by its last answer.
    std::chrono::milliseconds idle_timeout{0};
};

class channel_pool {
public:
    // Returns a kept connection to that start of the server, or a new one. `fresh` asks for a new
    // one in any case.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<server_channel>> open(const backend_server& server,
                                                                       bool fresh,
                                                                       steady_time deadline,
                                                                       const hangup_watch& caller);

    // Keeps a connection whose last answer was whole. `idle_timeout` is the server's own.
    void keep(const backend_server& server, std::unique_ptr<server_channel> channel,
              std::chrono::milliseconds idle_timeout);

    // Closes what has been idle too long, and everything to servers that are not in `servers`.
    void sweep(const std::vector<backend_server>& servers);

private:
    using pool_key = std::pair<std::string, std::int64_t>;

    std::unique_ptr<server_channel> take_kept(const backend_server& server);

    absl::Mutex mutex;
    // By id and start of the server; the last one kept is used first.
    std::map<pool_key, std::vector<std::unique_ptr<server_channel>>> idle ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_CHANNEL_POOL_H_
