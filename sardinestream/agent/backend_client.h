// HTTP towards the one backend server beside this agent.
//
// Owns the connections to it and the knowledge whether any byte of a request was handed over, on
// which every `not_run` rests. It never retries.

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
    cancelled, // given up on at our side; the server may have run the request
    timeout,   // no answer before the deadline; the server may have run the request
};

struct backend_request {
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    absl::Time deadline;
    // Uses a connection of its own, so that a refused connection proves that nothing was sent.
    bool fresh_connection = false;
};

struct backend_answer {
    backend_outcome outcome = backend_outcome::lost;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string message;
};

// Receives the answer's bytes as they come; returns false to give up.
using byte_receiver = std::function<bool(absl::string_view)>;
// Called with a function that ends the call from any thread, before the call starts, and with an
// empty one when it has ended.
using stop_registrar = std::function<void(std::function<void()> stop)>;

// Thread-safe.
class backend_client {
public:
    explicit backend_client(address server);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    // Runs one request. With `on_bytes`, a 200 answer's body goes there and not into the result.
    // `was_cancelled` is asked after a failure and before the connection is used again.
    [[nodiscard]] backend_answer call(const backend_request& request, const byte_receiver& on_bytes,
                                      const stop_registrar& register_stop,
                                      const std::function<bool()>& was_cancelled);

    // True where the server accepts connections now.
    [[nodiscard]] bool accepts_connections() const;

    // True where the server answers an HTTP request now, whatever it says.
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
