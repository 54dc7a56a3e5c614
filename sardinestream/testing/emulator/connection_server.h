// The listening side of an emulated program: a thread for each connection, and an end as abrupt as
// that of a killed process.
//
//     auto server = connection_server::start(local, [](served_connection& connection) {
//         emulated_request request;
//         while (connection.read(request)) {
//             connection.answer(200, {}, "hello");
//         }
//     });

#ifndef SARDINESTREAM_TESTING_EMULATOR_CONNECTION_SERVER_H_
#define SARDINESTREAM_TESTING_EMULATOR_CONNECTION_SERVER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "sardinestream/http/connection_acceptor.h"
#include "sardinestream/http/message_reader.h"
#include "sardinestream/http/socket.h"
#include "sardinestream/testing/emulator/request_target.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

struct emulated_request {
    http_request_head head;
    request_target target;
    std::string body;

    // The header's value, or the empty text.
    [[nodiscard]] std::string header(absl::string_view name) const;
    // The path without its query.
    [[nodiscard]] const std::string& path() const { return this->target.path; }
    // The value of a query parameter, or the empty text.
    [[nodiscard]] std::string parameter(const std::string& name) const;
};

// One connection of an emulated program. Belongs to the thread that serves it.
class served_connection {
public:
    explicit served_connection(tcp_socket accepted);

    // Reads the next request; false at the end of the connection. One that cannot be parsed is
    // answered with 400, one whose head is too large with 431, and the connection ends.
    [[nodiscard]] bool read(emulated_request& request);

    // Writes a whole answer. Returns whether the peer took it.
    bool answer(int status, const http_headers& headers, absl::string_view body);
    bool write(absl::string_view bytes);

    // Lets time pass; false where the peer hangs up first.
    [[nodiscard]] bool work_for(std::chrono::milliseconds duration);
    [[nodiscard]] bool has_hung_up() const;

    // Nothing more is read or written; the connection ends when its handler returns.
    void finish() { this->finished = true; }
    // The same, with a reset in place of an orderly end.
    void reset();
    [[nodiscard]] bool is_finished() const { return this->finished; }

private:
    void refuse(int status);

    tcp_socket socket;
    message_reader reader;
    bool finished = false;
};

class connection_server {
public:
    using handler = std::function<void(served_connection&)>;

    // `served` is called on the connections' threads and outlives the server.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<connection_server>>
    start(const address& local, handler served);

    // Ends every connection and waits for their threads.
    ~connection_server();
    connection_server(const connection_server&) = delete;
    connection_server& operator=(const connection_server&) = delete;

    [[nodiscard]] const address& local() const { return this->acceptor.local(); }

private:
    connection_server(tcp_listener bound, handler served);

    void serve(tcp_socket accepted);

    const handler served;
    std::atomic<bool> stopping = false;
    absl::Mutex mutex;
    // Descriptors of the open connections; each stays open while it stands here.
    std::set<int> open ABSL_GUARDED_BY(mutex);
    connection_acceptor acceptor;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_CONNECTION_SERVER_H_
