// What one process has seen of one server: its own requests there, the answers, and the last report
// of the agent beside it.
//
// Not thread-safe: guarded by the dispatcher that owns it.

#ifndef SARDINESTREAM_BACKENDS_SERVER_STATE_H_
#define SARDINESTREAM_BACKENDS_SERVER_STATE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/backends/choose_server.h"
#include "sardinestream/backends/hold_off.h"
#include "sardinestream/backends/service_outlook.h"
#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"

namespace sardinestream {

// What an agent says of its server.
struct server_report {
    int running = 0;
    int waiting = 0;
    // Time of a step against that of a sound server; 1 is normal.
    double slowness = 1;
    // Time between two passes of its engine; zero where it is not known.
    double pass_ms = 0;
    // The group of ranks that the server belongs to; empty where it belongs to none.
    std::string group;
    // The group forms anew or a rank is missing: nothing is answered for the moment.
    bool group_broken = false;
};

// From where, and among how many, a process looks at the servers.
struct load_view {
    std::string data_centre;
    // Processes that send requests like this one; at least one.
    int processes = 1;
    // How often agents report.
    std::chrono::milliseconds report_interval{100};
};

// The best figures among the servers of a service; zero where none is known.
struct service_pace {
    // Mean time to the first byte of an answer.
    double answer_ms = 0;
    double pass_ms = 0;
};

// How an attempt at a server ended.
enum class attempt_result {
    succeeded,
    // The server answered that it failed.
    failed,
    // It said that it did not run the request.
    refused,
    // It could not be connected to, or was cut off without an answer.
    unreachable,
    // Another server has its address.
    replaced,
    // The caller left; says nothing about the server.
    abandoned,
};

class server_state {
public:
    explicit server_state(backend_server described);

    [[nodiscard]] const backend_server& server() const { return this->described; }
    void update(const backend_server& newer) { this->described = newer; }
    void mark_leaving() { this->described.draining = true; }
    // The server wants no requests until `wanted`; it is used again `put_off` later.
    void hold(steady_time wanted, std::chrono::milliseconds put_off);

    void begin_attempt(steady_time now);
    // The server has begun to answer an attempt, other than by a refusal.
    void note_accepted();
    // `accepted`: the same attempt was. `elapsed` is the time to the first byte of the answer.
    void end_attempt(attempt_result result, bool accepted, std::chrono::milliseconds elapsed,
                     steady_time now);
    void apply_report(const server_report& report, steady_time now);

    // `room` is what the service's policy allows on this server.
    [[nodiscard]] server_load load(double room, const load_view& view, const service_pace& usual,
                                   steady_time now) const;

    // In a word or two, whether and why the server is used: for operators.
    [[nodiscard]] absl::string_view use(const load_view& view, steady_time now) const;

    [[nodiscard]] bool is_excluded(steady_time now) const { return now < this->excluded_until; }
    [[nodiscard]] bool is_held_off(steady_time now) const { return this->held.is_active(now); }
    // Its outage, where it is known to serve nothing.
    [[nodiscard]] std::optional<server_outage> outage(const load_view& view, steady_time now) const;
    // The service serves again: what was learned while it did not says nothing any more.
    void end_exclusion() { this->excluded_until = {}; }
    // Whether a service that does not serve may be tried by a request to this server.
    [[nodiscard]] bool can_be_probed(const load_view& view, steady_time now) const;
    [[nodiscard]] steady_time last_begun() const { return this->last_attempt; }
    // When a server that holds off is used again.
    [[nodiscard]] steady_time hold_ends() const { return this->held.ends(); }
    [[nodiscard]] int own_in_flight() const { return this->in_flight; }
    [[nodiscard]] const server_report& last_report() const { return this->report; }
    [[nodiscard]] bool has_fresh_report(const load_view& view, steady_time now) const;
    // Lowers `usual` to this server's figures where they are better.
    void add_to(service_pace& usual, const load_view& view, steady_time now) const;

private:
    // Its agent says that its group serves nothing.
    [[nodiscard]] bool is_broken(const load_view& view, steady_time now) const;
    [[nodiscard]] bool has_silent_agent(const load_view& view, steady_time now) const;
    [[nodiscard]] double occupancy(const load_view& view, steady_time now) const;
    [[nodiscard]] double failure_share(steady_time now) const;

    backend_server described;
    int in_flight = 0;
    server_report report;
    steady_time report_time{};
    // Attempts that began and ended here since the report.
    int begun_since_report = 0;
    int ended_since_report = 0;
    // Exponential means over the last answers.
    double failures = 0;
    double answer_ms = 0;
    steady_time last_answer{};
    int failures_in_a_row = 0;
    steady_time excluded_until{};
    steady_time last_attempt{};
    // Attempts in progress that the server has begun to answer.
    int accepted = 0;
    // When it first refused or could not be reached since it last accepted a request; nothing where
    // it has not.
    std::optional<steady_time> turned_away_since;
    // When it last did; zero before the first time, and kept when it accepts a request.
    steady_time last_turned_away{};
    // Since when its agent says that its group is broken.
    std::optional<steady_time> broken_since;
    hold_off held;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_STATE_H_
