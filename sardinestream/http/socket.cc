#include "sardinestream/http/socket.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/base/error.h"

#include "absl/container/inlined_vector.h"
#include "absl/strings/cord.h"

namespace sardinestream {
namespace {

// Maximum number of connections that the kernel queues for a listener.
constexpr int listen_backlog = 1024;
// How long a server may acknowledge nothing, or keep its window full.
constexpr int user_timeout_ms = 4000;
// The kernel's timeout does not tell a full window from a dead peer, so that callers have none: so
// many unanswered retransmissions or window probes (some 3 s) show a dead one.
constexpr int max_unanswered_probes = 4;
constexpr std::chrono::milliseconds answering_check{500};
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;
constexpr std::chrono::milliseconds delivery_poll_interval{5};
// Bodies up to this size are joined with their head.
constexpr std::size_t max_joined_bytes = 64 << 10;
// After this many reads that found bytes waiting, the next one checks whether its caller is there.
constexpr int max_unchecked_reads = 16;
// Received bytes that the kernel keeps for a connection until they are read. They count as memory
// of this process.
constexpr int receive_buffer_bytes = 128 << 10;
// Input is discarded in parts of this size.
constexpr std::size_t discard_bytes = 16 << 10;
constexpr char refused_payload[] = "sardinestream/connection-refused";

absl::Status socket_error(absl::string_view step)
{
    const bool refused = errno == ECONNREFUSED;
    absl::Status error = make_error(absl::StatusCode::kUnavailable, step, "", std::strerror(errno));
    if (refused) {
        error.SetPayload(refused_payload, absl::Cord());
    }
    return error;
}

sockaddr_in to_native(const address& local, bool& valid)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(local.port));
    valid = ::inet_pton(AF_INET, local.ip.c_str(), &native.sin_addr) == 1;
    return native;
}

void set_option(int fd, int level, int name, int value)
{
    ::setsockopt(fd, level, name, &value, sizeof(value));
}

void set_connection_options(int fd)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(fd, SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes);
}

// Waits for `events` on `fd`. Returns kCancelled if the caller disconnects first.
absl::Status wait_for(int fd, short events, steady_time deadline, const hangup_watch& caller,
                      absl::string_view step)
{
    while (true) {
        pollfd polled[2] = {{fd, events, 0}, {caller.descriptor(), POLLRDHUP, 0}};
        const int ready = ::poll(polled, 2, milliseconds_until(deadline));
        if (ready < 0 && errno != EINTR) {
            return socket_error(step);
        }
        if (ready > 0 && polled[1].revents != 0) {
            return make_error(absl::StatusCode::kCancelled, step, "caller", "caller hung up");
        }
        if (ready > 0 && polled[0].revents != 0) {
            return absl::OkStatus();
        }
        if (ready <= 0 && steady_clock::now() >= deadline) {
            return make_error(absl::StatusCode::kDeadlineExceeded, step, "", "timed out");
        }
    }
}

} // namespace

int milliseconds_until(steady_time time)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(time - steady_clock::now());
    constexpr std::int64_t longest_ms = 3'600'000;
    return static_cast<int>(
        std::min<std::int64_t>(std::max<std::int64_t>(left.count(), 0), longest_ms));
}

std::int64_t milliseconds_since(steady_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - time)
        .count();
}

