#include "sardinestream/peers/datagram_socket.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream {
namespace {

constexpr std::size_t max_datagram_bytes = 61440;

sockaddr_in to_native(std::uint32_t ip, int port)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(port));
    native.sin_addr.s_addr = htonl(ip);
    return native;
}

} // namespace

std::uint32_t ip_to_number(const std::string& ip)
{
    in_addr parsed{};
    return ::inet_pton(AF_INET, ip.c_str(), &parsed) == 1 ? ntohl(parsed.s_addr) : 0;
}

std::string ip_to_string(std::uint32_t number)
{
    const in_addr native{htonl(number)};
    char text[INET_ADDRSTRLEN];
    return ::inet_ntop(AF_INET, &native, text, sizeof(text));
}

absl::StatusOr<datagram_socket> datagram_socket::bind(const address& local)
{
    datagram_socket made;
    made.socket = tcp_socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in native = to_native(ip_to_number(local.ip), local.port);
    if (!made.socket.is_open() ||
        ::bind(made.socket.descriptor(), reinterpret_cast<const sockaddr*>(&native),
               sizeof(native)) != 0) {
        return make_error(absl::StatusCode::kUnavailable, "bind", local.to_string(),
                          std::strerror(errno));
    }
    made.port = local.port;
    return made;
}

void datagram_socket::send(const gossip::MessageT& message,
                           absl::Span<const std::uint32_t> ips) const
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(gossip::Message::Pack(builder, &message));
    for (const std::uint32_t ip : ips) {
        const sockaddr_in native = to_native(ip, this->port);
        const ssize_t sent = ::sendto(this->socket.descriptor(), builder.GetBufferPointer(),
                                      builder.GetSize(), MSG_DONTWAIT | MSG_NOSIGNAL,
                                      reinterpret_cast<const sockaddr*>(&native), sizeof(native));
        if (sent < 0) {
            count("sardine_news_send_failures_total");
        }
    }
}

std::unique_ptr<gossip::MessageT> datagram_socket::receive(steady_time deadline) const
{
    std::uint8_t bytes[max_datagram_bytes];
    while (true) {
        const ssize_t length =
            ::recv(this->socket.descriptor(), bytes, sizeof(bytes), MSG_DONTWAIT);
        if (length < 0) {
            if (steady_clock::now() >= deadline) {
                return nullptr;
            }
            wait_for_input(this->socket.descriptor(), hangup_watch(), deadline);
            continue;
        }
        flatbuffers::Verifier verifier(bytes, static_cast<std::size_t>(length));
        if (!gossip::VerifyMessageBuffer(verifier)) {
            count("sardine_unreadable_news_total");
            return nullptr;
        }
        return gossip::UnPackMessage(bytes);
    }
}

absl::StatusOr<message_channel> open_message_channel(const address& local)
{
    absl::StatusOr<datagram_socket> bound = datagram_socket::bind(local);
    if (!bound.ok()) {
        return bound.status();
    }
    const auto socket = std::make_shared<datagram_socket>(*std::move(bound));
    return message_channel{
        [socket](const gossip::MessageT& message, absl::Span<const std::uint32_t> ips) {
            socket->send(message, ips);
        },
        [socket](steady_time deadline) { return socket->receive(deadline); }};
}

} // namespace sardinestream
