// Assigns a backend server to each request, in order of priority, or refuses the request
// immediately if it cannot be served in time.
//
//     absl::StatusOr<placement> placed = dispatcher.place(request, caller);
//     ... send the request ...
//     dispatcher.note_sent(*placed);
//     ...
//     dispatcher.finish(*placed, attempt_result::succeeded, time_to_first_byte);
//
// The dispatcher combines the list of servers (`set_servers`), what the operator declares and asks
// for (`set_policies`, `set_evacuated`), the agents' reports (`apply_report`) and the requests of
// its own process. The decisions are in modules of their own: `choose_server`, `request_cost` and
// `remaining_work`, `cold_limits`, `server_limits`, `hold_off`, `queue_order`. Requests that find
// no free capacity wait in a queue per service. The expected wait, and with it the refusal on
// arrival, is computed from the rate at which the service has recently completed requests.
// Thread-safe.

#ifndef SARDINESTREAM_BACKENDS_DISPATCHER_H_
#define SARDINESTREAM_BACKENDS_DISPATCHER_H_

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/backends/cold_limits.h"
#include "sardinestream/backends/drain_rate.h"
#include "sardinestream/backends/group_activity.h"
#include "sardinestream/backends/notice_memory.h"
#include "sardinestream/backends/queue_order.h"
#include "sardinestream/backends/refusal.h"
#include "sardinestream/backends/remaining_work.h"
#include "sardinestream/backends/request_cost.h"
#include "sardinestream/backends/server_limits.h"
#include "sardinestream/backends/server_notice.h"
#include "sardinestream/backends/server_state.h"
#include "sardinestream/backends/service_availability.h"
#include "sardinestream/backends/service_policy.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"

namespace sardinestream {

// The properties of a request that determine its placement.
struct placement_request {
    std::string service;
    // 0 is the highest priority.
    int priority = 0;
    // Parts of its answer have reached the caller, so that it can no longer be refused: it goes
    // before all requests that have not begun, and waits also while the service is down.
    bool has_begun = false;
    // Maximum time to wait for a server, after which the caller is expected to give up.
    std::chrono::milliseconds max_wait{1000};
    // Time by which the first event of its answer is in time; zero if unknown.
    steady_time first_event_by{};
    // Ids of the servers that were tried already.
    std::vector<std::string> excluded_ids;
    // Unknown for a service whose requests are counted.
    request_cost cost;
    // Returns true if waiting has become pointless; checked about every 100 ms. May be empty.
    std::function<bool()> is_obsolete;
};

// The server assigned to one attempt. Each placement must be passed to `finish` exactly once.
struct placement {
    backend_server server;
    // Time that the request waited in the queue.
    std::chrono::milliseconds waited{0};
    // Load of the server when it was selected, as in `server_load`.
    double occupancy = 0;
    double slowness = 1;
    // Whether the server has begun to answer.
    bool accepted = false;
    // Its part in the work of the server.
    placed_work work;
    // Whether the request was sent.
    bool sent = false;
};

struct dispatcher_options {
    std::string data_centre;
    // Number of requests that a server may hold beyond its slots, as a share of the slots.
    double extra_capacity_share = 0.0;
    // Requests that a cold server may get in one second.
    cold_bound cold{};
};

class dispatcher {
    struct waiter;

public:
    // Servers that become usable merely because time passes wake no waiting thread, so that each
    // looks for itself this often.
    static constexpr std::chrono::milliseconds recheck_interval{100};

    explicit dispatcher(dispatcher_options chosen);

    // Assigns a server to the request; blocks for at most `max_wait`.
    //
    // Errors: kResourceExhausted if no server will be free in time; the error carries the time
    // after which to retry (`retry_after_of`). kUnavailable if no server of the service can be
    // used. kCancelled if the caller has disconnected.
    [[nodiscard]] absl::StatusOr<placement> place(const placement_request& request,
                                                  const hangup_watch& caller);

    // Returns whether a running stream delays all others: its server is a rank that is so much
    // slower than the rest of its group that it should serve no requests.
    [[nodiscard]] bool delays_its_group(const backend_server& server);

    // Assigns a server with free capacity to the request; returns nothing if there is none or other
    // requests wait.
    [[nodiscard]] std::optional<placement> place_if_free(const placement_request& request);

    // The place in the queue of a request whose server is silent and may still answer. It is given
    // only servers with free capacity, no probes of a service that does not serve. A server that is
    // assigned and not taken is free again at the end. Used by one thread.
    class queued_request {
    public:
        // Returns kResourceExhausted if no descriptor is available. `owner` must outlive it.
        [[nodiscard]] static absl::StatusOr<std::unique_ptr<queued_request>>
        create(dispatcher& owner, placement_request request);
        ~queued_request();
        queued_request(const queued_request&) = delete;
        queued_request& operator=(const queued_request&) = delete;

        // Becomes readable once a server is assigned.
        [[nodiscard]] int descriptor() const;
        // Returns the server if one is assigned. To be called now and then even if the descriptor
        // does not become readable: servers become usable merely because time passes, too.
        [[nodiscard]] std::optional<placement> take();