bool hangup_watch::has_hung_up() const
{
    if (this->fd < 0) {
        return false;
    }
    pollfd polled = {this->fd, POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0;
}

tcp_socket::~tcp_socket()
{
    this->close();
}

tcp_socket::tcp_socket(tcp_socket&& other) noexcept : fd(std::exchange(other.fd, -1)) {}

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept
{
    if (this != &other) {
        this->close();
        this->fd = std::exchange(other.fd, -1);
        this->passed_deadline = other.passed_deadline;
        this->late_bytes = other.late_bytes;
    }
    return *this;
}

bool is_connection_refused(const absl::Status& error)
{
    return error.GetPayload(refused_payload).has_value();
}

absl::StatusOr<tcp_socket> tcp_socket::connect(const address& peer, steady_time deadline,
                                               const hangup_watch& caller)
{
    bool valid = false;
    const sockaddr_in native = to_native(peer, valid);
    if (!valid) {
        return make_error(absl::StatusCode::kInvalidArgument, "connect", peer.ip,
                          "not an IPv4 address");
    }
    tcp_socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.is_open()) {
        return socket_error("connect");
    }
    set_connection_options(socket.fd);
    set_option(socket.fd, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
    if (::connect(socket.fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) == 0) {
        return socket;
    }
    if (errno != EINPROGRESS) {
        return socket_error("connect");
    }
    SARDINE_RETURN_IF_ERROR(wait_for(socket.fd, POLLOUT, deadline, caller, "connect"));
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(socket.fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        errno = error;
        return socket_error("connect");
    }
    return socket;
}

std::size_t tcp_socket::readable_until(steady_time deadline, std::size_t wanted)
{
    if (steady_clock::now() < deadline) {
        return wanted;
    }
    if (this->passed_deadline != deadline) {
        int arrived = 0;
        this->passed_deadline = deadline;
        this->late_bytes =
            ::ioctl(this->fd, FIONREAD, &arrived) == 0 ? static_cast<std::size_t>(arrived) : wanted;
    }
    return std::min(wanted, this->late_bytes);
}

absl::Status tcp_socket::check_caller(const hangup_watch& caller)
{
    if (this->unchecked_reads < max_unchecked_reads) {
        ++this->unchecked_reads;
        return absl::OkStatus();
    }
    this->unchecked_reads = 0;
    return caller.has_hung_up()
               ? make_error(absl::StatusCode::kCancelled, "read", "caller", "caller hung up")
               : absl::OkStatus();
}

absl::StatusOr<std::size_t> tcp_socket::read_some(absl::Span<char> buffer, steady_time deadline,
                                                  const hangup_watch& caller)
{
    SARDINE_RETURN_IF_ERROR(this->check_caller(caller));
    while (true) {
        const std::size_t allowed = this->readable_until(deadline, buffer.size());
        // With nothing allowed, looks for the end of the connection or an error only.
        const ssize_t length = ::recv(this->fd, buffer.data(), std::max<std::size_t>(allowed, 1),
                                      allowed == 0 ? MSG_DONTWAIT | MSG_PEEK : MSG_DONTWAIT);
        if (length > 0 && allowed == 0) {
            return make_error(absl::StatusCode::kDeadlineExceeded, "read", "", "timed out");
        }
        if (length >= 0) {
            this->late_bytes -= std::min(this->late_bytes, static_cast<std::size_t>(length));
            return static_cast<std::size_t>(length);
        }
        if (errno != EAGAIN && errno != EINTR) {
            return socket_error("read");
        }
        SARDINE_RETURN_IF_ERROR(wait_for(this->fd, POLLIN, deadline, caller, "read"));
        this->unchecked_reads = 0;
    }
}

bool tcp_socket::is_unanswered() const
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    return ::getsockopt(this->fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
           std::max(info.tcpi_retransmits, info.tcpi_probes) >= max_unanswered_probes;
}

absl::StatusOr<bool> tcp_socket::write(absl::string_view bytes, bool stop_at_answer,
                                       const moving_deadline& deadline, const hangup_watch& caller)
{
    const short events = stop_at_answer ? POLLOUT | POLLIN : POLLOUT;
    while (!bytes.empty()) {
        if (this->is_unanswered()) {
            return make_error(absl::StatusCode::kUnavailable, "write", "", "peer is dead");
        }
        const ssize_t length =
            ::send(this->fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (length > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(length));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return socket_error("write");
        }
        const steady_time until = std::min(deadline(), steady_clock::now() + answering_check);
        absl::Status waited = wait_for(this->fd, events, until, caller, "write");
        if (absl::IsDeadlineExceeded(waited) && steady_clock::now() < deadline()) {
            continue;
        }
        SARDINE_RETURN_IF_ERROR(waited);
        if (stop_at_answer && this->has_input_or_end()) {
            return false;
        }
    }
    return true;
}

absl::Status tcp_socket::write_all(absl::string_view bytes, steady_time deadline,
                                   const hangup_watch& caller)
{
    return this->write(bytes, false, fixed_deadline(deadline), caller).status();
}

absl::StatusOr<bool> tcp_socket::write_until_answer(absl::string_view bytes, steady_time deadline,
                                                    const hangup_watch& caller)
{
    return this->write(bytes, true, fixed_deadline(deadline), caller);
}

absl::StatusOr<bool> tcp_socket::write_parts(std::string head, absl::string_view body,
                                             bool stop_at_answer, const moving_deadline& deadline,
                                             const hangup_watch& caller)
{
    if (body.size() <= max_joined_bytes) {
        return this->write(head.append(body.data(), body.size()), stop_at_answer, deadline, caller);
    }
    absl::StatusOr<bool> written = this->write(head, stop_at_answer, deadline, caller);
    if (!written.ok() || !*written) {
        return written;
    }
    return this->write(body, stop_at_answer, deadline, caller);
}

absl::Status tcp_socket::write_message(std::string head, absl::string_view body,
                                       steady_time deadline, const hangup_watch& caller)
{
    return this->write_parts(std::move(head), body, false, fixed_deadline(deadline), caller)
        .status();
}

absl::StatusOr<bool> tcp_socket::write_message_until_answer(std::string head,
                                                            absl::string_view body,
                                                            const moving_deadline& deadline,
                                                            const hangup_watch& caller)
{
    return this->write_parts(std::move(head), body, true, deadline, caller);
}

bool tcp_socket::has_input_or_end() const
{
    pollfd polled = {this->fd, POLLIN | POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) != 0;
}

bool tcp_socket::has_input() const
{
    char next = 0;
    return ::recv(this->fd, &next, 1, MSG_DONTWAIT | MSG_PEEK) > 0;
}

void tcp_socket::finish_writing()
{
    ::shutdown(this->fd, SHUT_WR);
}

void tcp_socket::close_gracefully(steady_time deadline)
{
    if (!this->is_open()) {
        return;
    }
    this->finish_writing();
    char discarded[discard_bytes];
    while (true) {
        const absl::StatusOr<std::size_t> length =
            this->read_some(absl::MakeSpan(discarded), deadline, hangup_watch());
        if (!length.ok() || *length == 0) {
            break;
        }
    }
    this->close();
}

void tcp_socket::close()
{
    if (this->fd >= 0) {
        ::close(this->fd);
    }
    this->fd = -1;
}

void tcp_socket::set_abort_on_close(bool aborts)
{
    const linger end = {aborts ? 1 : 0, 0};
    ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &end, sizeof(end));
}

