// Exchanges messages with other entries and with agents: receives the agents' reports about their
// servers, and compares what is known with the other entries.
//
// An entry that the store rejects learns here that another entry has newer state, which it then
// fetches. Agents learn the addresses of the entries and of the other ranks of their group.
// Runs on its own thread, which calls the hooks.

#ifndef SARDINESTREAM_PEERS_ENTRY_GOSSIP_H_
#define SARDINESTREAM_PEERS_ENTRY_GOSSIP_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/backends/server_limits.h"
#include "sardinestream/backends/server_state.h"
#include "sardinestream/base/store_position.h"
#include "sardinestream/peers/datagram_socket.h"
#include "sardinestream/peers/group_endpoints.h"
#include "sardinestream/routes/desired_state.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// How new the state of an entry is.
struct state_age {
    // The operator's version of the desired state; zero if the entry has none.
    std::int64_t config_version = 0;
    // The store's position up to which the servers are known; zero if the entry has no list.
    store_position servers;
    // Digest of the servers that it knows to have departed.
    std::uint64_t departed_digest = 0;
    // The store's position up to which the evacuations are known; zero if the entry has no list.
    store_position evacuations;
    // The position at which the evacuations last changed; all that other entries tell of them.
    store_position evacuations_changed;

    [[nodiscard]] bool is_older_than(const state_age& other) const
    {
        return other.config_version > this->config_version || other.servers > this->servers ||
               other.evacuations_changed > this->evacuations;
    }
    // Returns true if an entry whose state is of the age `other` may know what this one does not.
    [[nodiscard]] bool lacks(const state_age& other) const
    {
        return this->is_older_than(other) || other.departed_digest != this->departed_digest;
    }
};

struct entry_gossip_hooks {
    std::function<state_age()> age;
    // Servers in use that the store no longer lists.
    std::function<std::size_t()> vanished_servers;
    std::function<std::vector<backend_server>()> servers;
    std::function<std::shared_ptr<const desired_state>()> state;
    // Called with each report of an agent about the server at `ip`.
    std::function<void(const std::string& ip, const server_report& report)> on_report;
    // Called when the entry at `ip` may know what this one does not.
    std::function<void(const std::string& ip, const state_age& newer)> on_newer_state;
    // Called when most of the other entries that are alive have a server list at least as new as
    // this one's and keep no vanished servers: the store had no outage, only this entry could not
    // reach it.
    std::function<void()> on_no_outage;
    // Called when the entries that are alive change, or the number of those that are not yet
    // forgotten, which includes this entry.
    std::function<void(const process_group& alive, int known)> on_entries;
    // Called with the interval at which agents are asked to report.
    std::function<void(std::chrono::milliseconds interval)> on_report_interval;
    // Returns the digest of what this entry knows of requests that crash servers.
    std::function<std::uint64_t()> suspects_digest;
    // Returns all that it knows of them, in parts that fit into one message each.
    std::function<std::vector<std::string>()> suspect_reports;
    // Returns what servers have lately said to this entry about their rates.
    std::function<std::vector<limit_statement>()> limits;
    // Called with what servers have said to another entry.
    std::function<void(absl::Span<const limit_statement> heard)> on_limits;
    // Called with reports of such requests from another entry, or from an agent's copy.
    std::function<void(absl::string_view report)> on_suspect_report;
    // Called when the entry at `ip` knows something else of such requests than this one.
    std::function<void(const std::string& ip)> on_other_suspects;
};

class entry_gossip {
public:
    // Binds the socket and starts the thread. `port` is the same on every machine; `seeds` are the
    // addresses of other entries that may be alive.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<entry_gossip>>
    start(const std::string& ip, int port, const std::vector<std::string>& seeds,
          entry_gossip_hooks hooks);
    ~entry_gossip();
    entry_gossip(const entry_gossip&) = delete;
    entry_gossip& operator=(const entry_gossip&) = delete;

    // Adds other entries that may be alive. Thread-safe.
    void add_seeds(const std::vector<std::string>& seeds);

    // Tells the others soon how new this entry's state is, ahead of the next hello. Thread-safe.
    void announce();

    // Sends reports of requests that crash servers to the other entries, each in a message of its
    // own. News that are lost are noticed by the digest in the next hello. Thread-safe.
    void send_suspects(absl::Span<const std::string> reports);

private:
    struct known_entry {
        steady_time last_heard{};
        state_age age;
        std::size_t vanished_servers = 0;
    };
    struct known_group {
        group_endpoints endpoints;
        std::uint64_t digest = 0;
    };

    entry_gossip(datagram_socket bound, std::string own, entry_gossip_hooks callbacks);

    void run();
    void handle_message(const gossip::MessageT& message);
    void add_pending_seeds();
    void handle_hello(const gossip::EntryHelloT& hello);
    void handle_report(const gossip::ServerReportT& report);
    void handle_limits(const gossip::EntryHelloT& hello);
    void add_entry(std::uint32_t ip);
    void compare_age(std::uint32_t ip, const state_age& known);
    // Returns true if most of the other entries that are alive meet the condition of
    // `on_no_outage`.
    [[nodiscard]] bool majority_saw_no_outage() const;
    // Records the endpoint of the agent's engine, and sends the agent the endpoints of its group if
    // the digest that it reported differs.
    void update_endpoint(const gossip::ServerReportT& report);
    void send_endpoints(const gossip::ServerReportT& report);
    // Sends the agent what this entry knows of requests that crash servers if its copy differs.
    void update_suspects_copy(const gossip::ServerReportT& report);
    void send_hello_to_entries();
    void send_hello_to_agents();
    // Returns the hello for agents, and the one for entries, which says more.
    [[nodiscard]] gossip::EntryHelloT make_hello() const;
    [[nodiscard]] gossip::EntryHelloT make_entry_hello() const;
    [[nodiscard]] std::vector<std::uint32_t> other_entries_alive() const;

    const datagram_socket socket;
    const std::string own_ip;
    const entry_gossip_hooks hooks;
    std::atomic<bool> stopping = false;
    std::atomic<bool> announce_now = false;
    absl::Mutex mutex;
    // Seeds that the thread has not processed yet.
    std::vector<std::string> pending_seeds ABSL_GUARDED_BY(mutex);
    // The entries that are alive or may return.
    std::vector<std::uint32_t> receivers ABSL_GUARDED_BY(mutex);
    // This member and those below are used only by the thread.
    std::map<std::uint32_t, known_entry> entries;
    std::set<std::uint32_t> seeds;
    // The newest sequence number from each agent, by the address of its machine.
    std::map<std::uint32_t, std::uint64_t> report_sequences;
    std::map<std::string, known_group> groups;
    // When the endpoints of its group were last sent to each agent.
    std::map<std::uint32_t, steady_time> endpoints_sent;
    // When the copy of suspects was last sent to each agent.
    std::map<std::uint32_t, steady_time> suspects_sent;
    std::vector<std::uint32_t> announced_alive;
    int announced_known = 0;
    std::thread thread;
};

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_ENTRY_GOSSIP_H_
