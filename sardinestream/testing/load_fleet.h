// The fleet that the load bench runs against: real processes at today's sizes, in three data
// centres, with the delay between data centres on each link from an entry to an agent.
//
//     auto fleet = load_fleet::create({.policy = "round_robin"});
//     ... (*fleet)->entry_address(0) ...
//     (*fleet)->engine(3).freeze();
//
// Owns processes and relays. Faults are those of `process`; see also fault_proxy, which injects at
// exact messages and is too slow for load.

#ifndef SARDINESTREAM_TESTING_LOAD_FLEET_H_
#define SARDINESTREAM_TESTING_LOAD_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "sardinestream/testing/delay_relay.h"
#include "sardinestream/testing/process.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace sardinestream::testing {

struct load_team {
    std::string name;
    std::string key;
    double share = 0; // of the arrivals
    int max_in_flight = 1000;
    int requests_per_s = 10000;
};

struct load_fleet_options {
    int entries = 3;
    int engines = 16;
    int services = 3;
    int slots = 4;
    absl::Duration token_time = absl::Milliseconds(15);
    absl::Duration prefill_token_time = absl::Microseconds(200);
    // Prefix blocks that an engine caches.
    int cached_blocks = 320;
    absl::Duration data_centre_delay = absl::Microseconds(1500);
    std::string policy = "expected_first_token";
    std::vector<load_team> teams;
};

// Processor time, memory and bytes of one process so far.
struct process_cost {
    double cpu_s = 0;
    double resident_mb = 0;
    double bytes = 0; // read and written
};

class load_fleet {
public:
    // Starts everything and waits until each entry serves each service.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<load_fleet>>
    create(load_fleet_options options);

    ~load_fleet() = default;
    load_fleet(const load_fleet&) = delete;
    load_fleet& operator=(const load_fleet&) = delete;

    [[nodiscard]] const address& entry_address(int index) const;
    [[nodiscard]] const address& engine_address(int index) const;
    [[nodiscard]] process& entry(int index) { return *this->entry_nodes[index].run; }
    [[nodiscard]] process& agent(int index) { return *this->agent_nodes[index].run; }
    [[nodiscard]] process& engine(int index) { return *this->agent_nodes[index].backend; }
    [[nodiscard]] int agents() const { return static_cast<int>(this->agent_nodes.size()); }
    [[nodiscard]] int entries() const { return static_cast<int>(this->entry_nodes.size()); }
    [[nodiscard]] const load_fleet_options& options() const { return this->configured; }

    // Agents whose data centre is `index` of 3.
    [[nodiscard]] bool is_in_data_centre(int agent, int index) const { return agent % 3 == index; }
    // Cuts every link between entries and agents that crosses into this data centre, for good.
    void cut_data_centre(int index);

    // Sends an order to the platform's stand-in; see platform_standin.h.
    bool order_platform(const std::string& path, const std::string& body = "") const;
    // Sends an order to an engine's stand-in; see standin_engine.h.
    bool order_engine(int index, const std::string& path, const std::string& body = "") const;

    // Attempts that engines began, and the most runs of any non-repeatable key; `unreadable` where
    // the stand-ins' ledger has gone.
    static constexpr int unreadable = -1;
    [[nodiscard]] int engine_attempts() const;
    [[nodiscard]] int most_runs_of_a_key() const;

    [[nodiscard]] static process_cost cost_of(const process& measured);

private:
    struct agent_node {
        port_reservation links;
        port_reservation backend_port;
        std::unique_ptr<process> backend;
        std::unique_ptr<process> run;
    };
    struct entry_node {
        port_reservation http;
        port_reservation links;
        std::vector<std::unique_ptr<delay_relay>> relays; // one for each agent, null where near
        std::unique_ptr<process> run;
    };

    explicit load_fleet(load_fleet_options chosen) : configured(std::move(chosen)) {}

    [[nodiscard]] absl::Status start(std::unique_ptr<process>& into, const std::string& binary,
                                     const std::string& name, std::vector<std::string> flags);
    [[nodiscard]] absl::Status start_agents();
    [[nodiscard]] absl::Status start_entries();
    [[nodiscard]] absl::Status write_catalogue() const;
    [[nodiscard]] absl::StatusOr<std::string> seeds_of(int entry);
    [[nodiscard]] absl::Status wait_until_serving() const;

    const load_fleet_options configured;
    temp_directory files;
    port_reservation platform_port;
    std::unique_ptr<process> platform;
    std::vector<agent_node> agent_nodes; // engines first
    std::vector<entry_node> entry_nodes;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_LOAD_FLEET_H_
