// The system under the soak: the real programs as processes, and around them the emulated store and
// servers, with a proxy on every TCP link that a fault may affect.
//
//     auto fleet = soak_fleet::create(size, ledger);
//     (*fleet)->inject(fault);
//     (*fleet)->run_until(end);
//     (*fleet)->heal();
//
// Every machine has an address of its own on the loopback. Only processes that were started here
// are signalled. Belongs to one thread.

#ifndef SARDINESTREAM_TESTING_SOAK_SOAK_FLEET_H_
#define SARDINESTREAM_TESTING_SOAK_SOAK_FLEET_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sardinestream/testing/emulator/backend_emulator.h"
#include "sardinestream/testing/emulator/rank_group.h"
#include "sardinestream/testing/emulator/store_emulator.h"
#include "sardinestream/testing/loopback_network.h"
#include "sardinestream/testing/process.h"
#include "sardinestream/testing/soak/chaos_proxy.h"
#include "sardinestream/testing/soak/cpu_throttle.h"
#include "sardinestream/testing/soak/fault_series.h"
#include "sardinestream/testing/soak/promise_ledger.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

inline constexpr char soak_host[] = "soak.example";
inline constexpr char soak_key[] = "key-of-the-team";
inline constexpr char soak_team[] = "kasongan";

class soak_fleet {
public:
    // Starts everything and waits until every entry is ready.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<soak_fleet>> create(const soak_size& size,
                                                                            promise_ledger& ledger);
    ~soak_fleet();
    soak_fleet(const soak_fleet&) = delete;
    soak_fleet& operator=(const soak_fleet&) = delete;

    // Begins a fault; its end is left to `run_until`.
    void inject(const soak_fault& fault);
    // Does what is due until `end`.
    void run_until(steady_time end);
    // Ends every fault, restarts what is gone, and waits until every entry is ready again.
    [[nodiscard]] absl::Status heal();
    // Stops the processes as planned and says which did not end well.
    void shut_down();

    [[nodiscard]] address entry_address(int index) const;
    [[nodiscard]] int entries() const { return static_cast<int>(this->entry_nodes.size()); }
    // Passes that the groups of ranks made.
    [[nodiscard]] std::int64_t passes() const;
    [[nodiscard]] const std::string& log_directory() const { return this->files.path(); }

