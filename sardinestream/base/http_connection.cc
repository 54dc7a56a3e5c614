#include "sardinestream/base/http_connection.h"

#include <algorithm>
#include <cerrno>
#include <chrono>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/time/clock.h"

namespace sardinestream {
namespace {

constexpr int no_descriptor = -1;
// Interval at which an idle connection checks whether the server is stopping.
constexpr absl::Duration stop_check_interval = absl::Milliseconds(200);

// Time for a caller to read its answer and to close a connection whose request was not read whole.
constexpr std::chrono::seconds max_linger{2};

// The socket of the connection that this thread serves.
thread_local int served_descriptor = no_descriptor;
// True if that connection is to be closed after the answer in progress.
thread_local bool closes_after_answer = false;

bool is_alive(int descriptor)
{
    char next = 0;
    const ssize_t peeked = recv(descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return peeked > 0 || (peeked < 0 && (errno == EAGAIN || errno == EINTR));
}

void read_address(int (*get_address)(int, sockaddr*, socklen_t*), int descriptor, std::string& ip,
                  int& port)
{
    sockaddr_in found{};
    socklen_t size = sizeof(found);
    if (get_address(descriptor, reinterpret_cast<sockaddr*>(&found), &size) != 0) {
        return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &found.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(found.sin_port);
}

} // namespace

bool caller_has_gone()
{
    return served_descriptor != no_descriptor && !is_alive(served_descriptor);
}

void close_after_answer()
{
    closes_after_answer = true;
}

connection_stream::connection_stream(int connected, absl::Duration read_limit,
                                     absl::Duration write_limit)
    : descriptor(connected), read_timeout(read_limit), write_timeout(write_limit)
{
}

bool connection_stream::wait_for(short events, absl::Duration timeout) const
{
    pollfd polled{this->descriptor, events, 0};
    const int wait_ms = static_cast<int>(absl::ToInt64Milliseconds(timeout));
    int ready = 0;
    do {
        ready = poll(&polled, 1, wait_ms);
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

bool connection_stream::wait_readable(absl::Duration timeout) const
{
    return this->offset < this->end || this->wait_for(POLLIN, timeout);
}

bool connection_stream::is_readable() const
{
    return this->wait_readable(this->read_timeout);
}

bool connection_stream::is_writable() const
{
    return this->wait_for(POLLOUT, this->write_timeout) && is_alive(this->descriptor);
}

ssize_t connection_stream::read(char* bytes, std::size_t size)
{
    if (this->offset == this->end) {
        if (!this->is_readable()) {
            return -1;
        }
        const ssize_t received =
            recv(this->descriptor, this->buffer.data(), this->buffer.size(), 0);
        if (received <= 0) {
            return received;
        }
        this->offset = 0;
        this->end = static_cast<std::size_t>(received);
    }
    const std::size_t taken = std::min(size, this->end - this->offset);
    std::copy_n(this->buffer.data() + this->offset, taken, bytes);
    this->offset += taken;
    return static_cast<ssize_t>(taken);
}

void connection_stream::finish()
{
    shutdown(this->descriptor, SHUT_WR);
    const auto end = std::chrono::steady_clock::now() + max_linger;
    while (true) {
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !this->wait_for(POLLIN, absl::FromChrono(left)) ||
            recv(this->descriptor, this->buffer.data(), this->buffer.size(), 0) <= 0) {
            return;
        }
    }
}

ssize_t connection_stream::write(const char* bytes, std::size_t size)
{
    if (!this->is_writable()) {
        return -1;
    }
    return send(this->descriptor, bytes, size, MSG_NOSIGNAL);
}

void connection_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_address(getpeername, this->descriptor, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_address(getsockname, this->descriptor, ip, port);
}

bool connection_server::process_and_close_socket(socket_t accepted)
{
    served_descriptor = accepted;
    closes_after_answer = false;
    connection_stream stream(accepted, absl::Seconds(this->read_timeout_sec_),
                             absl::Seconds(this->write_timeout_sec_));
    const absl::Duration keep_alive = absl::Seconds(this->keep_alive_timeout_sec_);
    absl::Time idle_until = absl::Now() + keep_alive;
    bool served = true;
    bool closed = false;
    while (served && !closed && this->svr_sock_ != INVALID_SOCKET && absl::Now() < idle_until) {
        if (!stream.wait_readable(stop_check_interval)) {
            continue;
        }
        ++this->open_requests;
        served = this->process_request(stream, false, closed, nullptr);
        --this->open_requests;
        closed = closed || closes_after_answer;
        idle_until = absl::Now() + keep_alive;
    }
    if (closes_after_answer) {
        stream.finish();
    }
    served_descriptor = no_descriptor;
    shutdown(accepted, SHUT_RDWR);
    close(accepted);
    return served;
}

} // namespace sardinestream
