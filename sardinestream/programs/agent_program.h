// Runs an agent: monitors the local engine, reports its load to the entries, and takes part in
// changing the expert map of its rank group. One agent of each group coordinates these changes.
//
// A single thread runs an event loop that waits for the next datagram or the next poll of the
// engine, whichever comes first.
//
// Coordinator election: an agent that receives nothing from a coordinator starts the next term. An
// agent follows the highest term that it has received and includes that term in every state
// message. A coordinator accepts only states of its own term, so two coordinators cannot complete
// a switch between them.
//
// Stop: an agent that coordinates completes the switch in progress, and begins nothing. It then
// appoints a successor, by a directive that names that rank as the coordinator of the next term,
// and goes on as before until the successor's own directive arrives. Each agent that stops tells
// its coordinator so, which from then on calls the engine of that rank directly. All of this is
// bounded in time; whatever remains is found by the silence of the agent.

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

#include "sardinestream/maps/engine_interface.h"
#include "sardinestream/maps/map_coordinator.h"
#include "sardinestream/maps/stalled_hold_guard.h"
#include "sardinestream/peers/datagram_socket.h"
#include "sardinestream/peers/group_endpoints.h"
#include "sardinestream/programs/agent_status.h"
#include "sardinestream/programs/agentless_ranks.h"
#include "sardinestream/programs/engine_monitor.h"
#include "sardinestream/programs/rank_messages.h"
#include "sardinestream/programs/suspects_copy.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"

namespace sardinestream {

struct agent_options {
    // Address of this machine, by which entries and other agents reach the agent.
    std::string ip;
    message_channel messages;
    address engine;
    engine_connector connect;
    // Configured planner weights: of even load over the ranks, and of the cost of copying experts.
    double skew_weight = 1;
    double rebalance_weight = 1;
};

class agent_program {
public:
    explicit agent_program(agent_options chosen);

    // Runs on the calling thread until `stop` is called and the agent's part in its group has been
    // handed over, at most `max_leave_time` later.
    void run();
    // May be called from any thread, any number of times.
    void stop() { this->stopping = true; }

    // May be called from any thread.
    [[nodiscard]] agent_status status() const;

    static constexpr std::chrono::milliseconds max_leave_time{600};

private:
    // An agent that has sent no state for this long counts as unresponsive.
    static constexpr std::chrono::milliseconds agent_timeout{800};

    // The coordinator that the agent follows. No two coordinators have the same term.
    struct coordinator_term {
        std::uint64_t term = 0;
        int rank = 0;
        std::uint32_t ip = 0;
    };

    // The fields of an engine report whose changes the coordinator waits for.
    struct map_progress {
        std::int64_t map_version = 0;
        std::int64_t prepared_version = 0;
        std::optional<armed_switch> armed;
        std::optional<std::int64_t> held_step;

        friend bool operator==(const map_progress&, const map_progress&) = default;
    };

    // Identifies the expert list that was last sent to the coordinator.
    struct reported_experts {
        std::uint64_t term = 0;
        std::int64_t epoch = -1;
        std::int64_t map_version = -1;

        friend bool operator==(const reported_experts&, const reported_experts&) = default;
    };

    // What an agent that has been asked to stop has done so far.
    struct leave_progress {
        steady_time since{};
        // Since when no coordinator role is left to hand over.
        steady_time follower_since{};
        // The rank that was appointed last, and how often.
        int appointed_rank = -1;
        int appointments = 0;
    };

    void publish_status();
    [[nodiscard]] std::chrono::milliseconds poll_interval() const;
    void receive_messages();
    void handle_message(const gossip::MessageT& message);
    void handle_hello(const gossip::EntryHelloT& hello);
    // Returns the addresses of the entries that have sent a hello lately.
    [[nodiscard]] std::vector<std::uint32_t> entries_alive();
    void handle_endpoints(const gossip::GroupPlacesT& message);
    void handle_directive(const gossip::DirectiveT& directive);
    // Forwards a directive to the agents listed in its `pass_on` field.
    void forward(const gossip::DirectiveT& directive) const;
    void handle_state(const gossip::RankStateT& state);
    // Records that the agent of a rank reports, or that it stops.
    void record_agent(const gossip::RankStateT& state);
    // Has the ranks without a responsive agent read at once.
    void read_agentless_soon();

