// One proxied connection: two directions, each read by a thread of its own, each message subject to
// the proxy's rules. Used by fault_proxy alone.
//
// `relay` holds what HTTP and frames share; `http_relay` and `wire_relay` cut the byte streams into
// messages.

#ifndef SARDINESTREAM_TESTING_RELAY_H_
#define SARDINESTREAM_TESTING_RELAY_H_

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "sardinestream/testing/fault_proxy.h"

namespace sardinestream::testing {

// Writes each text a steady delay after it was handed over, in order.
class delayed_writer {
public:
    using writer = std::function<bool(absl::string_view)>;

    delayed_writer(absl::Duration one_way_delay, writer write_now);
    ~delayed_writer();
    delayed_writer(const delayed_writer&) = delete;
    delayed_writer& operator=(const delayed_writer&) = delete;

    // Returns false once a write has failed.
    bool write(std::string text);

    // Returns once everything has been written, or a write has failed.
    void drain();

private:
    void run();

    const absl::Duration delay;
    const writer write_now;
    absl::Mutex mutex;
    std::deque<std::pair<absl::Time, std::string>> due ABSL_GUARDED_BY(mutex);
    bool writing ABSL_GUARDED_BY(mutex) = false;
    bool failed ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread; // not running without a delay
};

class relay {
public:
    explicit relay(fault_proxy& owner) : proxy(owner) {}
    virtual ~relay() = default;
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    // Relays both directions until the connection ends.
    void run();

    // Ends the connection. Thread-safe.
    virtual void cut() = 0;

    // True where this is a link of frames from that client and heartbeats pass both ways.
    [[nodiscard]] virtual bool is_link_from(absl::string_view client_id) const = 0;

    // True where bytes were swallowed: the connection cannot go on.
    [[nodiscard]] bool lost_bytes() const { return this->lost; }

protected:
    virtual void relay_to_server() = 0;
    virtual void relay_to_client() = 0;

    // Passes one message on with `write`, subject to the rules. `exchange` tells an answer from
    // those of other requests on the connection. Returns false when the connection has to end.
    [[nodiscard]] bool pass(const message_info& message, std::uint64_t exchange,
                            const std::function<bool()>& write);

private:
    // Ends the connection once the link no longer swallows.
    void end();
    // Returns false when the connection has to end.
    [[nodiscard]] bool apply(const armed_rule& matched, const message_info& message,
                             std::uint64_t exchange);
    [[nodiscard]] bool is_lost_answer(const message_info& message, std::uint64_t exchange);

    fault_proxy& proxy;
    std::atomic<bool> lost{false};
    absl::Mutex mutex;
    // The exchange whose answer is to be lost, and the way the answer goes.
    std::map<std::uint64_t, toward> lost_answers ABSL_GUARDED_BY(mutex);
};

// Relays plain HTTP/1.1. Takes over both descriptors.
[[nodiscard]] std::unique_ptr<relay> make_http_relay(fault_proxy& owner, int client, int server,
                                                     absl::Duration delay);

// Relays frames.
[[nodiscard]] std::unique_ptr<relay> make_wire_relay(fault_proxy& owner,
                                                     std::unique_ptr<wire::secure_socket> client,
                                                     std::unique_ptr<wire::secure_socket> server,
                                                     absl::Duration delay);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_RELAY_H_
