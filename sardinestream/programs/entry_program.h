// The entry as a program: callers on one side, backend servers on the other, and the state that the
// two need. It is told what the store says (`take_*`) by whoever speaks to the store.
//
//     auto program = entry_program::start(options, protocol, decoder);
//     ... feed it ...
//     program->stop(grace);

#ifndef SARDINESTREAM_PROGRAMS_ENTRY_PROGRAM_H_
#define SARDINESTREAM_PROGRAMS_ENTRY_PROGRAM_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/backends/dispatcher.h"
#include "sardinestream/backends/server_directory.h"
#include "sardinestream/forwarding/front.h"
#include "sardinestream/http/http_service.h"
#include "sardinestream/peers/entry_gossip.h"
#include "sardinestream/retries/retry_budget.h"
#include "sardinestream/routes/current_state.h"

#include "absl/status/statusor.h"

namespace sardinestream {

struct entry_options {
    std::string id;
    std::string data_centre;
    address front_listen;
    // Readiness for the platform's balancer.
    address ready_listen;
    // Metrics and status for operators.
    address ops_listen;
    // This machine's own address.
    std::string ip;
    // News between our own processes, and state for entries that the store turns away.
    int news_port = 0;
    std::vector<std::string> seeds;
    int max_connections = 1000;
    // Attempts at a second server against requests, and how many more may come at once in the whole
    // fleet.
    double retries_per_request = 0.1;
    double max_retry_burst = 80;

    friend bool operator==(const entry_options&, const entry_options&) = default;
};

class entry_program {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<entry_program>>
    start(const entry_options& options, wire_protocol protocol, desired_state_decoder decoder);

    ~entry_program();
    entry_program(const entry_program&) = delete;
    entry_program& operator=(const entry_program&) = delete;

    void apply_desired_state(const std::string& text, std::int64_t revision,
                             absl::string_view source);
    // Servers that are not listed any more may come back until `relist_until`.
    void apply_server_list(const server_list& list, steady_time relist_until);
    void apply_server_changes(const server_changes& news, steady_time relist_until);

    // Applies options that have changed since the start. Returns false where some of them need a
    // restart.
    bool apply_options(const entry_options& changed);

    // Planned stop: not ready at once, callers are served until the balancer has noticed, open
    // requests end. Returns when all have, or after `grace`.
    void stop(std::chrono::milliseconds grace);

private:
    entry_program(const entry_options& chosen, wire_protocol spoken, desired_state_decoder decoder);

    [[nodiscard]] absl::Status open();
    [[nodiscard]] absl::Status open_peers();
    void tick();
    void fetch_from_peers();
    void fetch_from(const std::string& ip);
    [[nodiscard]] known_revisions own_revisions() const;
    // The entry to fetch from now, if any.
    [[nodiscard]] std::optional<std::string> next_fetch_source();
    [[nodiscard]] http_answer answer_peer(const http_request_head& head) const;
    // Logs services whose condition has changed. Called by the ticker alone.
    void log_changed_conditions();
    // Brings what the directory knows into force.
    void publish_servers();
    // The other entries have seen no outage in which the servers that vanished could have lapsed.
    void drop_vanished_servers();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] http_answer answer_readiness() const;
    // Sets the gauges to what the process believes now.
    void update_gauges() const;
    [[nodiscard]] std::string status_json() const;

    const entry_options options;
    const wire_protocol protocol;
    current_state state;
    server_directory directory;
    dispatcher servers;
    channel_pool channels;
    answer_memory answers;
    routing::retry_budget retries;
    std::atomic<bool> stopping = false;
    std::atomic<steady_time> stop_deadline = steady_time::max();
    std::atomic<bool> servers_known = false;
    // Entries that hear each other, and those that were heard of lately; both with this one.
    std::atomic<int> entries_alive = 1;
    std::atomic<int> entries_known = 1;
    std::unique_ptr<front> callers;
    std::unique_ptr<http_service> readiness;
    std::unique_ptr<http_service> operators;
    std::unique_ptr<http_service> peer_state;
    std::unique_ptr<entry_gossip> gossip;
    absl::Mutex mutex;
    // An entry that knew more than this one when it was heard.
    struct peer_with_newer_state {
        std::string ip;
        known_revisions revisions;
        // Since when there has been one.
        steady_time since{};
    };
    std::optional<peer_with_newer_state> newer_peer ABSL_GUARDED_BY(mutex);
    // Held while the servers are brought into force, so that the newest list is the last.
    absl::Mutex publish_mutex;
    // As logged last; used by the ticker alone.
    std::map<std::string, service_condition> logged_conditions;
    std::atomic<bool> ticking = true;
    std::thread ticker;
    std::thread fetcher;
};

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_ENTRY_PROGRAM_H_
