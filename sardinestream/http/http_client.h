// One request and its whole answer over a connection of its own or a kept one: for calls of the
// process itself (store, engine, peers), not for requests that are passed on.
//
// Not thread-safe: one client belongs to one thread.

#ifndef SARDINESTREAM_HTTP_HTTP_CLIENT_H_
#define SARDINESTREAM_HTTP_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "sardinestream/http/message.h"
#include "sardinestream/http/message_reader.h"
#include "sardinestream/http/socket.h"

#include "absl/status/statusor.h"

namespace sardinestream {

struct http_answer {
    int status = 0;
    http_headers headers;
    std::string body;
};

class http_client {
public:
    explicit http_client(address server);

    // Sends one request. The connection is kept for the next where the server allows it. An error
    // leaves open whether the server carried the request out, unless its step is "connect".
    [[nodiscard]] absl::StatusOr<http_answer> call(absl::string_view method,
                                                   absl::string_view target,
                                                   absl::string_view json_body,
                                                   steady_time deadline);

    // Drops the kept connection.
    void reset();

private:
    absl::Status ensure_connected(steady_time deadline);
    absl::StatusOr<http_answer> exchange(absl::string_view method, absl::string_view target,
                                         absl::string_view json_body, steady_time deadline);

    const address peer;
    tcp_socket socket;
    std::unique_ptr<message_reader> reader;
};

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_HTTP_CLIENT_H_
