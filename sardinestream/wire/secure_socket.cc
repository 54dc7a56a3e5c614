#include "sardinestream/wire/secure_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::wire {
namespace {

constexpr char psk_identity[] = "sardinestream";
constexpr int listen_backlog = 1024;
// Interval at which a blocked call checks whether the socket has been shut down.
constexpr std::chrono::milliseconds shutdown_check_interval{500};

// Returns the index of the `tls_context` key in the extra data of an OpenSSL context.
int psk_index()
{
    static const int index = SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
    return index;
}

unsigned int copy_psk(SSL* session, unsigned char* psk, unsigned int max_psk_bytes)
{
    const auto* key =
        static_cast<const std::string*>(SSL_CTX_get_ex_data(SSL_get_SSL_CTX(session), psk_index()));
    if (key->size() > max_psk_bytes) {
        return 0;
    }
    std::copy(key->begin(), key->end(), psk);
    return static_cast<unsigned int>(key->size());
}

unsigned int client_psk(SSL* session, const char* /*hint*/, char* identity,
                        unsigned int max_identity_bytes, unsigned char* psk,
                        unsigned int max_psk_bytes)
{
    std::strncpy(identity, psk_identity, max_identity_bytes);
    return copy_psk(session, psk, max_psk_bytes);
}

unsigned int server_psk(SSL* session, const char* /*identity*/, unsigned char* psk,
                        unsigned int max_psk_bytes)
{
    return copy_psk(session, psk, max_psk_bytes);
}

SSL_CTX* make_context(const SSL_METHOD* method, std::string* psk)
{
    SSL_CTX* context = SSL_CTX_new(method);
    SSL_CTX_set_min_proto_version(context, TLS1_3_VERSION);
    // OpenSSL's PSK callbacks support only cipher suites whose hash is SHA-256.
    SSL_CTX_set_ciphersuites(context, "TLS_AES_128_GCM_SHA256");
    SSL_CTX_set_options(context, SSL_OP_NO_TICKET);
    SSL_CTX_set_num_tickets(context, 0);
    SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_ex_data(context, psk_index(), psk);
    return context;
}

absl::Status system_error(absl::string_view step, absl::string_view peer)
{
    return make_error(absl::StatusCode::kUnavailable, step, peer, std::strerror(errno));
}

void set_non_blocking(int descriptor)
{
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

absl::StatusOr<sockaddr_in> to_socket_address(const address& from)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(from.port));
    if (inet_pton(AF_INET, from.ip.c_str(), &to.sin_addr) != 1) {
        return make_error(absl::StatusCode::kInvalidArgument, "parse_address", from.ip,
                          "not an IPv4 address");
    }
    return to;
}

using steady_clock = std::chrono::steady_clock;

steady_clock::time_point after(absl::Duration timeout)
{
    return steady_clock::now() + absl::ToChronoNanoseconds(timeout);
}

int milliseconds_until(steady_clock::time_point deadline)
{
    const auto left = std::clamp<steady_clock::duration>(
        deadline - steady_clock::now(), steady_clock::duration::zero(), shutdown_check_interval);
    return static_cast<int>(std::chrono::floor<std::chrono::milliseconds>(left).count()) + 1;
}

// Completes a non-blocking connect.
absl::Status finish_connect(int descriptor, steady_clock::time_point deadline,
                            absl::string_view peer)
{
    while (steady_clock::now() < deadline) {
        pollfd polled{descriptor, POLLOUT, 0};
        if (poll(&polled, 1, milliseconds_until(deadline)) <= 0) {
            continue;
        }
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        errno = error;
        return error == 0 ? absl::OkStatus() : system_error("connect", peer);
    }
    return make_error(absl::StatusCode::kDeadlineExceeded, "connect", peer, "timeout");
}

} // namespace

