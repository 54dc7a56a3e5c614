// A UDP socket for news: whole FlatBuffers messages, checked before use.
//
//     absl::StatusOr<datagram_socket> socket = datagram_socket::bind({ip, port});
//     socket->send(news, {peer_ip, other_peer_ip});
//     std::unique_ptr<news::NewsT> received = socket->receive(deadline);
//
// `send` may be called by several threads at once, `receive` by one.

#ifndef SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_
#define SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sardinestream/base/settings.h"
#include "sardinestream/http/socket.h"
#include "sardinestream/peers/news_generated.h"

#include "absl/status/statusor.h"
#include "absl/types/span.h"

namespace sardinestream {

class datagram_socket {
public:
    [[nodiscard]] static absl::StatusOr<datagram_socket> bind(const address& local);

    // Sends one message to each of these machines, at the port of this socket, which is the same
    // everywhere. A failure is counted; news is never sent again.
    void send(const news::NewsT& message, absl::Span<const std::uint32_t> ips) const;

    // Waits for a message until `deadline`. Null where none came, or one that cannot be read.
    [[nodiscard]] std::unique_ptr<news::NewsT> receive(steady_time deadline) const;

private:
    // Owns the descriptor; the class gives UDP no other meaning.
    tcp_socket socket;
    int port = 0;
};

// How a program sends and receives news, as `datagram_socket` does.
struct message_channel {
    std::function<void(const news::NewsT& message, absl::Span<const std::uint32_t> ips)> send;
    std::function<std::unique_ptr<news::NewsT>(steady_time deadline)> receive;
};

// A channel over a socket of its own.
[[nodiscard]] absl::StatusOr<message_channel> open_message_channel(const address& local);

// An IPv4 address as a number in host order, and back. Zero for a text that is none.
[[nodiscard]] std::uint32_t ip_to_number(const std::string& ip);
[[nodiscard]] std::string ip_to_string(std::uint32_t number);

// Wraps one message body.
template <typename Body>
[[nodiscard]] news::NewsT make_message(Body body)
{
    news::NewsT message;
    message.body.Set(std::move(body));
    return message;
}

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_
