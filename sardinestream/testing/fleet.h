// A whole small fleet as processes, with a fault proxy on every link: the platform, entries, agents
// with their model engines and plain services.
//
//     auto fleet = fleet::create({.entries = 2, .model_agents = 2, .plain_agents = 2});
//     (*fleet)->caller_of(0).call("POST", "/services/till/deposits", "body", headers);
//     (*fleet)->agent(0).server->kill();
//     (*fleet)->restore();
//
// One team, `team_key`, has three catalogue entries: the model "assistant", the plain service
// "till", whose calls may not be repeated unless they read, and "stock", whose calls may.
// Agents of plain services offer both.
//
// Owns the processes, the proxies and the files. One thread changes the fleet at a time; callers
// may be used from any.

#ifndef SARDINESTREAM_TESTING_FLEET_H_
#define SARDINESTREAM_TESTING_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "sardinestream/testing/caller.h"
#include "sardinestream/testing/fault_proxy.h"
#include "sardinestream/testing/process.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace sardinestream::testing {

inline constexpr char team_key[] = "bearer-key-of-the-team";

struct fleet_options {
    int entries = 2;
    int model_agents = 2;
    int plain_agents = 2;
    int slots = 16;
    absl::Duration token_time = absl::Milliseconds(3);
    absl::Duration one_way_delay = absl::ZeroDuration();
    std::vector<std::string> entry_flags;
    std::vector<std::string> agent_flags;
    std::vector<std::string> engine_flags;
};

struct entry_node {
    std::string id;
    port_reservation http;
    port_reservation links;
    port_reservation ops;
    std::unique_ptr<fault_proxy> callers;  // callers to this entry
    std::unique_ptr<fault_proxy> peers;    // other entries to this entry
    std::unique_ptr<fault_proxy> platform; // this entry to the platform
    std::unique_ptr<process> run;
};

struct agent_node {
    std::string id;
    bool model = false;
    port_reservation links;
    port_reservation ops;
    port_reservation backend;
    std::unique_ptr<fault_proxy> peers;  // entries to this agent
    std::unique_ptr<fault_proxy> server; // this agent to its backend server
    std::unique_ptr<process> run;
    std::unique_ptr<process> backend_run;
};

class fleet {
public:
    // Starts everything and waits until every entry serves every service.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<fleet>> create(fleet_options options);

    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    [[nodiscard]] int entries() const { return static_cast<int>(this->entry_nodes.size()); }
    [[nodiscard]] entry_node& entry(int index) { return *this->entry_nodes[index]; }
    [[nodiscard]] std::vector<std::unique_ptr<agent_node>>& agents() { return this->agent_nodes; }
    [[nodiscard]] process& platform() { return *this->platform_run; }

    // A caller of the team through the proxy in front of that entry.
    [[nodiscard]] caller caller_of(int entry_index,
                                   absl::Duration patience = absl::Seconds(60)) const;

    // Writes a catalogue entry as an operator would.
    [[nodiscard]] bool put_entry(const std::string& name, const std::string& spec) const;

    // Sends an order to the platform's stand-in, such as "/admin/outage?mode=drop".
    bool order_platform(const std::string& path, const std::string& body = "") const;
    // Lists an instance as the platform does, after its lag.
    bool list_instance(const std::string& id, const std::string& spec) const;
    bool unlist_instance(const std::string& id) const;
    // Returns the JSON text of the instance list's object for an agent; with `earlier_leaving` it
    // shows an earlier incarnation as leaving.
    [[nodiscard]] static std::string instance_spec(const agent_node& agent, bool earlier_leaving);

    // How often requests with this key ran on the plain services, over all their lives.
    [[nodiscard]] int runs_of(const std::string& key) const;
    // How often the model engines began a request with this id, over all their lives.
    [[nodiscard]] int engine_attempts(const std::string& request_id) const;

    // The body of an HTTP page on this machine, or the empty text.
    [[nodiscard]] static std::string get_page(const address& at, const std::string& path);
    // Number of the catalogue that is in force on a process, or 0 where it does not say or is not
    // ready.
    [[nodiscard]] static std::uint64_t catalogue_number(const address& ops);

    // Heals every proxy, ends the platform's faults, wakes and restarts what is frozen or gone, and
    // waits until every entry serves every service again.
    [[nodiscard]] absl::Status restore();

private:
    explicit fleet(fleet_options configured) : options(std::move(configured)) {}

    [[nodiscard]] absl::Status start_platform();
    [[nodiscard]] absl::Status start_agent(int index, bool model);
    [[nodiscard]] absl::Status start_entry(int index);
    [[nodiscard]] absl::Status write_catalogue();
    [[nodiscard]] absl::Status start_process(std::unique_ptr<process>& into,
                                             process_options wanted);
    [[nodiscard]] absl::StatusOr<std::unique_ptr<fault_proxy>> make_proxy(const address& server,
                                                                          bool frames) const;
    void list_all_instances() const;
    [[nodiscard]] absl::Status wait_until_serving();
    [[nodiscard]] bool all_links_up();
    [[nodiscard]] bool serves_all(int entry_index);
    [[nodiscard]] std::string ledger_path(bool model) const;
    [[nodiscard]] std::string proxied_agents() const;

    const fleet_options options;
    const temp_directory files;
    // No other fleet's. A port that one fleet gives up may become another's, and a process that
    // still dials it would bring its own catalogue there.
    const std::string key = "fleet key of " + this->files.path();
    std::shared_ptr<wire::tls_context> tls;
    port_reservation platform_port;
    std::unique_ptr<process> platform_run;
    std::vector<std::unique_ptr<agent_node>> agent_nodes;
    std::vector<std::unique_ptr<entry_node>> entry_nodes;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_FLEET_H_
