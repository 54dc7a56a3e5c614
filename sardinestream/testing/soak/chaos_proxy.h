// A loopback proxy on one TCP link, for what networks do: delay, silence in one direction or both,
// connections that are silent for good, resets, refusal.
//
//     auto proxy = chaos_proxy::start({"127.0.0.1", 0}, server);
//     (*proxy)->set_trouble(link_trouble::silent_to_server);
//     (*proxy)->reset_connections();
//
// Bytes that meet a silence arrive when it ends, as they do on a link that was cut. Two threads for
// each connection. Thread-safe.

#ifndef SARDINESTREAM_TESTING_SOAK_CHAOS_PROXY_H_
#define SARDINESTREAM_TESTING_SOAK_CHAOS_PROXY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

#include "sardinestream/http/connection_acceptor.h"

#include "absl/status/statusor.h"

namespace sardinestream::testing {

enum class link_trouble : std::uint8_t {
    none,
    silent,
    silent_to_server,
    silent_to_client,
    refused
};

class chaos_proxy {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<chaos_proxy>> start(const address& local,
                                                                            const address& server);
    // Resets every connection.
    ~chaos_proxy();
    chaos_proxy(const chaos_proxy&) = delete;
    chaos_proxy& operator=(const chaos_proxy&) = delete;

    void set_trouble(link_trouble wanted) { this->trouble = wanted; }
    void set_delay(std::chrono::milliseconds each_way) { this->delay_ms = each_way.count(); }
    // Resets the open connections; new ones work.
    void reset_connections() { ++this->generation; }
    // Makes the open connections silent for good, as a network does that has lost their state; new
    // ones work.
    void sever_connections() { ++this->severed; }

    [[nodiscard]] const address& local() const { return this->acceptor.local(); }

private:
    // Both ends of one proxied connection; closed with a reset once both directions have ended.
    struct link {
        tcp_socket client;
        tcp_socket server;
        int generation = 0;
        int severed = 0;
        std::atomic<bool> broken = false;
    };

    chaos_proxy(tcp_listener bound, address target);

    void serve(tcp_socket client);
    // Passes bytes on in one direction until the connection ends.
    void pump(link& between, bool to_server) const;
    [[nodiscard]] bool send(const link& between, const tcp_socket& to, const char* bytes,
                            std::size_t length) const;
    [[nodiscard]] bool must_end(const link& between) const;
    [[nodiscard]] bool is_silent(const link& between, bool to_server) const;

    const address server;
    std::atomic<link_trouble> trouble = link_trouble::none;
    std::atomic<std::int64_t> delay_ms = 0;
    // How often all open connections were reset, and severed.
    std::atomic<int> generation = 0;
    std::atomic<int> severed = 0;
    std::atomic<bool> stopping = false;
    connection_acceptor acceptor;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_CHAOS_PROXY_H_
