// Runs an entry: accepts requests of callers, forwards them to backend servers, and keeps the state
// that both sides need. The component that reads the store delivers updates through `apply_*`.
//
//     auto program = entry_program::start(options, protocol, decoder);
//     ... deliver updates of the store with `apply_*` ...
//     program->stop(grace);

#ifndef SARDINESTREAM_PROGRAMS_ENTRY_PROGRAM_H_
#define SARDINESTREAM_PROGRAMS_ENTRY_PROGRAM_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "sardinestream/backends/dispatcher.h"
#include "sardinestream/backends/evacuation_list.h"
#include "sardinestream/backends/server_directory.h"
#include "sardinestream/forwarding/crash_guard.h"
#include "sardinestream/forwarding/frontend.h"
#include "sardinestream/http/http_service.h"
#include "sardinestream/peers/entry_gossip.h"
#include "sardinestream/retries/retry_budget.h"
#include "sardinestream/routes/current_state.h"
#include "sardinestream/suspects/suspect_registry.h"

#include "absl/status/statusor.h"

namespace sardinestream {

struct entry_options {
    std::string id;
    std::string data_centre;
    address front_listen;
    // Readiness checks of the platform's load balancer.
    address ready_listen;
    // Metrics and status for operators.
    address ops_listen;
    // This machine's own address.
    std::string ip;
    // Port of the messages between processes of the fleet (UDP), and of the state served to entries
    // that the store rejects (TCP).
    int gossip_port = 0;
    std::vector<std::string> seeds;
    int max_connections = 1000;
    // Memory that the process may use.
    std::size_t memory_bytes = std::size_t{256} << 20U;
    // Retry budget: allowed retries per request, and the size of a burst of further retries in the
    // whole fleet.
    double retries_per_request = 0.1;
    double max_retry_burst = 80;
    // Time within which the store removes the entry of a silent server.
    std::chrono::milliseconds server_entry_lifetime{4800};
    // Time between two writes of a server to the store.
    std::chrono::milliseconds server_heartbeat{1200};
    // Requests that a cold server may get in one second from all entries together.
    cold_bound cold{};
    // The store's evacuations are delivered with `apply_evacuation*`.
    bool watches_evacuations = false;

    friend bool operator==(const entry_options&, const entry_options&) = default;
};

class entry_program {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<entry_program>>
    start(const entry_options& options, wire_protocol protocol, desired_state_decoder decoder);

    ~entry_program();
    entry_program(const entry_program&) = delete;
    entry_program& operator=(const entry_program&) = delete;

    // Applies the operator's document if its version is newer than the known one. A document that
    // cannot be read is logged and changes nothing. `source` tells operators where it came from.
    void apply_desired_state(const std::string& text, std::int64_t revision,
                             absl::string_view source);
    // Apply the store's list of servers, or changes to it. `outage` is the last one of the store.
    void apply_server_list(const server_list& list, const store_outage& outage);
    void apply_server_changes(const server_changes& changes, const store_outage& outage);
    // Applies a list that was not read to its end: what is missing from it has not vanished.
    void apply_partial_server_list(const server_list& list);
    // Records an outage of the store that has begun or ended.
    void note_store_outage(const store_outage& outage);

    // Apply the store's list of evacuations, or changes to it.
    void apply_evacuation_list(const evacuation_snapshot& list);
    void apply_evacuation_changes(const evacuation_changes& changes);

    // Applies options that have changed since the start. Returns false if some of the changes need
    // a restart.
    bool apply_options(const entry_options& changed);

    // Stops gracefully: reports not ready at once, accepts requests until the load balancer has
    // noticed, then waits for open requests. Returns when all have ended, or shortly before `grace`
    // has passed since `received`, when the signal to stop was received. Writes the last event of
    // the process.
    void stop(steady_time received, std::chrono::milliseconds grace);

private:
    // An entry that had newer state than this one when it was last heard from.
    struct peer_with_newer_state {
        std::string ip;
        state_age age;
        // Since when some entry has had newer state.
        steady_time since{};
    };

    entry_program(const entry_options& chosen, wire_protocol spoken, desired_state_decoder decoder);

