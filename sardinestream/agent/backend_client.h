// HTTP client for the one backend server that this agent serves.
//
// Owns the connections to the server and tracks whether any byte of a request was handed to it;
// every `not_run` outcome is based on this. It never retries.

#ifndef SARDINESTREAM_AGENT_BACKEND_CLIENT_H_
#define SARDINESTREAM_AGENT_BACKEND_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sardinestream/base/settings.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace httplib {
class Client;
} // namespace httplib

namespace sardinestream::agent {

enum class backend_outcome : std::uint8_t {
    complete,
    not_sent,  // no byte was handed to the server
    lost,      // the connection broke; the server may have run the request
    cancelled, // cancelled by this agent; the server may have run the request
    timeout,   // no response before the deadline; the server may have run the request
};

struct backend_request {
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    absl::Time deadline;
    // Uses a new connection, so that a refused connection proves that nothing was sent.
    bool fresh_connection = false;
};

struct backend_answer {
    backend_outcome outcome = backend_outcome::lost;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string message;
};

// Receives the bytes of the response body as they arrive; returns false to cancel the call.
using byte_receiver = std::function<bool(absl::string_view)>;
// Called before the call starts with a function that stops the call from any thread, and after the
// call has ended with an empty function.
using stop_registrar = std::function<void(std::function<void()> stop)>;

// Thread-safe.
class backend_client {
public:
    explicit backend_client(address server);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    // Sends one request and blocks until it ends. If `on_bytes` is set, the body of a 200 response
    // is passed to it instead of being stored in the result. `was_cancelled` is called once the
    // request has ended, to classify a failure and before the connection is reused.
    [[nodiscard]] backend_answer call(const backend_request& request, const byte_receiver& on_bytes,
                                      const stop_registrar& register_stop,
                                      const std::function<bool()>& was_cancelled);

    // Returns true if the server accepts TCP connections now.
    [[nodiscard]] bool accepts_connections() const;

    // Returns true if the server responds to an HTTP request now, whatever the status.
    [[nodiscard]] bool is_responding() const;

    [[nodiscard]] const address& server() const { return this->server_address; }

private:
    [[nodiscard]] std::shared_ptr<httplib::Client> acquire_connection(bool fresh);
    void return_connection(std::shared_ptr<httplib::Client> connection);

    const address server_address;
    absl::Mutex mutex;
    std::vector<std::shared_ptr<httplib::Client>> idle ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_BACKEND_CLIENT_H_
