// Bounds the requests that cold servers get from all processes together in any second.
//
// A server that has just started, or become cold again, crashes under a load that a warm one
// handles. Each process has a fixed part of the bound, so that the sum is kept without messages,
// also while processes cannot reach each other. A request counts from its placement until one
// second after it was sent: a connection that takes long to open does not make requests arrive in
// bunches.
//
// Answers the load of the seconds after an outage of all servers, in which all callers come back
// and few servers take requests.
//
// The current time is passed in. Not thread-safe.

#ifndef SARDINESTREAM_BACKENDS_COLD_LIMITS_H_
#define SARDINESTREAM_BACKENDS_COLD_LIMITS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/backends/server_limits.h"
#include "sardinestream/backends/service_policy.h"
#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace sardinestream {

// A cold server may get its service's cold rate times `overage`, plus `slack` requests, in one
// second. No server is limited if `overage` is zero.
struct cold_bound {
    double overage = 0;
    double slack = 0;

    friend bool operator==(const cold_bound&, const cold_bound&) = default;
};

enum class cold_condition : std::uint8_t { warm, perhaps_cold, cold };

[[nodiscard]] absl::string_view name_of(cold_condition condition);

// The store confirms the list of servers within this time, also if nothing has changed.
inline constexpr std::chrono::milliseconds list_answer_time{2600};

class cold_limits {
public:
    explicit cold_limits(cold_bound chosen) : bound(chosen) {}

    // Returns whether any server may ever be limited.
    [[nodiscard]] bool is_on() const { return this->bound.overage > 0; }

    // Replaces the list of servers. A server that is new in it, or has started again, may be cold.
    void set_servers(absl::Span<const backend_server> listed, steady_time now);
    // Records an answer of the store about the list, also that nothing has changed. Without answers
    // any server may have become cold again.
    void note_list_answer(steady_time now);
    void set_policies(const service_policies& declared);
    // Sets the processes that share the bound.
    void set_processes(const process_group& processes, steady_time now);

    // Records that the server was out of service, after which it may be cold.
    void note_outage(const backend_server& server, steady_time now);

    // Record that a request was assigned to the server, that it was sent, or that it ended without
    // being sent.
    void note_placed(const backend_server& server);
    void note_sent(const backend_server& server, steady_time now);
    void note_never_sent(const backend_server& server);

    [[nodiscard]] cold_condition condition(const backend_server& server, steady_time now) const;
    // Returns the earliest time at which this process may send the server a request: `now` or
    // earlier if it may do so now.
    [[nodiscard]] steady_time next_request_time(const backend_server& server,
                                                steady_time now) const;

private:
    struct usage {
        std::int64_t born_ms = 0;
        address endpoint;
        // The end of the time that the server itself stated.
        steady_time stated_end{};
        // When the server was last out of service, or first seen.
        steady_time unsure_since{};
        // Requests assigned and not yet sent.
        int unsent = 0;
        // When the last requests were sent, in order of time.
        std::deque<steady_time> sent;
    };

    [[nodiscard]] const usage* find(const backend_server& server) const;
    // Returns the service's policy if it limits cold servers.
    [[nodiscard]] const service_policy* policy_of(const backend_server& server) const;
    // Returns the requests that the server may get in one second from all processes.
    [[nodiscard]] int bound_of(const service_policy& policy) const;
    // Returns this process's part of them.
    [[nodiscard]] int own_part(const backend_server& server, int all, steady_time now) const;
    // Returns the end of the time in which the server is or may be cold.
    [[nodiscard]] steady_time cold_end(const usage& known, const service_policy& policy,
                                       steady_time now) const;

    const cold_bound bound;
    // By id: requests for an earlier start of a server reach the later one.
    std::map<std::string, usage> servers;
    // Those that limit cold servers, by service.
    service_policies policies;
    // Zero before the first.
    steady_time last_list_answer{};
    std::uint32_t own = 0;
    // All other processes that are not forgotten.
    std::vector<std::uint32_t> others;
    // When another process was first heard from.
    steady_time first_heard{};
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_COLD_LIMITS_H_
