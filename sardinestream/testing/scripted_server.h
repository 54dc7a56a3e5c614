// A server on the loopback whose every connection runs a script given by the test: it reads whole
// requests and writes any bytes it likes, or resets the connection.
//
//     scripted_server server([](scripted_connection& connection) {
//         while (connection.read_request()) {
//             connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
//         }
//     });

#ifndef SARDINESTREAM_TESTING_SCRIPTED_SERVER_H_
#define SARDINESTREAM_TESTING_SCRIPTED_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/http/message_reader.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

class scripted_connection {
public:
    explicit scripted_connection(tcp_socket accepted);

    // Reads the next request; false at the end of the connection.
    [[nodiscard]] bool read_request();
    void write(absl::string_view bytes);
    // Ends the connection with a reset instead of an orderly end.
    void reset();
    // Waits until the peer has ended the connection; false after `longest`.
    [[nodiscard]] bool wait_for_end(std::chrono::milliseconds longest);

    // The last request.
    http_request_head head;
    std::string body;
    // Position of this connection among all of the server, from zero.
    int number = 0;

private:
    tcp_socket socket;
    message_reader reader;
};

class scripted_server {
public:
    using script = std::function<void(scripted_connection&)>;

    // `ip` is a loopback address.
    explicit scripted_server(script played, const std::string& ip = "127.0.0.1");
    // Waits for the scripts that run.
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] address local() const { return this->listener->local(); }
    [[nodiscard]] int connections() const { return this->accepted; }

private:
    void accept_connections();

    const script played;
    std::unique_ptr<tcp_listener> listener;
    std::atomic<bool> stopping = false;
    std::atomic<int> accepted = 0;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

} // namespace sardinestream

#endif // SARDINESTREAM_TESTING_SCRIPTED_SERVER_H_
