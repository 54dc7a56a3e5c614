#include "sardinestream/base/tcp_probe.h"

#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sardinestream {

bool accepts_tcp(const address& server, absl::Duration timeout)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(server.port));
    if (inet_pton(AF_INET, server.ip.c_str(), &to.sin_addr) != 1) {
        return false;
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return false;
    }
    bool connected = connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0;
    if (!connected && errno == EINPROGRESS) {
        pollfd polled{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        connected = poll(&polled, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout))) == 1 &&
                    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    close(descriptor);
    return connected;
}

} // namespace sardinestream
