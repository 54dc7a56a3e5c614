// Sends and receives messages between processes over UDP: one FlatBuffers message per datagram,
// verified before use.
//
//     absl::StatusOr<datagram_socket> socket = datagram_socket::bind({ip, port});
//     socket->send(message, {peer_ip, other_peer_ip});
//     std::unique_ptr<gossip::MessageT> received = socket->receive(deadline);
//
// `send` may be called by several threads at once, `receive` by one thread at a time.

#ifndef SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_
#define SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sardinestream/base/settings.h"
#include "sardinestream/http/socket.h"
#include "sardinestream/peers/gossip_generated.h"

#include "absl/status/statusor.h"
#include "absl/types/span.h"

namespace sardinestream {

class datagram_socket {
public:
    [[nodiscard]] static absl::StatusOr<datagram_socket> bind(const address& local);

    // Sends `message` to each of `ips`, at the port of this socket, which is the same on every
    // machine. Failures are counted, and the message is not resent.
    void send(const gossip::MessageT& message, absl::Span<const std::uint32_t> ips) const;

    // Waits for a message until `deadline`. Returns null if none arrived, or one that is malformed.
    [[nodiscard]] std::unique_ptr<gossip::MessageT> receive(steady_time deadline) const;

private:
    // Owns the descriptor of the UDP socket; nothing specific to TCP in this class is used.
    tcp_socket socket;
    int port = 0;
};

// The interface through which a program sends and receives messages, with the semantics of
// `datagram_socket`. Tests replace it.
struct message_channel {
    std::function<void(const gossip::MessageT& message, absl::Span<const std::uint32_t> ips)> send;
    std::function<std::unique_ptr<gossip::MessageT>(steady_time deadline)> receive;
};

// Opens a channel that owns a new socket bound to `local`.
[[nodiscard]] absl::StatusOr<message_channel> open_message_channel(const address& local);

// Convert an IPv4 address to a number in host byte order, and back. A text that is not an address
// becomes zero.
[[nodiscard]] std::uint32_t ip_to_number(const std::string& ip);
[[nodiscard]] std::string ip_to_string(std::uint32_t number);

// Wraps a message body in the common envelope.
template <typename Body>
[[nodiscard]] gossip::MessageT make_message(Body body)
{
    gossip::MessageT message;
    message.body.Set(std::move(body));
    return message;
}

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_
