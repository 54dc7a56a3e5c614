// The agent as a program: it watches the engine beside it, tells the entries how loaded it is, and
// takes part in changing the expert map of its group, which one agent of the group coordinates.
//
// One thread does all of it, straight down: a datagram, or the time for the next look at the
// engine, whichever comes first.
//
// Who coordinates: an agent that hears no coordinator takes the next term. An agent obeys the
// highest term that it has heard, and says which that is in every state; a coordinator counts only
// states of its own term, so two of them can never bring about a switch together.

#ifndef SARDINESTREAM_PROGRAMS_AGENT_PROGRAM_H_
#define SARDINESTREAM_PROGRAMS_AGENT_PROGRAM_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sardinestream/maps/engine_port.h"
#include "sardinestream/maps/map_coordinator.h"
#include "sardinestream/peers/datagram_socket.h"
#include "sardinestream/peers/group_endpoints.h"
#include "sardinestream/programs/agent_status.h"
#include "sardinestream/programs/agentless_ranks.h"
#include "sardinestream/programs/engine_monitor.h"
#include "sardinestream/programs/rank_messages.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"

namespace sardinestream {

struct agent_options {
    std::string ip;
    message_channel messages;
    address engine;
    engine_connector connect;
    // The users' weights of even load over the ranks and of copies of experts.
    double skew_weight = 1;
    double rebalance_weight = 1;
};

class agent_program {
public:
    explicit agent_program(agent_options chosen);

    // Runs until `stop`, on the calling thread.
    void run();
    // May be called from any thread.
    void stop() { this->stopping = true; }

    // May be called from any thread.
    [[nodiscard]] agent_status status() const;

private:
    // Whom the agent obeys. No two coordinators have the same term.
    struct coordinator_term {
        std::uint64_t term = 0;
        int rank = 0;
        std::uint32_t ip = 0;
    };

    // What of a report the coordinator waits for.
    struct map_progress {
        std::int64_t map_version = 0;
        std::int64_t prepared_version = 0;
        std::optional<armed_switch> armed;
        std::optional<std::int64_t> held_step;

        friend bool operator==(const map_progress&, const map_progress&) = default;
    };

    // What the experts that were told last belong to.
    struct reported_experts {
        std::uint64_t term = 0;
        std::int64_t epoch = -1;
        std::int64_t map_version = -1;

        friend bool operator==(const reported_experts&, const reported_experts&) = default;
    };

    void publish_status();
    void receive_messages();
    void handle_message(const news::NewsT& message);
    void handle_hello(const news::EntryHelloT& hello);
    void handle_endpoints(const news::GroupPlacesT& told);
    void handle_directive(const news::DirectiveT& directive);
    // Sends a directive on to those whom its sender has left to this agent.
    void forward(const news::DirectiveT& directive) const;
    void handle_state(const news::RankStateT& state);

    // Reads the engine's report and counts, and tells who needs to know.
    void poll_engine();
    // Reads the engine again; forgets the group where the engine has moved to another.
    [[nodiscard]] bool refresh();
    void drop_old_maps();
    // The engine copies experts or waits for the pass of a switch.
    [[nodiscard]] bool is_changing_map() const;
    // Whether anything that the coordinator waits for has changed since the last call.
    [[nodiscard]] bool has_unreported_progress();
    void report_to_entries();
    // To the machine with this address; zero is nobody.
    void send_state(std::uint32_t ip, bool with_counts);
    [[nodiscard]] news::RankStateT make_state(bool with_counts);
    // Whether the coordinator may not know the experts of this rank.
    [[nodiscard]] bool experts_are_due();

    void execute_order(const engine_order& order, std::uint64_t term);
    void follow(const coordinator_term& term);
    void start_coordinating_if_due();
    void start_coordinating();
    void stop_coordinating(const coordinator_term& successor);
    void coordinate();
    void poll_agentless_ranks();
    // Gives one order to several ranks.
    void issue_order(const rank_order& wanted, absl::Span<const int> ranks);
    [[nodiscard]] engine_order make_order(const rank_order& wanted) const;
    // The map whose changes are told in place of the wanted one; null where all of it is told.
    [[nodiscard]] const versioned_map* base_map_for(const rank_order& wanted) const;
    void send_order(const rank_order& wanted, const engine_order& order,
                    std::vector<std::uint32_t> receivers);
    [[nodiscard]] rank_state own_state() const;
    [[nodiscard]] news::DirectiveT make_directive() const;
    void send_heartbeats();
    void send_due_heartbeats();
    // Whether it is time to send counts, or the state alone; larger groups send them less often.
    [[nodiscard]] bool counts_are_due();
    [[nodiscard]] bool state_is_due();
    [[nodiscard]] bool is_coordinating() const { return this->coordinator != nullptr; }

    const agent_options options;
    engine_monitor engine;
    // Ranks that this agent reaches itself while it coordinates.
    agentless_ranks agentless;
    std::atomic<bool> stopping = false;
    std::uint64_t sequence = 0;

    // Entries, by address, and when they were heard last.
    std::map<std::uint32_t, steady_time> entries;
    // The group of the engine, as the entries describe it, and since when it is known whole.
    group_endpoints endpoints;
    steady_time complete_since{};
    map_shape shape;
    planner_options planner;

    prepare_record prepares;
    steady_time last_prepare{};
    // The map in use and the newest one that was told, as far as they are known.
    known_maps maps;
    map_progress last_progress;
    reported_experts last_reported_experts;
    steady_time next_experts{};

    coordinator_term followed;
    steady_time last_directive;
    steady_time next_poll{};
    // How often the entries are told, and the coordinator is told what was chosen.
    std::chrono::milliseconds report_interval{100};
    steady_time next_report{};
    steady_time next_counts{};
    steady_time next_state{};
    steady_time next_heartbeat{};
    std::unique_ptr<map_coordinator> coordinator;
    // States have come that the coordinator has not considered yet.
    bool has_new_states = false;
    // The newest sequence of each rank's agent, of the present term.
    std::map<int, std::uint64_t> state_sequences;
    std::map<int, steady_time> state_times;
    steady_time last_agentless_poll{};
    steady_time coordinating_since{};
    bool has_received_directive = false;
    std::minstd_rand random{std::random_device()()};

    mutable absl::Mutex status_mutex;
    agent_status published ABSL_GUARDED_BY(status_mutex);
    steady_time published_at ABSL_GUARDED_BY(status_mutex){};
};

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_AGENT_PROGRAM_H_
