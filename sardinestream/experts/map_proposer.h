// Proposes a group's next expert map and collects the votes on it. Any agent may propose; by
// default the agent of the lowest live rank does.
//
// First every rank stages the weights, which takes long and commits no rank to the map. Then the
// proposer chooses a step that lies a margin ahead, votes yes itself, and only then asks the other
// ranks, so that every rank that has the proposal knows the proposer's vote. After that the
// proposer is no longer needed: the voters exchange their votes, which determine the outcome.
//
//     auto proposer = map_proposer::create({.margin = absl::Milliseconds(50)}, voter, engine,
//                                          peers).value();
//     absl::StatusOr<bool> committed = proposer->move_to(next_map);
//
// Has no state that must survive a restart. Thread-safe; concurrent moves are allowed but not
// useful.

#ifndef SARDINESTREAM_EXPERTS_MAP_PROPOSER_H_
#define SARDINESTREAM_EXPERTS_MAP_PROPOSER_H_

#include <memory>
#include <vector>

#include "sardinestream/experts/map_voter.h"

namespace sardinestream::experts {

struct proposer_options {
    // Time from the proposal until its step; if the votes take longer, the group waits at the step.
    absl::Duration margin = absl::Milliseconds(100);
    // Minimum number of steps between the current step and that of the proposal, also where
    // `margin` corresponds to fewer.
    std::uint64_t min_steps_ahead = 4;
    absl::Duration staging_timeout = absl::Seconds(60);
    absl::Duration vote_timeout = absl::Seconds(2);
    absl::Duration outcome_timeout = absl::Seconds(30);
};

class map_proposer {
public:
    // `voter` and `engine` must outlive the proposer.
    [[nodiscard]] static std::unique_ptr<map_proposer> create(const proposer_options& options,
                                                              map_voter& voter,
                                                              engine_client& engine,
                                                              agent_peers peers);

    // Proposes `placement` as the map of the next epoch. Returns whether the proposal was
    // committed. Fails if nothing could be proposed or this rank voted no, and with
    // `kDeadlineExceeded` if the outcome is not known within `outcome_timeout`.
    [[nodiscard]] absl::StatusOr<bool> move_to(const expert_mapT& placement);

private:
    map_proposer(const proposer_options& options, map_voter& voter, engine_client& engine,
                 agent_peers peers);

    [[nodiscard]] absl::StatusOr<map_proposalT> prepare(const expert_mapT& placement);
    // Waits until the engine has no pending map and returns its state.
    [[nodiscard]] absl::StatusOr<engine_state> wait_until_settled();
    // Has all ranks stage the map and returns the incarnation of each rank's agent.
    [[nodiscard]] absl::StatusOr<std::vector<std::uint64_t>> stage_everywhere(map_stageT order);
    [[nodiscard]] absl::StatusOr<std::uint64_t> stage_at(int rank, const map_stageT& order,
                                                         absl::Time deadline);
    [[nodiscard]] absl::StatusOr<std::uint64_t> choose_step();
    void ask_for_votes(const map_proposalT& proposal);
    void broadcast_outcome(const map_proposalT& proposal, bool committed);

    const proposer_options settings;
    map_voter& voter;
    engine_client& engine;
    const agent_peers peers;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_MAP_PROPOSER_H_
