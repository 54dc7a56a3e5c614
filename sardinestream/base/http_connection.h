// The server side of one HTTP connection, for handlers that must know whether their caller is still
// there.
//
// cpp-httplib tells that only while an answer is being written. `connection_server` serves each
// connection itself, and a handler asks `caller_has_gone()` on its own thread while it waits.

#ifndef SARDINESTREAM_BASE_HTTP_CONNECTION_H_
#define SARDINESTREAM_BASE_HTTP_CONNECTION_H_

#include <array>
#include <string>

#include <httplib.h>

#include "absl/time/time.h"

namespace sardinestream {

// True where the caller of the request that this thread is serving has closed its connection. False
// on threads that serve none. Does not block.
[[nodiscard]] bool caller_has_gone();

// Bytes of one accepted socket, as the library reads and writes them. Used by one thread.
class connection_stream : public httplib::Stream {
public:
    // Does not own `descriptor`.
    connection_stream(int descriptor, absl::Duration read_limit, absl::Duration write_limit);

    // Waits until bytes have come or `timeout` is over.
    [[nodiscard]] bool wait_readable(absl::Duration timeout) const;

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
    // The library reads lines byte by byte: bytes wait here between `offset` and `end`.
    std::array<char, 4096> buffer{};
    std::size_t offset = 0;
    std::size_t end = 0;
};

// The library's server with connections served by `connection_stream`.
class connection_server : public httplib::Server {
private:
    bool process_and_close_socket(socket_t accepted) override;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_HTTP_CONNECTION_H_
