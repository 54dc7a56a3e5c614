// Keeps the rates that servers name in their answers: the requests per second that a server accepts
// from all processes together.
//
// Each process takes an equal share of a server's rate and spends it as tokens, of which it holds
// one at the most. Where the shares would be so small that the single tokens of all processes
// exceed the rate, only some of the processes use the server, chosen by rendezvous hashing. A
// statement holds until the server answers without one, as any process sees it, or until it has not
// been repeated for long.
//
// The current time is passed in. Not thread-safe.

#ifndef SARDINESTREAM_BACKENDS_SERVER_LIMITS_H_
#define SARDINESTREAM_BACKENDS_SERVER_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/http/socket.h"

#include "absl/types/span.h"

namespace sardinestream {

// The processes that send requests to the same servers, by a number that is the same everywhere,
// such as their IP address.
struct process_group {
    std::uint32_t own = 0;
    // Those that are alive.
    std::vector<std::uint32_t> others{};
    // Those that have not been heard from lately and are not yet forgotten.
    std::vector<std::uint32_t> silent{};
};

// What a server has last said about its rate.
struct limit_statement {
    // Identifies the start of the server (`start_key`).
    std::uint64_t server = 0;
    // Requests per second from all processes together; empty if it names no limit any more.
    std::optional<double> max_rate;
    // When it said so.
    steady_time heard{};
};

class server_limits {
public:
    // Returns the key of this start of the server, the same in every process.
    [[nodiscard]] static std::uint64_t start_key(const backend_server& server);

    // Records an answer of the server to this process. Returns whether it begins, changes or ends a
    // limit.
    bool note_answer(const backend_server& server, std::optional<double> max_rate, steady_time now);

    // Records what another process has heard; has no effect if something newer is known.
    void note_statement(const limit_statement& heard_elsewhere, steady_time now);

    // Returns what this process itself has heard lately, to be sent to the others: the newest part
    // of it if it is very much.
    [[nodiscard]] std::vector<limit_statement> own_statements(steady_time now) const;

    void set_processes(const process_group& processes);

    // Returns the earliest time at which this process may send the server a request: `now` or
    // earlier if it may do so now.
    [[nodiscard]] steady_time next_request_time(const backend_server& server,
                                                steady_time now) const;

    // Records that a request is sent to the server.
    void note_request(const backend_server& server, steady_time now);

    // Returns the rate that the server names; nothing if it names none.
    [[nodiscard]] std::optional<double> max_rate(const backend_server& server,
                                                 steady_time now) const;

private:
    struct known_limit {
        limit_statement latest;
        // What this process itself has last heard, if anything.
        std::optional<limit_statement> heard_here;
        // Time from which the next request may be sent.
        steady_time next_request{};
    };

    // This process's part of a limit.
    struct share {
        // Requests per second.
        double rate = 0;
        // Position among the processes that may use the server only after a while; zero if this
        // process may use it now.
        int reserve_position = 0;
    };
    [[nodiscard]] share own_share(const known_limit& known) const;
    [[nodiscard]] const known_limit* find(const backend_server& server, steady_time now) const;
    void forget_old(steady_time now);

    process_group processes;
    // By `start_key`.
    std::map<std::uint64_t, known_limit> limits;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_LIMITS_H_