void tcp_socket::abort()
{
    this->set_abort_on_close(true);
    this->close();
}

void tcp_socket::abort_when_delivered(steady_time deadline)
{
    int unacknowledged = 0;
    while (::ioctl(this->fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0 &&
           steady_clock::now() < deadline && !hangup_watch(this->fd).has_hung_up()) {
        std::this_thread::sleep_for(delivery_poll_interval);
    }
    this->abort();
}

absl::StatusOr<tcp_listener> tcp_listener::bind(const address& local)
{
    bool valid = false;
    sockaddr_in native = to_native(local, valid);
    if (!valid) {
        return make_error(absl::StatusCode::kInvalidArgument, "bind", local.ip,
                          "not an IPv4 address");
    }
    tcp_listener listener;
    listener.socket = tcp_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int fd = listener.socket.descriptor();
    set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    set_option(fd, SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0 ||
        ::listen(fd, listen_backlog) != 0) {
        return with_origin(socket_error("bind"), "bind", local.to_string());
    }
    socklen_t length = sizeof(native);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&native), &length);
    listener.bound = {local.ip, ntohs(native.sin_port)};
    return listener;
}

void tcp_listener::ignore_new_connections()
{
    // Drops segments with SYN and without ACK; the program sees a segment from its TCP header on.
    constexpr std::uint32_t flags_offset = 13;
    constexpr std::uint32_t whole_segment = 0xffffffff;
    sock_filter code[] = {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
                          BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
                          BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
                          BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, whole_segment)};
    const sock_fprog program = {std::size(code), code};
    ::setsockopt(this->socket.descriptor(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                 sizeof(program));
}

absl::StatusOr<tcp_socket> tcp_listener::accept(steady_time deadline)
{
    while (true) {
        const int fd =
            ::accept4(this->socket.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            set_connection_options(fd);
            return tcp_socket(fd);
        }
        if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
            return socket_error("accept");
        }
        SARDINE_RETURN_IF_ERROR(
            wait_for(this->socket.descriptor(), POLLIN, deadline, hangup_watch(), "accept"));
    }
}

void wait_for_input(int descriptor, const hangup_watch& caller, steady_time deadline)
{
    wait_for_any_input({descriptor}, caller, deadline);
}

void wait_for_any_input(absl::Span<const int> descriptors, const hangup_watch& caller,
                        steady_time deadline)
{
    absl::InlinedVector<pollfd, 4> polled = {{caller.descriptor(), POLLRDHUP, 0}};
    for (const int descriptor : descriptors) {
        polled.push_back({descriptor, POLLIN | POLLRDHUP, 0});
    }
    ::poll(polled.data(), polled.size(), milliseconds_until(deadline));
}

} // namespace sardinestream
