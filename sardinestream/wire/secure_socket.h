// A TCP connection between two processes of the system, authenticated and encrypted.
//
// TLS 1.3 with a pre-shared key: both ends prove that they hold the fleet's key, and no certificate
// has to be looked after. What this does not reach: a holder of the key can pose as any instance.
//
//     auto context = tls_context::create(key);
//     auto socket = secure_socket::connect(*context, {"10.0.0.1", 7000}, absl::Seconds(1));
//     socket->write(bytes, absl::Seconds(1));
//
// One thread may read while others write. `shut_down` may be called from any thread and makes
// blocked calls return.

#ifndef SARDINESTREAM_WIRE_SECURE_SOCKET_H_
#define SARDINESTREAM_WIRE_SECURE_SOCKET_H_

#include <atomic>
#include <memory>
#include <string>

#include "sardinestream/base/settings.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

struct ssl_st;
struct ssl_ctx_st;

namespace sardinestream::wire {

// The pre-shared key and the OpenSSL state made from it. Thread-safe.
class tls_context {
public:
    // `key` is any text of at least `min_key_bytes` bytes.
    [[nodiscard]] static absl::StatusOr<std::shared_ptr<tls_context>> create(absl::string_view key);

    ~tls_context();
    tls_context(const tls_context&) = delete;
    tls_context& operator=(const tls_context&) = delete;

    [[nodiscard]] ssl_ctx_st* client() const { return this->client_context; }
    [[nodiscard]] ssl_ctx_st* server() const { return this->server_context; }

    static constexpr std::size_t min_key_bytes = 16;

private:
    tls_context() = default;

    ssl_ctx_st* client_context = nullptr;
    ssl_ctx_st* server_context = nullptr;
    // SHA-256 of the configured key: the length that TLS expects.
    std::string psk;
};

// A listening TCP socket. Closed on destruction.
class tcp_listener {
public:
    // Fails when the address is taken: two live processes never share one slot's address.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<tcp_listener>> create(const address& local);

    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    // Blocks for the next connection. Returns a descriptor that the caller owns, or an error after
    // `shut_down`.
    [[nodiscard]] absl::StatusOr<int> accept();

    // Makes `accept` return from now on. Thread-safe.
    void shut_down();

    // The address in force; its port is never zero.
    [[nodiscard]] const address& local() const { return this->local_address; }

private:
    tcp_listener(int listening, address local);

    const int descriptor;
    const address local_address;
    std::atomic<bool> stopped{false};
};

class secure_socket {
public:
    // Dials and completes the TLS handshake within `timeout`.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<secure_socket>>
    connect(const std::shared_ptr<tls_context>& context, const address& remote,
            absl::Duration timeout);

    // Takes over an accepted descriptor and completes the handshake within `timeout`.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<secure_socket>>
    accept(const std::shared_ptr<tls_context>& context, int descriptor, absl::Duration timeout);

    ~secure_socket();
    secure_socket(const secure_socket&) = delete;
    secure_socket& operator=(const secure_socket&) = delete;

    // Writes all of `bytes`, waiting at most `timeout` for a peer that does not read. After an
    // error an unknown part of them may have left.
    [[nodiscard]] absl::Status write(absl::string_view bytes, absl::Duration timeout);

    // Reads exactly `size` bytes into `bytes`, blocking for as long as it takes.
    [[nodiscard]] absl::Status read(char* bytes, std::size_t size);

    // Ends both directions: every blocked and later call fails. Thread-safe.
    void shut_down();

    [[nodiscard]] const std::string& peer() const { return this->peer_name; }

private:
    secure_socket(std::shared_ptr<tls_context> context, int descriptor, ssl_st* session,
                  std::string peer);

    [[nodiscard]] absl::Status handshake(bool accepting, absl::Time deadline);
    // Blocks until the socket is ready for what the TLS layer asked for.
    [[nodiscard]] absl::Status wait_for(int ssl_error, absl::Time deadline, absl::string_view step);

    const std::shared_ptr<tls_context> context;
    const int descriptor;
    const std::string peer_name;
    std::atomic<bool> stopped{false};
    // Writers queue here; the session itself is under `session_mutex`, which is never held while
    // blocked.
    absl::Mutex write_mutex;
    absl::Mutex session_mutex;
    ssl_st* const session ABSL_PT_GUARDED_BY(session_mutex);
};

} // namespace sardinestream::wire

#endif // SARDINESTREAM_WIRE_SECURE_SOCKET_H_