private:
    // A server that is gone leaves the list after this.
    static constexpr std::chrono::milliseconds entry_lifetime{1200};
    static constexpr std::chrono::milliseconds listen_time{1000};
    // One of the real programs.
    struct program_node {
        std::string name;
        // The address that callers use, where it is an entry.
        std::string entry;
        std::string settings_path;
        std::unique_ptr<process> run;
        // What the process may take.
        double memory_mb = 0;
        // It has taken more.
        bool exceeds_memory = false;
        // A fault has it stopped, killed or frozen.
        bool disturbed = false;
    };
    struct server_node {
        std::unique_ptr<backend_emulator> server;
        std::unique_ptr<chaos_proxy> proxy;
        int starts = 1;
        // Writes of its entry.
        std::int64_t writes = 0;
        // It leaves, or is down.
        bool disturbed = false;
    };
    using task = std::function<void()>;

    soak_fleet(const soak_size& wanted, promise_ledger& shared);

    [[nodiscard]] absl::Status start();
    void throttle_programs();
    // Of each group of model servers, but for its name.
    [[nodiscard]] rank_group_options group_options() const;
    // The group of a model server, and its rank there.
    [[nodiscard]] rank_group& group_of(std::size_t server) const;
    [[nodiscard]] int rank_of(std::size_t server) const;
    [[nodiscard]] absl::Status start_servers();
    [[nodiscard]] absl::Status start_server(backend_options options);
    [[nodiscard]] absl::Status start_programs();
    [[nodiscard]] absl::Status start_program(std::vector<program_node>& into,
                                             const std::string& binary, const std::string& name,
                                             const std::string& settings);
    [[nodiscard]] absl::Status restart(program_node& node);
    [[nodiscard]] absl::Status wait_until_ready();
    [[nodiscard]] bool is_ready(int entry) const;
    void write_config();
    void list_server(server_node& node);

    void after(std::chrono::milliseconds delay, task work);
    void watch_programs();
    // Notes a process that takes more memory than its machine gives it.
    void watch_memory(program_node& node);
    // A planned stop, with a second SIGTERM where `twice` is set. The process must end well within
    // its grace.
    void stop_program(program_node& node, bool twice);
    void await_end(program_node& node, steady_time kill_at);
    // Notes a process that has not ended with status zero and the last line of a stop.
    void check_end(const program_node& node);
    void note_overdue(const program_node& node);
    // Holds the process for most of the time until it is gone.
    void starve(program_node& node, pid_t starved);
    void stop_entry(int index);
    void roll_entries(int next, const soak_fault& fault);
    // Goes on once the entry is back.
    void roll_entries_after(int index, const soak_fault& fault);
    void stop_amid_reloads(const soak_fault& fault);
    void stop_amid_configs(int index);
    void roll_servers(std::size_t next, const soak_fault& fault);
    void roll_agents(const soak_fault& fault);
    // An entry stops `delay` after the group runs again, its agent where `target` names one.
    void stop_when_recovered(std::chrono::milliseconds delay, const soak_fault& fault);
    void inject_stops(const soak_fault& fault);
    void reload_program(program_node& node);
    void restart_when_gone(program_node& node);
    void kill_program(program_node& node, std::chrono::milliseconds away);
    void freeze_program(program_node& node, std::chrono::milliseconds away);
    // The server is away for so long before it is replaced.
    void leave_server(server_node& node, std::chrono::milliseconds away = {});
    void say_leaving(server_node& node, const soak_fault& fault);
    void hold_off(server_node& node, const soak_fault& fault);
    void name_limit(server_node& node, const soak_fault& fault);
    // A leaving server ends, and another takes its place.
    void replace_server(server_node& node, std::chrono::milliseconds away = {});
    // Tries until `latest` to listen.
    void return_server(server_node& node, const std::string& id,
                       steady_time latest = steady_clock::now() + listen_time);
    void crash_server(server_node& node, const soak_fault& fault);
    // Ends the servers that have begun to answer a request with the crashing part.
    void crash_due_servers();
    void trouble_server(server_node& node, const soak_fault& fault);
    void trouble_link(chaos_proxy& proxy, const soak_fault& fault);
    void trouble_store(const soak_fault& fault);
    // The store loses what is written during the fault, among it changes of the desired state.
    void restore_store(const soak_fault& fault);
    // Servers write again what a restored store has lost.
    void rewrite_servers();
    // Removes the entries of servers that do not run.
    void expire_entries();
    void lapse_entries(const soak_fault& fault);
    void delay_orders(const soak_fault& fault);
    void evacuate(const soak_fault& fault);
    void inject_program(const soak_fault& fault);
    void slow_rank(std::size_t server, const soak_fault& fault);
    void inject_house(const soak_fault& fault);
    void roll_machines(const soak_fault& fault);
    // The agent that the others of its group follow, by the log of one that runs; null where none
    // is known.
    [[nodiscard]] program_node* coordinator_of(std::size_t group);
    // Waits until ranks of the group are armed, until `latest` at most.
    void stop_coordinator(std::size_t group, steady_time latest);
    void inject_surroundings(const soak_fault& fault);
    [[nodiscard]] std::string ip(int group, int number) const;
    // The data centre of a server, by its number.
    [[nodiscard]] static std::string data_centre_of(std::size_t server);
    [[nodiscard]] bool has_other_server(const server_node& node) const;

    const soak_size size;
    promise_ledger& ledger;
    const temp_directory files;
    std::optional<loopback_network> network;
    std::unique_ptr<store_emulator> store;
    std::vector<std::unique_ptr<rank_group>> groups;
    // Model servers first.
    std::vector<server_node> servers;
    std::vector<std::unique_ptr<chaos_proxy>> store_proxies;
    std::vector<program_node> entry_nodes;
    std::vector<program_node> agent_nodes;
    int config_version = 0;
    bool moved = false;
    std::multimap<steady_time, task> due;
    std::unique_ptr<cpu_throttle> throttle;
    absl::Mutex mutex;
    // Servers, by their number, that crash under a request.
    std::set<std::size_t> crashing ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_SOAK_FLEET_H_
