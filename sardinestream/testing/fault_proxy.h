// A TCP proxy on one link that injects faults at exact messages.
//
//     auto proxy = fault_proxy::create({.server = agent_address, .tls = fleet_tls});
//     auto rule = (*proxy)->add({.at = frame_pattern(wire::frame_type::request_open, "order-7"),
//                                .fault = fault_kind::lose_answer});
//     ... send order-7 through (*proxy)->local() ...
//     rule->wait_until_fired();
//     (*proxy)->heal();
//
// HTTP links are passed through as they are; the proxy reads method, path and the events of a
// streamed answer. Links between the system's own processes are recognised by `tls`: the proxy
// holds the fleet's key, so that it can read the frame headers.
//
// Owns its connections and their threads. Thread-safe.

#ifndef SARDINESTREAM_TESTING_FAULT_PROXY_H_
#define SARDINESTREAM_TESTING_FAULT_PROXY_H_

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/testing/fault_rules.h"
#include "sardinestream/wire/secure_socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

class relay;

struct fault_proxy_options {
    address local{"127.0.0.1", 0};
    address server;
    // Set for links of frames, null for HTTP.
    std::shared_ptr<wire::tls_context> tls;
    // Steady delay of everything, each way.
    absl::Duration one_way_delay = absl::ZeroDuration();
};

class fault_proxy {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<fault_proxy>>
    create(fault_proxy_options options);

    // Cuts every connection.
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    [[nodiscard]] const address& local() const { return this->listener->local(); }

    std::shared_ptr<armed_rule> add(fault_rule rule) { return this->rules.add(std::move(rule)); }

    // Cuts every connection; new ones work.
    void cut();
    // Swallows everything from now on, on new connections too, with the sockets open.
    void black_hole();
    // Closes every connection, and new ones at once, until healed.
    void take_down();
    // Ends black hole and outage, cuts the connections that lost bytes, and removes every rule.
    void heal();

    // True while a link of the client with this id is up: heartbeats pass both ways.
    [[nodiscard]] bool has_link_from(absl::string_view client_id);

    // Connections that have been accepted so far.
    [[nodiscard]] int accepted() const { return this->accepted_connections; }

private:
    friend class relay;

    fault_proxy(fault_proxy_options configured, std::unique_ptr<wire::tcp_listener> listening);

    void accept_connections();
    void serve(int descriptor);
    [[nodiscard]] std::unique_ptr<relay> make_relay(int descriptor);
    void wait_while_swallowing() const;

    const fault_proxy_options options;
    const std::unique_ptr<wire::tcp_listener> listener;
    fault_rules rules;
    std::atomic<bool> swallowing{false};
    std::atomic<bool> down{false};
    std::atomic<bool> stopping{false};
    std::atomic<int> accepted_connections{0};
    absl::Mutex mutex;
    std::set<relay*> relays ABSL_GUARDED_BY(mutex);
    thread_group connections;
    std::thread accepting;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_FAULT_PROXY_H_
