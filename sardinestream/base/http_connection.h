// Serves HTTP connections so that a handler can detect whether its caller has disconnected.
//
// cpp-httplib reports that only while a response is being written. `connection_server` serves each
// connection itself, and a handler calls `caller_has_gone()` on its own thread while it waits.

#ifndef SARDINESTREAM_BASE_HTTP_CONNECTION_H_
#define SARDINESTREAM_BASE_HTTP_CONNECTION_H_

#include <array>
#include <atomic>
#include <string>

#include <httplib.h>

#include "absl/time/time.h"

namespace sardinestream {

// Returns true if the caller of the request that this thread is serving has closed its connection,
// and false on threads that serve no request. Does not block.
[[nodiscard]] bool caller_has_gone();

// Has the connection that this thread serves closed after the answer in progress. For a request
// whose body stays unread: its bytes would be taken for the next request.
void close_after_answer();

// Adapts one accepted socket to the library's stream interface. Used by one thread.
class connection_stream : public httplib::Stream {
public:
    // Does not own `descriptor`.
    connection_stream(int descriptor, absl::Duration read_limit, absl::Duration write_limit);

    // Waits until bytes are available or `timeout` has elapsed.
    [[nodiscard]] bool wait_readable(absl::Duration timeout) const;

    // Ends the connection so that the caller gets all that was written: closing a socket with
    // unread input resets the connection, and what was written last is lost. Discards the caller's
    // bytes until it closes its end, for `max_linger` at most.
    void finish();

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* bytes, std::size_t size) override;
    ssize_t write(const char* bytes, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override { return this->descriptor; }

private:
    [[nodiscard]] bool wait_for(short events, absl::Duration timeout) const;

    const int descriptor;
    const absl::Duration read_timeout;
    const absl::Duration write_timeout;
    // The library reads lines byte by byte. Bytes from `offset` to `end` are buffered and unread.
    std::array<char, 4096> buffer{};
    std::size_t offset = 0;
    std::size_t end = 0;
};

// The library's server, with connections served through `connection_stream`.
class connection_server : public httplib::Server {
public:
    // Returns the number of requests of which a byte has arrived and whose answer has not yet been
    // written whole. Thread-safe.
    [[nodiscard]] int requests() const { return this->open_requests; }

private:
    bool process_and_close_socket(socket_t accepted) override;

    std::atomic<int> open_requests{0};
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_HTTP_CONNECTION_H_
