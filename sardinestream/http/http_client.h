// Sends HTTP requests to one server, one at a time, and reads each response completely.
//
// It serves the process's own calls (to the store, engines and peers), not the requests that are
// forwarded for callers. The connection is reused where possible. Not thread-safe: each client
// belongs to one thread. The answers that the clients of a process hold share one limit of memory,
// until their `http_answer` is destroyed.

#ifndef SARDINESTREAM_HTTP_HTTP_CLIENT_H_
#define SARDINESTREAM_HTTP_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "sardinestream/http/message.h"
#include "sardinestream/http/message_memory.h"
#include "sardinestream/http/message_reader.h"
#include "sardinestream/http/socket.h"

#include "absl/status/statusor.h"

namespace sardinestream {

struct http_answer {
    int status = 0;
    http_headers headers;
    std::string body;
    // What is reserved for `body` and what is made of it; unset in answers that this process sends.
    std::shared_ptr<message_memory_reservation> memory = nullptr;

    // Reserves memory for the parsed form of the body, which is JSON. Returns false if there is
    // none: the body must not be parsed then.
    [[nodiscard]] bool reserve_parsed() const;
};

// Returns the memory that the answers to all calls of this process share.
[[nodiscard]] message_memory& own_call_memory();

class http_client {
public:
    explicit http_client(address server);

    // Sends a request and returns the response, whatever its status code. The connection is kept
    // for the next call if the server allows it. After an error, the server may or may not have
    // executed the request, unless the step of the error is "connect": then it has not. An answer
    // that is too large, or for which there is no memory, is an error, too.
    [[nodiscard]] absl::StatusOr<http_answer> call(absl::string_view method,
                                                   absl::string_view target,
                                                   absl::string_view json_body,
                                                   steady_time deadline);

    // Closes the kept connection, if any.
    void reset();

private:
    absl::Status ensure_connected(steady_time deadline);
    // Skips interim responses.
    absl::StatusOr<http_response_head> read_final_head(steady_time deadline);
    absl::StatusOr<http_answer> exchange(absl::string_view method, absl::string_view target,
                                         absl::string_view json_body, steady_time deadline);

    const address peer;
    tcp_socket socket;
    std::unique_ptr<message_reader> reader;
};

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_HTTP_CLIENT_H_
