// Tracks the state of one backend server as one process observes it: the process's own requests,
// the results of its attempts, and the last report of the server's agent.
//
// Not thread-safe: guarded by the mutex of the dispatcher that owns it.

#ifndef SARDINESTREAM_BACKENDS_SERVER_STATE_H_
#define SARDINESTREAM_BACKENDS_SERVER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/backends/choose_server.h"
#include "sardinestream/backends/hold_off.h"
#include "sardinestream/backends/remaining_work.h"
#include "sardinestream/backends/service_availability.h"
#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"

namespace sardinestream {

// The report of an agent about its server.
struct server_report {
    int running = 0;
    int waiting = 0;
    // Duration of a step relative to that of a healthy server; 1 is normal.
    double slowness = 1;
    // Time between two steps of its engine; zero if unknown.
    double step_ms = 0;
    // The rank group that the server belongs to; empty if it belongs to none.
    std::string group;
    // The group is re-forming or a rank is missing, so no requests are answered at present.
    bool group_broken = false;
};

// The properties of the process from whose point of view a server's load is computed.
struct load_view {
    std::string data_centre;
    // Number of processes that send requests to the same servers, including this one; at least one.
    int processes = 1;
    // Interval between two reports of an agent.
    std::chrono::milliseconds report_interval{100};
    // More than one request waits for a server, in all processes alike: until the next report each
    // places what it can on a server that has room.
    bool has_backlog = false;
    // The other processes are taken to have begun as many requests since a report as this one, up
    // to a share of the free slots. With a backlog they are taken to do so without that bound.
    bool counts_others = false;
};

// The best (lowest) figures among the servers of a service; zero if unknown.
struct service_pace {
    // Mean time to the first byte of an answer; `step_ms` is as in `server_report`.
    double answer_ms = 0;
    double step_ms = 0;
    // Typical slowness of the ranks of each group, by its name.
    std::map<std::string, double> typical_slowness{};
};

// How an attempt at a server ended.
enum class attempt_result {
    succeeded,
    // The server answered with a failure.
    failed,
    // The server reported that it did not run the request.
    refused,
    // The connection could not be established, or ended without an answer.
    unreachable,
    // Another server now uses its address.
    replaced,
    // The server cannot run this request, whatever its state; the result does not count for or
    // against it.
    unsuitable,
    // The caller disconnected; the result does not count for or against the server.
    abandoned,
};

class server_state {
public:
    explicit server_state(backend_server known);

    [[nodiscard]] const backend_server& server() const { return this->description; }
    void update(const backend_server& newer) { this->description = newer; }
    void mark_leaving() { this->description.draining = true; }
    // Begins a hold-off: the server asked for no requests until `requested_end` and is used again
    // `return_delay` later.
    void begin_hold_off(steady_time requested_end, std::chrono::milliseconds return_delay);

    // Begins the wait for the first report of its agent, which tells whether the server's group
    // serves. Until `end` or a report, the server is only sent probes.
    void await_first_report(steady_time since, steady_time end);
    // Ends that wait, because a server of the same service is known to serve.
    void end_wait_for_report() { this->report_awaited_until = {}; }
    [[nodiscard]] bool awaits_first_report(steady_time now) const
    {
        return this->report_time == steady_time{} && now < this->report_awaited_until;
    }

    void begin_attempt(steady_time now);
    // Records that the server has begun to answer an attempt, other than with a refusal.
    void note_accepted();
    // Ends an attempt. `accepted` tells whether `note_accepted` was called for it; `elapsed` is the
    // time to the first byte of the answer.
    void end_attempt(attempt_result result, bool accepted, std::chrono::milliseconds elapsed,
                     steady_time now);
    void apply_report(const server_report& report, steady_time now);

    // Returns the load for `choose_server`. `capacity` is the number of requests that the server
    // may hold, `usual` the best figures of its service.
    [[nodiscard]] server_load load(double capacity, const load_view& view,
                                   const service_pace& usual, steady_time now) const;

    // Returns a short text for operators that says whether the server is used and why.
    [[nodiscard]] absl::string_view usage_status(const load_view& view, steady_time now) const;

    [[nodiscard]] bool is_excluded(steady_time now) const { return now < this->excluded_until; }
    [[nodiscard]] bool is_held_off(steady_time now) const
    {
        return this->current_hold_off.is_active(now);
    }
    // Returns the outage if the server is known not to serve; otherwise nothing.
    [[nodiscard]] std::optional<server_outage> outage(const load_view& view, steady_time now) const;
    // Ends the exclusion of the server. Called when its service has recovered, because failures
    // during the outage no longer say anything about the server.
    void end_exclusion() { this->excluded_until = {}; }
    // Returns whether this server may be sent a probe while its service does not serve.
    [[nodiscard]] bool can_be_probed(const load_view& view, steady_time now) const;
    // Returns when the last attempt began; zero before the first.
    [[nodiscard]] steady_time last_attempt_time() const { return this->last_attempt; }
    // Returns the time from which a server that holds off is used again.
    [[nodiscard]] steady_time hold_off_end() const { return this->current_hold_off.ends(); }
    // What the requests of this process still cost.
    [[nodiscard]] remaining_work& work() { return this->own_work; }
    // Sets the load's work, and whether the request finds room in the server's memory.
    void weigh(const request_cost& cost, const engine_model& engine, const load_view& view,
               steady_time now, server_load& load) const;
    [[nodiscard]] int own_in_flight() const { return this->in_flight; }
    [[nodiscard]] const server_report& last_report() const { return this->report; }
    [[nodiscard]] bool has_fresh_report(const load_view& view, steady_time now) const;
    // Returns the share of its capacity that it may fill: less than 1 for a rank that is slower
    // than its group.
    [[nodiscard]] double capacity_share(const load_view& view, const service_pace& usual,
                                        steady_time now) const;
    // Lowers the values of `usual` to this server's figures if these are lower.
    void merge_best_into(service_pace& usual, const load_view& view, steady_time now) const;

    // Returns whether its agent reports that its group does not serve.
    [[nodiscard]] bool is_broken(const load_view& view, steady_time now) const;
    [[nodiscard]] bool has_silent_agent(const load_view& view, steady_time now) const;

private:
    [[nodiscard]] double occupancy(const load_view& view, steady_time now) const;
    // Returns the number of requests that the other processes are taken to have begun since the
    // report, if the server has `free` slots without them.
    [[nodiscard]] double begun_by_others(double free, const load_view& view, steady_time now) const;
    [[nodiscard]] double failure_share(steady_time now) const;

    backend_server description;
    int in_flight = 0;
    server_report report;
    steady_time report_time{};
    // Attempts of this process that began and ended since the report.
    int begun_since_report = 0;
    int ended_since_report = 0;
    // Exponential moving averages over the last answers.
    double recent_failure_share = 0;
    double mean_first_byte_ms = 0;
    steady_time last_answer{};
    int consecutive_failures = 0;
    steady_time excluded_until{};
    steady_time last_attempt{};
    // Number of attempts in progress that the server has begun to answer.
    int accepted = 0;
    // When the server first refused a request or was unreachable since it last accepted one; empty
    // if neither has happened.
    std::optional<steady_time> rejecting_since;
    // When the server last refused a request or was unreachable. Zero before the first time; kept
    // when it accepts a request.
    steady_time last_rejection{};
    // The wait for the first report; zero if there is none.
    steady_time report_awaited_since{};
    steady_time report_awaited_until{};
    // Time since which its agent has reported the group as broken.
    std::optional<steady_time> broken_since;
    hold_off current_hold_off;
    remaining_work own_work;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_STATE_H_