    private:
        queued_request(dispatcher& owner, placement_request request);

        dispatcher& servers;
        const placement_request wanted;
        std::unique_ptr<waiter> self;
    };

    // Records that the request was sent to the server, wholly or in part.
    void note_sent(placement& assigned);

    // Records that the server has begun to answer the attempt, other than with a refusal.
    void note_accepted(placement& assigned);

    // Records how many tokens of its answer the attempt has brought.
    void note_progress(placement& assigned, double tokens);

    // Ends an attempt. `first_byte` is the time from sending to the first byte of the answer.
    void finish(const placement& assigned, attempt_result result,
                std::chrono::milliseconds first_byte);

    // Replaces the list of servers. Requests in progress on removed servers continue.
    void set_servers(const std::vector<backend_server>& servers);

    // Records an answer of the store about the list, also that nothing has changed.
    void note_list_answer();

    // Applies a notice that a server sent in an answer, before the list shows the same. A leaving
    // server gets no more requests until it has restarted; one that holds off gets none until its
    // hold-off has ended. Returns the parts of the notice that were not known before.
    server_notice apply_notice(const backend_server& server, const server_notice& notice);

    // Returns the time, with jitter, after which refused callers of a service should retry. If all
    // its servers hold off, it is the time until the first hold-off ends; if the service is down,
    // it grows with the length of the outage; otherwise it is zero.
    [[nodiscard]] std::chrono::milliseconds retry_after(const std::string& service);

    // Returns whether requests for the service are refused immediately because it is down.
    [[nodiscard]] bool is_down(const std::string& service);

    // Returns whether the service is known to stand still: agents report that their groups begin no
    // step, and no other server could serve a retry. Requests on its servers go on when the groups
    // do.
    [[nodiscard]] bool stands_still(const std::string& service);

    // Records that the server has sent an event of a stream.
    void note_event(const backend_server& server);
    // Returns whether the server belongs to a group that is not known to run: its ranks have sent
    // this process no event for a while, or have only just begun to, so that the silence of one
    // rank says nothing about that rank.
    [[nodiscard]] bool group_may_stand_still(const backend_server& server);

    // Applies an agent's report to the servers at this IP address.
    void apply_report(const std::string& server_ip, const server_report& report);

    // Records whether an answer of the server named a rate, in requests per second, that it accepts
    // from all processes together. Returns whether this begins, changes or ends a limit.
    bool note_limit(const backend_server& server, std::optional<double> max_rate);
    // Records what other processes have heard about the rates of servers.
    void note_limits(absl::Span<const limit_statement> heard_elsewhere);
    // Returns what this process has lately heard about the rates of servers.
    [[nodiscard]] std::vector<limit_statement> own_limit_statements() const;

    // Sets the processes that place requests on the same servers.
    void set_processes(const process_group& processes);

    // Sets the data centres to whose servers nothing more is sent. Requests in progress there
    // continue; queued requests are served anew by the servers that are left.
    void set_evacuated(std::set<std::string> data_centres);

    // Sets what the operator declares of the services.
    void set_policies(service_policies declared);

    // Returns whether streams of the service differ in priority.
    [[nodiscard]] bool has_urgent_streams(const std::string& service) const;

    // Sets the interval between two reports of an agent.
    void set_report_interval(std::chrono::milliseconds interval);

    // The state of one known server, for status pages.
    struct server_summary {
        backend_server server;
        int own_in_flight = 0;
        server_report report;
        bool reported = false;
        // Remaining time of its hold-off; zero if it does not hold off.
        std::chrono::milliseconds hold_off{0};
        // The rate that it names, in requests per second, for all processes together.
        std::optional<double> max_rate;
        cold_condition coldness = cold_condition::warm;
        // Whether the server is used, and why.
        std::string use;
    };
    [[nodiscard]] std::vector<server_summary> summary() const;

    // Returns the availability of each service that has servers.
    [[nodiscard]] std::map<std::string, service_availability> availabilities() const;
    // Returns the number of queued requests of all services.
    [[nodiscard]] int waiting() const;

private:
    struct service_queue {
        // In order of arrival.
        std::list<waiter*> waiters;
        drain_rate completion_rate;
        // Rate at which requests of each priority get servers.
        std::map<int, drain_rate> placement_rates;
        // Earliest time of the next probe while the service does not serve.
        steady_time next_probe{};
    };