    // Reads the engine's report and expert counts, and sends them to the entries and the
    // coordinator as they fall due.
    void poll_engine();
    // Reads the engine's report and clears all group state if the engine has moved to another
    // group. Returns false if the engine does not answer.
    [[nodiscard]] bool refresh();
    void drop_old_maps();
    // Returns true while the engine copies experts, is held, or waits for the step of an armed
    // switch.
    [[nodiscard]] bool is_changing_map() const;
    // Returns true if this rank is the one on which the switch to its prepared map is held.
    [[nodiscard]] bool may_be_held() const;
    // Cancels a switch that holds the group at this rank and that no coordinator completes. Returns
    // false if the engine answers no more or has left its group.
    [[nodiscard]] bool end_stalled_hold();
    // Returns an order that makes the engine prepare another map, if known the one in use, which
    // needs no copies. Returns no value if no map is known.
    [[nodiscard]] std::optional<engine_order> make_superseding_order();
    [[nodiscard]] map_progress progress() const;
    // Returns true if the map progress differs from what the coordinator was last sent.
    [[nodiscard]] bool has_unreported_progress() const;
    void report_to_entries();
    // Sends the state to the machine with address `ip`; sends nothing if `ip` is zero.
    void send_state(std::uint32_t ip, bool with_counts);
    [[nodiscard]] gossip::RankStateT make_state(bool with_counts);
    // Returns true if the coordinator may not know the experts of this rank.
    [[nodiscard]] bool experts_are_due();

    void execute_order(const engine_order& order, std::uint64_t term);
    void follow(const coordinator_term& term);
    void start_coordinating_if_due();
    // Returns true if the places of all ranks are known, so that this agent could coordinate.
    [[nodiscard]] bool knows_group() const;
    void start_coordinating(std::uint64_t term);
    void stop_coordinating(const coordinator_term& successor);
    void coordinate();
    // Handles a directive by which a coordinator that stops makes this rank its successor.
    void accept_appointment(const coordinator_term& appointed);
    // Takes the next step of a stop. Returns true once nothing is left to do.
    [[nodiscard]] bool proceed_leaving();
    // Makes the next candidate, or the last one once more, the successor of this coordinator.
    // Returns false if there is none.
    [[nodiscard]] bool appoint_successor();
    // Returns the rank after `previous` whose agent has reported lately; -1 if there is none.
    [[nodiscard]] int next_candidate(int previous) const;
    void poll_agentless_ranks();
    // Reads these ranks, the one that was read least recently first, until calls without an answer
    // have taken too long.
    void read_agentless(std::vector<int> ranks);
    // Returns true if the agent of `rank` has sent nothing for some time.
    [[nodiscard]] bool is_silent(int rank) const;
    // Returns true unless this agent stops and has no time left for calls of other ranks' engines,
    // which may not answer.
    [[nodiscard]] bool may_call_others() const;
    // Orders the engine of another rank to hold the group, without its agent: if this machine
    // freezes right after the order, that agent can still end the hold.
    void order_hold(const engine_order& order, int rank);
    // Issues one order to several ranks.
    void issue_order(const rank_order& wanted, absl::Span<const int> ranks);
    [[nodiscard]] engine_order make_order(const rank_order& wanted) const;
    // Returns the map against which the wanted map is sent as a list of changes, or null if the
    // complete wanted map is sent.
    [[nodiscard]] const versioned_map* base_map_for(const rank_order& wanted) const;
    void send_order(const rank_order& wanted, const engine_order& order,
                    std::vector<std::uint32_t> receivers);
    [[nodiscard]] rank_state own_state() const;
    [[nodiscard]] gossip::DirectiveT make_directive() const;
    void send_heartbeats();
    void send_due_heartbeats();
    // Return true when it is time to send the counts, or the state without counts. Larger groups
    // send both less often.
    [[nodiscard]] bool counts_are_due();
    [[nodiscard]] bool state_is_due();
    [[nodiscard]] bool is_coordinating() const { return this->coordinator != nullptr; }

    const agent_options options;
    engine_monitor engine;
    // Ranks without a responsive agent, whose engines this agent calls directly while it
    // coordinates.
    agentless_ranks agentless;
    std::atomic<bool> stopping = false;
    std::uint64_t sequence = 0;

    // The time of the last hello of each entry, by address.
    std::map<std::uint32_t, steady_time> entries;
    // Endpoints of the engine's group as received from the entries, and the time since which all of
    // them have been known.
    group_endpoints endpoints;
    steady_time complete_since{};
    map_shape shape;
    planner_options planner;

    prepare_record prepares;
    steady_time last_prepare{};
    stalled_hold_guard hold_guard;
    // The map in use and the newest one received, as far as they are known.
    known_maps maps;
    map_progress reported_progress;
    reported_experts last_reported_experts;
    steady_time next_experts{};

    suspects_copy suspects;

    coordinator_term followed;
    steady_time last_directive;
    steady_time next_poll{};
    // Interval between reports to the entries, as they request it.
    std::chrono::milliseconds report_interval{100};
    steady_time next_report{};
    steady_time next_counts{};
    steady_time next_state{};
    steady_time next_heartbeat{};
    std::unique_ptr<map_coordinator> coordinator;
    // True if states have arrived that the coordinator has not yet processed.
    bool has_new_states = false;
    // The newest sequence number from each rank's agent in the current term.
    std::map<int, std::uint64_t> state_sequences;
    std::map<int, steady_time> state_times;
    std::optional<leave_progress> leaving;
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