absl::StatusOr<std::shared_ptr<tls_context>> tls_context::create(absl::string_view key)
{
    if (key.size() < min_key_bytes) {
        return make_error(absl::StatusCode::kInvalidArgument, "create_tls_context", "",
                          absl::StrCat("the key has ", key.size(), " bytes, at least ",
                                       min_key_bytes, " are required"));
    }
    // A write to a closed connection must return an error, not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::shared_ptr<tls_context> made(new tls_context());
    made->psk = absl::HexStringToBytes(sha256_hex(key));
    made->client_context = make_context(TLS_client_method(), &made->psk);
    made->server_context = make_context(TLS_server_method(), &made->psk);
    SSL_CTX_set_psk_client_callback(made->client_context, client_psk);
    SSL_CTX_set_psk_server_callback(made->server_context, server_psk);
    return made;
}

tls_context::~tls_context()
{
    SSL_CTX_free(this->client_context);
    SSL_CTX_free(this->server_context);
}

absl::StatusOr<std::unique_ptr<tcp_listener>> tcp_listener::create(const address& local)
{
    absl::StatusOr<sockaddr_in> wanted = to_socket_address(local);
    if (!wanted.ok()) {
        return wanted.status();
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    // Allows bind while closed connections are in TIME_WAIT; a live listener still makes it fail.
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&*wanted), sizeof(*wanted)) != 0 ||
        listen(descriptor, listen_backlog) != 0) {
        absl::Status status = system_error("listen", local.to_string());
        close(descriptor);
        return status;
    }
    sockaddr_in actual{};
    socklen_t size = sizeof(actual);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&actual), &size);
    return std::unique_ptr<tcp_listener>(
        new tcp_listener(descriptor, address{local.ip, ntohs(actual.sin_port)}));
}

tcp_listener::tcp_listener(int listening, address local)
    : descriptor(listening), local_address(std::move(local))
{
}

tcp_listener::~tcp_listener()
{
    close(this->descriptor);
}

absl::StatusOr<int> tcp_listener::accept()
{
    while (!this->stopped) {
        const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0) {
            return accepted;
        }
        if (errno == EMFILE || errno == ENFILE) {
            // Out of descriptors: leave the connection in the backlog until some are free.
            poll(nullptr, 0, 10);
        }
        else if (errno != EINTR && errno != ECONNABORTED) {
            break;
        }
    }
    return make_error(absl::StatusCode::kCancelled, "accept", this->local_address.to_string(),
                      "listener was shut down");
}

void tcp_listener::shut_down()
{
    this->stopped = true;
    shutdown(this->descriptor, SHUT_RDWR);
}

secure_socket::secure_socket(std::shared_ptr<tls_context> tls, int socket, SSL* ssl,
                             std::string peer)
    : context(std::move(tls)), descriptor(socket), peer_name(std::move(peer)), session(ssl)
{
}

secure_socket::~secure_socket()
{
    SSL_free(this->session);
    close(this->descriptor);
}

absl::StatusOr<std::unique_ptr<secure_socket>>
secure_socket::connect(const std::shared_ptr<tls_context>& context, const address& remote,
                       absl::Duration timeout)
{
    const steady_clock::time_point deadline = after(timeout);
    absl::StatusOr<sockaddr_in> to = to_socket_address(remote);
    if (!to.ok()) {
        return to.status();
    }
    const std::string peer = remote.to_string();
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return system_error("connect", peer);
    }
    set_non_blocking(descriptor);
    SSL* session = SSL_new(context->client());
    SSL_set_fd(session, descriptor);
    std::unique_ptr<secure_socket> made(new secure_socket(context, descriptor, session, peer));
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&*to), sizeof(*to)) != 0) {
        if (errno != EINPROGRESS) {
            return system_error("connect", peer);
        }
        SARDINE_RETURN_IF_ERROR(finish_connect(descriptor, deadline, peer));
    }
    SARDINE_RETURN_IF_ERROR(made->handshake(false, deadline));
    return made;
}

