// Keeps this rank's engine a member of the current group incarnation.
//
// The object `rankgroups/<group>` in the store records the group incarnation, the incarnation of
// every rank's engine and the map with which the group starts. A restarted engine has an
// incarnation that the object does not list, so the group must be formed again: the agent of the
// lowest reachable rank writes the next group incarnation by a conditional update and notifies the
// other agents, and each agent orders its own engine to join. None of this is needed while all
// engines keep running, so a group continues during an outage of the store.
//
// Owns this agent's copy of the group object. Takes no part in votes.
//
//     auto manager = rank_group_manager::create(options, engine, store, peers).value();
//
// Thread-safe.

#ifndef SARDINESTREAM_EXPERTS_RANK_GROUP_MANAGER_H_
#define SARDINESTREAM_EXPERTS_RANK_GROUP_MANAGER_H_

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/experts/agent_peers.h"
#include "sardinestream/experts/engine_client.h"
#include "sardinestream/store/object_store.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::experts {

constexpr char rank_group_kind[] = "rankgroups";

// The group object in the store.
struct rank_group {
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> engines; // incarnation of each rank's engine
    expert_mapT map;                    // with which the group starts
};

[[nodiscard]] std::string group_to_json(const rank_group& group);
[[nodiscard]] absl::StatusOr<rank_group> group_from_json(absl::string_view text);

struct rank_group_manager_options {
    std::string group;
    int rank = 0;
    int ranks = 1;
    std::uint64_t agent_incarnation = 0;
    // Dimensions of the model, for the first map of a new group.
    std::uint32_t layers = 1;
    std::uint32_t experts_per_layer = 1;
    absl::Duration poll_interval = absl::Milliseconds(250);
    absl::Duration query_timeout = absl::Milliseconds(500);
};

class rank_group_manager {
public:
    // `engine` and `store` must outlive the manager.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<rank_group_manager>>
    create(rank_group_manager_options options, engine_client& engine, platform::object_store& store,
           agent_peers peers);

    ~rank_group_manager();
    rank_group_manager(const rank_group_manager&) = delete;
    rank_group_manager& operator=(const rank_group_manager&) = delete;

    // Answers another agent's group_query. Schedules a formation of the group if the group object
    // does not list the engine incarnation that the query reports.
    [[nodiscard]] group_stateT answer_query(const group_queryT& query);

    // Adopts the group object that another agent reports, if it is newer.
    void note_state(const group_stateT& state);

    // Returns the newest group object that this agent knows, if any.
    [[nodiscard]] std::optional<rank_group> current() const;

private:
    rank_group_manager(rank_group_manager_options options, engine_client& engine,
                       platform::object_store& store, agent_peers peers);

    void run();
    void run_once();
    void adopt(rank_group group);
    void adopt_json(absl::string_view spec);
    void read_store();
    [[nodiscard]] bool lower_rank_is_live(const engine_state& own);
    [[nodiscard]] absl::StatusOr<group_stateT> ask(int rank, const engine_state& own);
    void form_group(const engine_state& own);
    [[nodiscard]] rank_group next_group(const std::vector<std::uint64_t>& engines);
    [[nodiscard]] absl::Status write_group(const rank_group& next);
    void broadcast_group();
    void join_engine();
    [[nodiscard]] group_stateT make_state();

    const rank_group_manager_options settings;
    engine_client& engine;
    platform::object_store& store;
    const agent_peers peers;

    mutable absl::Mutex mutex;
    std::optional<rank_group> current_group ABSL_GUARDED_BY(mutex);
    std::string current_group_spec ABSL_GUARDED_BY(mutex);
    // Incarnation of this rank's engine as last read; zero if the engine cannot be read.
    std::uint64_t own_engine ABSL_GUARDED_BY(mutex) = 0;
    // Another rank reported an engine incarnation that the group object does not list.
    bool formation_requested ABSL_GUARDED_BY(mutex) = false;
    bool wake_requested ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    // The engine's step as last read. A group that makes no progress may have been formed again by
    // other agents. Used only by the worker thread.
    std::uint64_t last_step = 0;
    std::thread worker;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_RANK_GROUP_MANAGER_H_
