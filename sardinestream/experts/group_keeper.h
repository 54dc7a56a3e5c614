// Keeps this rank's engine in the group incarnation that is in force.
//
// The object `rankgroups/<group>` names the group incarnation, the incarnation of every rank's
// engine and the map that the group starts with. An engine that has started again is not named in
// it, so the group must form anew: the agent of the lowest rank that can be reached takes the next
// group incarnation by a conditional update, tells the others, and each orders its own engine to
// join. Nothing here is needed while all engines live, so a group runs on through an outage of the
// store.
//
// Owns the group object as known here. Never touches votes.
//
//     auto keeper = group_keeper::create(options, engine, store, peers).value();
//
// Thread-safe.

#ifndef SARDINESTREAM_EXPERTS_GROUP_KEEPER_H_
#define SARDINESTREAM_EXPERTS_GROUP_KEEPER_H_

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

// The group object.
struct rank_group {
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> engines; // incarnation of each rank's engine
    expert_mapT map;                    // what the group starts with
};

[[nodiscard]] std::string group_to_json(const rank_group& group);
[[nodiscard]] absl::StatusOr<rank_group> group_from_json(absl::string_view text);

struct keeper_options {
    std::string group;
    int rank = 0;
    int ranks = 1;
    std::uint64_t agent_incarnation = 0;
    // Size of the model, for the map of a group that forms for the first time.
    std::uint32_t layers = 1;
    std::uint32_t experts_per_layer = 1;
    absl::Duration poll_interval = absl::Milliseconds(250);
    absl::Duration query_timeout = absl::Milliseconds(500);
};

class group_keeper {
public:
    // `engine` and `store` must outlive the keeper.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<group_keeper>>
    create(keeper_options options, engine_client& engine, platform::object_store& store,
           agent_peers peers);

    ~group_keeper();
    group_keeper(const group_keeper&) = delete;
    group_keeper& operator=(const group_keeper&) = delete;

    // Answers another agent's group_query and notes what it says.
    [[nodiscard]] group_stateT answer_query(const group_queryT& query);

    // Takes in the group as another agent knows it.
    void note_state(const group_stateT& state);

    // The group in force as known here, or nothing.
    [[nodiscard]] std::optional<rank_group> current() const;

private:
    group_keeper(keeper_options options, engine_client& engine, platform::object_store& store,
                 agent_peers peers);

    void keep();
    void keep_once();
    void adopt(rank_group group);
    void adopt_json(absl::string_view spec);
    void read_store();
    [[nodiscard]] bool lower_rank_forms(const engine_state& own);
    [[nodiscard]] absl::StatusOr<group_stateT> ask(int rank, const engine_state& own);
    void form_group(const engine_state& own);
    [[nodiscard]] rank_group next_group(const std::vector<std::uint64_t>& engines);
    [[nodiscard]] absl::Status write_group(const rank_group& next);
    void tell_group();
    void join_engine();
    [[nodiscard]] group_stateT make_state();

    const keeper_options settings;
    engine_client& engine;
    platform::object_store& store;
    const agent_peers peers;

    mutable absl::Mutex mutex;
    std::optional<rank_group> known ABSL_GUARDED_BY(mutex);
    std::string known_spec ABSL_GUARDED_BY(mutex);
    // As last read; zero where the engine cannot be read.
    std::uint64_t own_engine ABSL_GUARDED_BY(mutex) = 0;
    // Another rank's engine is not the one that the group names.
    bool asked_to_form ABSL_GUARDED_BY(mutex) = false;
    bool poked ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    // The engine's step at the last look; a group that stands still may have formed anew elsewhere.
    std::uint64_t last_step = 0; // keeping thread only
    std::thread keeping;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_GROUP_KEEPER_H_