    [[nodiscard]] absl::Status open();
    [[nodiscard]] absl::Status open_peers();
    void tick();
    void fetch_from_peers();
    // Tells the other entries what has changed in `suspects`.
    void send_suspect_report();
    void fetch_suspects();
    // Logs the number of refused suspects when it has changed. Called only by the ticker thread.
    void log_changed_suspects();
    // `newer` is what that entry has said of its state.
    void fetch_from(const std::string& ip, const state_age& newer);
    void fetch_evacuations(http_client& peer, const std::string& ip);
    // Adds what another entry knows of the servers.
    void merge_servers(const shared_servers& servers);
    [[nodiscard]] state_age own_age() const;
    // Applies the entries that are alive, and the number of those that are not yet forgotten.
    void apply_entries(const process_group& alive, int known);
    // Returns the entry to fetch newer state from now, if any.
    [[nodiscard]] std::optional<peer_with_newer_state> next_fetch_source();
    [[nodiscard]] http_answer answer_peer(const http_request_head& head) const;
    // Answers an entry whose knowledge of the servers is of the age `theirs`.
    [[nodiscard]] http_answer answer_servers(const state_age& theirs) const;
    // Answers an entry that knows the evacuations up to `known`.
    [[nodiscard]] http_answer answer_evacuations(const store_position& known) const;
    // Logs services whose condition has changed. Called only by the ticker thread.
    void log_changed_conditions();
    // Applies the contents of the directory to the dispatcher and the connection pool.
    void publish_servers();
    // Applies the evacuations in force to the dispatcher.
    void publish_evacuations();
    // Drops the vanished servers. Called when the other entries saw no store outage that could
    // explain why their records expired.
    void drop_vanished_servers();
    [[nodiscard]] bool is_ready() const;
    // Returns whether the evacuations are known, as far as a start may wait for them.
    [[nodiscard]] bool evacuations_settled() const;
    [[nodiscard]] http_answer answer_readiness() const;
    // Sets the gauges to the current values.
    void update_gauges() const;
    [[nodiscard]] std::string status_json() const;
    [[nodiscard]] nlohmann::json evacuations_json() const;
    [[nodiscard]] nlohmann::json services_json() const;
    [[nodiscard]] nlohmann::json servers_json() const;
    // Logs the requests that a stop leaves without a whole answer.
    void log_unfinished_requests() const;

    const entry_options options;
    const wire_protocol protocol;
    current_state state;
    server_directory directory;
    evacuation_list evacuations;
    dispatcher servers;
    connection_pool connections{[this] { return this->stop_deadline.load(); }};
    // Requests that crash servers, as this entry and the others have seen.
    const std::unique_ptr<suspects::suspect_registry> suspects;
    crash_guard crashes;
    message_memory request_memory;
    message_memory response_memory;
    // The requests that are being served.
    open_requests in_progress;
    answer_times answer_durations;
    answer_estimator answer_sizes;
    routing::retry_budget retries;
    std::atomic<bool> stopping = false;
    std::atomic<steady_time> stop_deadline = steady_time::max();
    std::atomic<steady_time> deregistered_at = steady_time::max();
    std::atomic<bool> servers_known = false;
    const steady_time started_at = steady_clock::now();
    // Number of entries heard from recently enough to count as alive, and of those not yet
    // forgotten; both include this one.
    std::atomic<int> entries_alive = 1;
    std::atomic<int> entries_known = 1;
    std::unique_ptr<frontend> caller_frontend;
    std::unique_ptr<http_service> readiness_service;
    std::unique_ptr<http_service> ops_service;
    std::unique_ptr<http_service> peer_service;
    std::unique_ptr<entry_gossip> gossip;
    absl::Mutex mutex;
    std::optional<peer_with_newer_state> newer_peer ABSL_GUARDED_BY(mutex);
    // The last outage of the store that lists the servers.
    store_outage last_outage ABSL_GUARDED_BY(mutex);
    // When state was last fetched for the sake of departed servers alone.
    steady_time departed_fetched ABSL_GUARDED_BY(mutex){};
    // Those that are alive.
    process_group entries ABSL_GUARDED_BY(mutex);
    // An entry whose knowledge of suspects differs from this one's.
    std::optional<std::string> peer_with_other_suspects ABSL_GUARDED_BY(mutex);
    // Held while reports of suspects are sent.
    absl::Mutex suspect_report_mutex;
    // The registry's sequence up to which its changes have been sent.
    std::uint64_t suspects_sent ABSL_GUARDED_BY(suspect_report_mutex) = 0;
    // The number of refused suspects logged last; used only by the ticker thread.
    std::size_t logged_suspects = 0;
    // Held while policies are derived, so that those of the newest state are the ones applied last.
    absl::Mutex policy_mutex;
    // Held while servers are published, so that the newest list is the one applied last.
    absl::Mutex publish_mutex;
    // Held while evacuations are published, for the same reason.
    absl::Mutex evacuation_mutex;
    // The conditions logged last, by service; used only by the ticker thread.
    std::map<std::string, service_condition> logged_conditions;
    std::atomic<bool> ticking = true;
    std::thread ticker;
    std::thread fetcher;
};

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_ENTRY_PROGRAM_H_
