#include "sardinestream/testing/soak/chaos_proxy.h"

#include <array>
#include <cerrno>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds accept_interval{50};
constexpr milliseconds longest_connect{1000};
// How often a thread that waits looks whether its connection must end.
constexpr int poll_ms = 10;
constexpr std::size_t buffer_bytes = 16384;

acceptor_options make_options()
{
    acceptor_options options;
    options.poll_interval = accept_interval;
    return options;
}

bool wait_for(const tcp_socket& socket, short events)
{
    pollfd polled = {socket.descriptor(), events, 0};
    return ::poll(&polled, 1, poll_ms) > 0;
}

} // namespace

absl::StatusOr<std::unique_ptr<chaos_proxy>> chaos_proxy::start(const address& local,
                                                                const address& server)
{
    absl::StatusOr<tcp_listener> bound = tcp_listener::bind(local);
    if (!bound.ok()) {
        return bound.status();
    }
    return std::unique_ptr<chaos_proxy>(new chaos_proxy(*std::move(bound), server));
}

chaos_proxy::chaos_proxy(tcp_listener bound, address target)
    : server(std::move(target)),
      acceptor(std::move(bound), make_options(),
               [this](tcp_socket client) { this->serve(std::move(client)); })
{
}

chaos_proxy::~chaos_proxy()
{
    this->stopping = true;
}

void chaos_proxy::serve(tcp_socket client)
{
    if (this->trouble == link_trouble::refused) {
        client.abort();
        return;
    }
    const int begun = this->generation;
    const int severed_before = this->severed;
    absl::StatusOr<tcp_socket> connected =
        tcp_socket::connect(this->server, steady_clock::now() + longest_connect, hangup_watch());
    if (!connected.ok()) {
        client.abort();
        return;
    }
    link between;
    between.client = std::move(client);
    between.server = *std::move(connected);
    between.generation = begun;
    between.severed = severed_before;
    std::thread back([this, &between] { this->pump(between, false); });
    this->pump(between, true);
    back.join();
    if (between.broken) {
        between.client.abort();
        between.server.abort();
    }
}

bool chaos_proxy::must_end(const link& between) const
{
    return this->stopping || between.broken || this->generation != between.generation;
}

bool chaos_proxy::is_silent(const link& between, bool to_server) const
{
    const link_trouble now = this->trouble;
    return this->severed != between.severed || now == link_trouble::silent ||
           now == (to_server ? link_trouble::silent_to_server : link_trouble::silent_to_client);
}

bool chaos_proxy::send(const link& between, const tcp_socket& to, const char* bytes,
                       std::size_t length) const
{
    while (length > 0 && !this->must_end(between)) {
        const ssize_t sent = ::send(to.descriptor(), bytes, length, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0) {
            bytes += sent;
            length -= static_cast<std::size_t>(sent);
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return false;
        }
        static_cast<void>(wait_for(to, POLLOUT));
    }
    return length == 0;
}

void chaos_proxy::pump(link& between, bool to_server) const
{
    const tcp_socket& from = to_server ? between.client : between.server;
    const tcp_socket& to = to_server ? between.server : between.client;
    std::array<char, buffer_bytes> buffer{};
    while (!this->must_end(between)) {
        if (this->is_silent(between, to_server)) {
            std::this_thread::sleep_for(milliseconds(poll_ms));
            continue;
        }
        if (!wait_for(from, POLLIN)) {
            continue;
        }
        const ssize_t length =
            ::recv(from.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (length < 0 && (errno == EAGAIN || errno == EINTR)) {
            continue;
        }
        if (length == 0) {
            ::shutdown(to.descriptor(), SHUT_WR);
            return;
        }
        std::this_thread::sleep_for(milliseconds(this->delay_ms));
        if (length < 0 ||
            !this->send(between, to, buffer.data(), static_cast<std::size_t>(length))) {
            break;
        }
    }
    between.broken = true;
}

} // namespace sardinestream::testing
