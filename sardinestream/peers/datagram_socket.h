// A UDP socket for news: whole FlatBuffers messages, checked before use.
//
//     absl::StatusOr<datagram_socket> socket = datagram_socket::bind({ip, port});
//     socket->send(news, {peer_ip, port});
//     std::optional<news::NewsT> received = socket->receive(deadline);
//
// `send` may be called by several threads at once, `receive` by one.

#ifndef SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_
#define SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <memory>
#include <string>

#include "sardinestream/base/settings.h"
#include "sardinestream/http/socket.h"
#include "sardinestream/peers/news_generated.h"

#include "absl/status/statusor.h"

namespace sardinestream {

class datagram_socket {
public:
    [[nodiscard]] static absl::StatusOr<datagram_socket> bind(const address& local);

    // Sends one message. A failure is counted; news is never sent again.
    void send(const news::NewsT& message, const address& peer) const;

    // Waits for a message until `deadline`. Null where none came, or one that cannot be read.
    [[nodiscard]] std::unique_ptr<news::NewsT> receive(steady_time deadline) const;

private:
    // Owns the descriptor; the class gives UDP no other meaning.
    tcp_socket socket;
};

// An IPv4 address as a number in host order, and back. Zero for a text that is none.
[[nodiscard]] std::uint32_t ip_number(const std::string& ip);
[[nodiscard]] std::string ip_text(std::uint32_t number);

// Wraps one message body.
template <typename Body>
[[nodiscard]] news::NewsT make_news(Body body)
{
    news::NewsT message;
    message.body.Set(std::move(body));
    return message;
}

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_DATAGRAM_SOCKET_H_
