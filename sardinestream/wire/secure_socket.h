// Provides an authenticated and encrypted TCP connection between two processes of the system.
//
// Uses TLS 1.3 with a pre-shared key: both ends prove that they hold the key that all instances
// share, and no certificates have to be managed. Limitation: a holder of the key can impersonate
// any instance.
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
#include <chrono>
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

// Holds the pre-shared key and the OpenSSL contexts that use it. Thread-safe.
class tls_context {
public:
    // Fails with `kInvalidArgument` if `key` is shorter than `min_key_bytes`; any content is
    // allowed.
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
    // SHA-256 of the configured key, which has the length that TLS expects.
    std::string psk;
};

// A listening TCP socket. Closed on destruction.
class tcp_listener {
public:
    // Fails if the address is in use, so that two live processes never share one slot's address.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<tcp_listener>> create(const address& local);

    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    // Blocks for the next connection. Returns a descriptor that the caller owns, or `kCancelled`
    // after `shut_down` and after any other failure to accept. Interrupted calls, aborted
    // connections and a lack of free descriptors are not failures: it tries again.
    [[nodiscard]] absl::StatusOr<int> accept();

    // Makes blocked and later calls of `accept` return. Thread-safe.
    void shut_down();

    // Returns the bound address; its port is never zero.
    [[nodiscard]] const address& local() const { return this->local_address; }

private:
    tcp_listener(int listening, address local);

    const int descriptor;
    const address local_address;
    std::atomic<bool> stopped{false};
};

class secure_socket {
public:
    // Connects and completes the TLS handshake within `timeout`.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<secure_socket>>
    connect(const std::shared_ptr<tls_context>& context, const address& remote,
            absl::Duration timeout);

    // Takes ownership of an accepted descriptor and completes the handshake within `timeout`.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<secure_socket>>
    accept(const std::shared_ptr<tls_context>& context, int descriptor, absl::Duration timeout);

    ~secure_socket();
    secure_socket(const secure_socket&) = delete;
    secure_socket& operator=(const secure_socket&) = delete;

    // Writes all of `bytes`, waiting at most `timeout` for a peer that does not read. Fails with
    // `kFailedPrecondition` after `finish_writing`, having sent nothing; after any other error, an
    // unknown part of them may have been sent.
    [[nodiscard]] absl::Status write(absl::string_view bytes, absl::Duration timeout);

    // Reads exactly `size` bytes into `bytes`, blocking without a time limit.
    [[nodiscard]] absl::Status read(char* bytes, std::size_t size);

    // Ends this end's direction after the writes in progress. The peer reads all that was written
    // and then the end of the connection. Later writes fail. Thread-safe.
    void finish_writing();

    // Shuts down both directions, which makes blocked and later calls fail. Thread-safe.
    void shut_down();

    [[nodiscard]] const std::string& peer() const { return this->peer_name; }

private:
    secure_socket(std::shared_ptr<tls_context> context, int descriptor, ssl_st* session,
                  std::string peer);

    [[nodiscard]] absl::Status handshake(bool accepting,
                                         std::chrono::steady_clock::time_point deadline);
    // Blocks until the socket is ready for the operation that `ssl_error` asks for.
    [[nodiscard]] absl::Status
    wait_for(int ssl_error, std::chrono::steady_clock::time_point deadline, absl::string_view step);

    const std::shared_ptr<tls_context> context;
    const int descriptor;
    const std::string peer_name;
    std::atomic<bool> stopped{false};
    // Serializes writers. `session_mutex` protects the session itself and is never held while a
    // thread waits for the socket.
    absl::Mutex write_mutex;
    bool writing_finished ABSL_GUARDED_BY(write_mutex) = false;
    absl::Mutex session_mutex;
    ssl_st* const session ABSL_PT_GUARDED_BY(session_mutex);
};

} // namespace sardinestream::wire

#endif // SARDINESTREAM_WIRE_SECURE_SOCKET_H_