    // Assigns a server with free capacity; nothing if there is none.
    std::optional<placement> try_place(const placement_request& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the policy of the service if its requests are ordered by urgency, otherwise null.
    [[nodiscard]] const service_policy* urgency_policy(const std::string& service) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the best figures among the servers of the service.
    [[nodiscard]] service_pace best_pace(const std::string& service, steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the engine by whose speed the request is placed, or null if requests are counted.
    [[nodiscard]] const engine_model* engine_of(const placement_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns whether the request needs more than half the memory of a server, so that it may wait
    // while others find room.
    [[nodiscard]] bool is_large(const placement_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool has_usable_server(const placement_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the outages of the servers that may take the request and do not hold off. Ends at the
    // first server without an outage, since one is enough for the service to serve.
    [[nodiscard]] std::vector<std::optional<server_outage>>
    outages(const placement_request& request, steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Assigns a server to a request that probes whether a service that does not serve has
    // recovered. Returns nothing if the last probe was too recent or the service serves.
    std::optional<placement> try_probe(const placement_request& request, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns a refusal if the service is down.
    [[nodiscard]] absl::Status check_availability(const placement_request& request, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns whether the server is a candidate for the request: it provides the service, is not
    // leaving, its data centre is not evacuated and it was not tried already. It may still be full
    // or hold off.
    [[nodiscard]] bool is_eligible(const server_state& state,
                                   const placement_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns whether more than one request without a server waits for one of the service.
    [[nodiscard]] bool has_backlog(const std::string& service) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool is_evacuated(const backend_server& server) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the earliest time at which a candidate for the request wants requests again, if all
    // of them hold off or have had what their limits allow; otherwise nothing.
    [[nodiscard]] std::optional<steady_time> earliest_return(const placement_request& request,
                                                             steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the time from which the server wants requests: `now` or earlier if it does.
    [[nodiscard]] steady_time return_time(const server_state& state, steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the time from which the limits of the server allow a request.
    [[nodiscard]] steady_time allowed_time(const server_state& state, steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns whether a candidate for the request is cold and has had what it may get.
    [[nodiscard]] bool waits_for_cold_server(const placement_request& request,
                                             steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Records that a request is sent to the server.
    void begin_attempt(server_state& state, steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns a refusal if no candidate wants requests before `deadline`.
    [[nodiscard]] absl::Status check_returns(const placement_request& request, steady_time deadline,
                                             steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns `wait` plus a random share of it, so that callers do not retry all at once.
    [[nodiscard]] std::chrono::milliseconds jittered_retry_after(steady_clock::duration wait)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns a random number, uniform in [0, 1).
    [[nodiscard]] double draw() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns a random delay after the end of a hold-off, before which this process sends the
    // server no requests.
    [[nodiscard]] std::chrono::milliseconds draw_return_delay()
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Creates the state of a server, with the hold-off that is known for its start.
    [[nodiscard]] server_state make_state(const backend_server& server, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Lets the server wait for its agent's first report if its service runs in groups, whose ranks
    // refuse all requests until the group has formed.
    void await_first_report(server_state& state, steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the request that is served next, without those in `unplaced`. `policy` is as returned
    // by `urgency_policy`.
    [[nodiscard]] static std::list<waiter*>::iterator
    next_waiter(std::list<waiter*>& waiters, const std::set<const waiter*>& unplaced,
                const service_policy* policy, steady_time now);
    // Returns the number of large requests in the queue.
    [[nodiscard]] int waiting_large(const service_queue& queue) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the number of requests in the queue that are served before this one.
    [[nodiscard]] static int number_ahead(const waiter& self, const service_queue& queue,
                                          const service_policy* policy, steady_time now);
    // Assigns servers to queued requests in order of priority, as long as there is free capacity.
    void serve_waiters(const std::string& service) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the server that the queued request has got, or gets now.
    [[nodiscard]] std::optional<placement> take_place(waiter& self)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the refusal of a request that no listed server may take.
    [[nodiscard]] absl::Status refuse_without_server(const placement_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns a refusal if the queued request should wait no longer.
    [[nodiscard]] absl::Status check_waiter(const waiter& self, steady_time deadline)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Blocks until the queued request is placed, refused or abandoned by its caller.
    absl::StatusOr<placement> wait_in_queue(waiter& self, const hangup_watch& caller);
    // Returns a refusal if the request cannot expect a server within its `max_wait`.
    [[nodiscard]] absl::Status check_queue(const waiter& self, service_queue& queue,
                                           steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the time after which a queued request may expect a server.
    [[nodiscard]] std::chrono::milliseconds expected_wait(const waiter& self, service_queue& queue,
                                                          steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const dispatcher_options options;
    mutable absl::Mutex mutex;
    // The listed servers, by id.
    std::map<std::string, server_state> servers ABSL_GUARDED_BY(mutex);
    notice_memory notices ABSL_GUARDED_BY(mutex);
    server_limits limits ABSL_GUARDED_BY(mutex);
    cold_limits cold ABSL_GUARDED_BY(mutex);
    std::map<std::string, service_queue> queues ABSL_GUARDED_BY(mutex);
    group_activity activity ABSL_GUARDED_BY(mutex);
    load_view view ABSL_GUARDED_BY(mutex);
    service_policies policies ABSL_GUARDED_BY(mutex);
    std::set<std::string> evacuated ABSL_GUARDED_BY(mutex);
    std::minstd_rand random ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_DISPATCHER_H_