absl::StatusOr<std::unique_ptr<secure_socket>>
secure_socket::accept(const std::shared_ptr<tls_context>& context, int descriptor,
                      absl::Duration timeout)
{
    sockaddr_in remote{};
    socklen_t size = sizeof(remote);
    getpeername(descriptor, reinterpret_cast<sockaddr*>(&remote), &size);
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &remote.sin_addr, ip.data(), ip.size());
    set_non_blocking(descriptor);
    SSL* session = SSL_new(context->server());
    SSL_set_fd(session, descriptor);
    std::unique_ptr<secure_socket> made(new secure_socket(
        context, descriptor, session, absl::StrCat(ip.data(), ":", ntohs(remote.sin_port))));
    SARDINE_RETURN_IF_ERROR(made->handshake(true, after(timeout)));
    return made;
}

absl::Status secure_socket::handshake(bool accepting, steady_clock::time_point deadline)
{
    while (true) {
        int ssl_error = 0;
        {
            const absl::MutexLock lock(&this->session_mutex);
            ERR_clear_error();
            const int done = accepting ? SSL_accept(this->session) : SSL_connect(this->session);
            if (done == 1) {
                return absl::OkStatus();
            }
            ssl_error = SSL_get_error(this->session, done);
        }
        SARDINE_RETURN_IF_ERROR(this->wait_for(ssl_error, deadline, "handshake"));
    }
}

absl::Status secure_socket::wait_for(int ssl_error, steady_clock::time_point deadline,
                                     absl::string_view step)
{
    if (ssl_error != SSL_ERROR_WANT_READ && ssl_error != SSL_ERROR_WANT_WRITE) {
        return make_error(absl::StatusCode::kUnavailable, step, this->peer_name,
                          "connection lost or peer not authenticated");
    }
    const short events = ssl_error == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT;
    while (!this->stopped) {
        if (steady_clock::now() >= deadline) {
            return make_error(absl::StatusCode::kDeadlineExceeded, step, this->peer_name,
                              "timeout");
        }
        pollfd polled{this->descriptor, events, 0};
        if (poll(&polled, 1, milliseconds_until(deadline)) > 0) {
            return absl::OkStatus();
        }
    }
    return make_error(absl::StatusCode::kCancelled, step, this->peer_name, "shut down");
}

absl::Status secure_socket::write(absl::string_view bytes, absl::Duration timeout)
{
    const absl::MutexLock queue(&this->write_mutex);
    if (this->writing_finished) {
        return make_error(absl::StatusCode::kFailedPrecondition, "write", this->peer_name,
                          "this end has finished writing");
    }
    const steady_clock::time_point deadline = after(timeout);
    while (!bytes.empty()) {
        int ssl_error = 0;
        {
            const absl::MutexLock lock(&this->session_mutex);
            ERR_clear_error();
            std::size_t written = 0;
            const int done = SSL_write_ex(this->session, bytes.data(), bytes.size(), &written);
            if (done == 1) {
                bytes.remove_prefix(written);
                continue;
            }
            ssl_error = SSL_get_error(this->session, done);
        }
        SARDINE_RETURN_IF_ERROR(this->wait_for(ssl_error, deadline, "write"));
    }
    return absl::OkStatus();
}

absl::Status secure_socket::read(char* bytes, std::size_t size)
{
    while (size > 0) {
        int ssl_error = 0;
        {
            const absl::MutexLock lock(&this->session_mutex);
            ERR_clear_error();
            std::size_t received = 0;
            const int done = SSL_read_ex(this->session, bytes, size, &received);
            if (done == 1) {
                bytes += received;
                size -= received;
                continue;
            }
            ssl_error = SSL_get_error(this->session, done);
        }
        SARDINE_RETURN_IF_ERROR(this->wait_for(ssl_error, steady_clock::time_point::max(), "read"));
    }
    return absl::OkStatus();
}

void secure_socket::finish_writing()
{
    const absl::MutexLock queue(&this->write_mutex);
    this->writing_finished = true;
    shutdown(this->descriptor, SHUT_WR);
}

void secure_socket::shut_down()
{
    this->stopped = true;
    shutdown(this->descriptor, SHUT_RDWR);
}

} // namespace sardinestream::wire
