#include "sardinestream/testing/delay_relay.h"

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/base/error.h"
#include "sardinestream/testing/relay.h"

namespace sardinestream::testing {
namespace {

constexpr int backlog = 64;
constexpr std::size_t buffer_bytes = 64U << 10;

sockaddr_in to_sockaddr(const address& at)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &raw.sin_addr);
    return raw;
}

void disable_delay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool send_all(int to, absl::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

} // namespace

absl::StatusOr<std::unique_ptr<delay_relay>> delay_relay::create(address server,
                                                                 absl::Duration one_way_delay)
{
    std::unique_ptr<delay_relay> made(new delay_relay(std::move(server), one_way_delay));
    SARDINE_RETURN_IF_ERROR(made->listen());
    made->accepting = std::thread([raw = made.get()] { raw->accept_connections(); });
    return made;
}

delay_relay::~delay_relay()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        for (int socket : this->open) {
            shutdown(socket, SHUT_RDWR);
        }
    }
    shutdown(this->listener, SHUT_RDWR);
    if (this->accepting.joinable()) {
        this->accepting.join();
    }
    this->connections.wait_until_empty();
    close(this->listener);
}

absl::Status delay_relay::listen()
{
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw = to_sockaddr({"127.0.0.1", 0});
    socklen_t size = sizeof raw;
    auto* generic = reinterpret_cast<sockaddr*>(&raw);
    if (bind(this->listener, generic, size) != 0 || ::listen(this->listener, backlog) != 0 ||
        getsockname(this->listener, generic, &size) != 0) {
        return make_error(absl::StatusCode::kUnavailable, "listen", "delay_relay", "");
    }
    this->listening_at = {"127.0.0.1", ntohs(raw.sin_port)};
    return absl::OkStatus();
}

void delay_relay::accept_connections()
{
    while (true) {
        const int client = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        if (!this->connections.spawn([this, client] { this->relay(client); })) {
            close(client);
        }
    }
}

void delay_relay::relay(int client)
{
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw = to_sockaddr(this->remote);
    disable_delay(client);
    disable_delay(server);
    bool usable = connect(server, reinterpret_cast<sockaddr*>(&raw), sizeof raw) == 0;
    {
        const absl::MutexLock lock(&this->mutex);
        usable = usable && !this->stopping;
        this->open.insert({client, server});
    }
    if (usable) {
        std::thread back([this, client, server] { this->copy(server, client); });
        this->copy(client, server);
        back.join();
    }
    const absl::MutexLock lock(&this->mutex);
    this->open.erase(client);
    this->open.erase(server);
    close(client);
    close(server);
}

void delay_relay::copy(int from, int to) const
{
    delayed_writer writer(this->delay,
                          [to](absl::string_view bytes) { return send_all(to, bytes); });
    std::array<char, buffer_bytes> buffer{};
    while (true) {
        const ssize_t got = recv(from, buffer.data(), buffer.size(), 0);
        if (got <= 0) {
            break;
        }
        if (this->swallowing) {
            continue;
        }
        if (!writer.write(std::string(buffer.data(), static_cast<std::size_t>(got)))) {
            break;
        }
    }
    writer.drain();
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
}

} // namespace sardinestream::testing
