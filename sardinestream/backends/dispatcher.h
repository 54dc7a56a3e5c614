// Gives each request a server, in the order of urgency, or refuses it at once where it cannot be
// served in time.
//
//     absl::StatusOr<placement> placed = dispatcher.place(request, deadline, caller);
//     ...
//     dispatcher.finish(*placed, attempt_result::succeeded, time_to_first_byte);
//
// The dispatcher knows the servers (`set_servers`), their reports (`apply_report`) and this
// process's own requests. Requests that find no room wait in a queue for each service; the longest
// wait and the refusal at arrival follow from the rate at which the service has been finishing
// requests lately. Thread-safe.

#ifndef SARDINESTREAM_BACKENDS_DISPATCHER_H_
#define SARDINESTREAM_BACKENDS_DISPATCHER_H_

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/backends/drain_rate.h"
#include "sardinestream/backends/notice_memory.h"
#include "sardinestream/backends/refusal.h"
#include "sardinestream/backends/server_notice.h"
#include "sardinestream/backends/server_state.h"
#include "sardinestream/backends/service_outlook.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// What the dispatcher needs to know of a request.
struct placement_request {
    std::string service;
    // 0 is the most urgent.
    int priority = 0;
    // How long it may wait for a server before its caller would leave.
    std::chrono::milliseconds longest_wait{1000};
    // Servers that were tried already.
    std::vector<std::string> excluded_ids;
};

// A server that was given to one attempt. Each is handed back by `finish` exactly once.
struct placement {
    backend_server server;
    // How long the request waited for it.
    std::chrono::milliseconds waited{0};
    // What was known of the server when it was chosen.
    double occupancy = 0;
    double slowness = 1;
    // The server has begun to answer.
    bool accepted = false;
};

struct dispatcher_options {
    std::string data_centre;
    // Requests beyond its slots that a server may hold, as a share of the slots.
    double extra_room = 0.0;
};

class dispatcher {
public:
    explicit dispatcher(dispatcher_options chosen);

    // kResourceExhausted: no server will be free in time; the error carries when to come back
    // (`retry_after_of`). kUnavailable: no server of the service can be used. kCancelled: the
    // caller has gone.
    [[nodiscard]] absl::StatusOr<placement> place(const placement_request& request,
                                                  const hangup_watch& caller);

    // The server has begun to answer the attempt, other than by a refusal.
    void note_accepted(placement& given);

    // `first_byte` is the time from sending to the first byte of the answer.
    void finish(const placement& given, attempt_result result,
                std::chrono::milliseconds first_byte);

    // Replaces the list of servers. Requests at servers that are gone go on.
    void set_servers(const std::vector<backend_server>& servers);

    // Takes what a server has said of itself, ahead of the list: one that leaves gets no more
    // requests under this start, one that holds off none until its time is over. Returns what of it
    // is news.
    server_notice take_notice(const backend_server& server, const server_notice& said);

    // When refused callers of a service should come back, spread: after the first of its servers
    // takes requests again where all hold off, or by how long it has been down; else zero.
    [[nodiscard]] std::chrono::milliseconds time_until_return(const std::string& service);

    // Whether requests for the service are refused at once.
    [[nodiscard]] bool is_down(const std::string& service);

    void apply_report(const std::string& server_ip, const server_report& report);

    // The number of processes that place requests like this one.
    void set_processes(int count);

    // How often agents report.
    void set_report_interval(std::chrono::milliseconds interval);

    // The servers in use, for status pages.
    struct server_summary {
        backend_server server;
        int own_in_flight = 0;
        server_report report;
        bool reported = false;
        // How much longer it holds off; zero where it does not.
        std::chrono::milliseconds hold_off{0};
        // Whether and why it is used.
        std::string use;
    };
    [[nodiscard]] std::vector<server_summary> summary() const;

    // Of each service that has servers.
    [[nodiscard]] std::map<std::string, service_outlook> outlooks() const;
    [[nodiscard]] int waiting() const;

private:
    struct waiter;
    struct service_queue {
        // In order of arrival.
        std::list<waiter*> waiters;
        drain_rate finished;
        // When the service, while it does not serve, may be tried again.
        steady_time next_probe{};
    };

    std::optional<placement> try_place(const placement_request& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] service_pace usual_pace(const std::string& service, steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool has_usable_server(const placement_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Of the servers that may take the request and do not hold off, up to the first that may serve.
    [[nodiscard]] std::vector<std::optional<server_outage>>
    outages(const placement_request& request, steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // A server for a request that shows whether a service that does not serve has returned; nothing
    // where one has been sent lately, or the service serves.
    std::optional<placement> try_probe(const placement_request& request, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Refuses a request for a service that is down.
    [[nodiscard]] absl::Status check_outlook(const placement_request& request, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Whether the request may be sent to the server once it takes requests.
    [[nodiscard]] static bool may_take(const server_state& state, const placement_request& request);
    // When the first server takes requests again where all that may take the request hold off; else
    // nothing.
    [[nodiscard]] std::optional<steady_time> earliest_return(const placement_request& request,
                                                             steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Refuses what the servers' hold-offs outlast.
    [[nodiscard]] absl::Status check_hold_offs(const placement_request& request,
                                               steady_time deadline, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // `wait` and a drawn share of it.
    [[nodiscard]] std::chrono::milliseconds spread_return(steady_clock::duration wait)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] double draw() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // How much later than it may this process returns to a server that has held off.
    [[nodiscard]] std::chrono::milliseconds draw_put_off() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] server_state new_state(const backend_server& server, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void serve_waiters(const std::string& service) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    absl::StatusOr<placement> wait_in_queue(waiter& self, const hangup_watch& caller);
    [[nodiscard]] absl::Status check_queue(const placement_request& request, service_queue& queue,
                                           steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const dispatcher_options options;
    mutable absl::Mutex mutex;
    // By id. A state stays while requests of this process are at the server.
    std::map<std::string, server_state> servers ABSL_GUARDED_BY(mutex);
    notice_memory notices ABSL_GUARDED_BY(mutex);
    std::map<std::string, service_queue> queues ABSL_GUARDED_BY(mutex);
    load_view view ABSL_GUARDED_BY(mutex);
    std::minstd_rand random ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_DISPATCHER_H_
