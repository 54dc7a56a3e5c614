// Moves a group to its next expert map. Any agent may; by default the one beside the lowest live
// rank does.
//
// First every rank stages the weights, which takes long and binds nobody. Then the proposer picks a
// step a margin ahead, votes yes itself, and only then asks the others, so that its own vote is
// known wherever the proposal is. From there on it is not needed: the voters send each other their
// votes, and the outcome follows from those.
//
//     auto proposer = map_proposer::create({.margin = absl::Milliseconds(50)}, voter, engine,
//                                          peers).value();
//     absl::StatusOr<bool> committed = proposer->move_to(next_map);
//
// Owns nothing that has to survive. Thread-safe, but one move at a time is enough.

#ifndef SARDINESTREAM_EXPERTS_MAP_PROPOSER_H_
#define SARDINESTREAM_EXPERTS_MAP_PROPOSER_H_

#include <memory>
#include <vector>

#include "sardinestream/experts/map_voter.h"

namespace sardinestream::experts {

struct proposer_options {
    // Time from the proposal until its step; votes that take longer let the group wait at the step.
    absl::Duration margin = absl::Milliseconds(100);
    // Steps ahead of the current one, whatever the margin in time says.
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

    // Proposes `placement` under the next epoch. Returns whether the outcome is commit; fails where
    // nothing was proposed, and with `kDeadlineExceeded` where the outcome is not known in time.
    [[nodiscard]] absl::StatusOr<bool> move_to(const expert_mapT& placement);

private:
    map_proposer(const proposer_options& options, map_voter& voter, engine_client& engine,
                 agent_peers peers);

    [[nodiscard]] absl::StatusOr<map_proposalT> prepare(const expert_mapT& placement);
    // Returns the engine's state once no earlier map is due any more.
    [[nodiscard]] absl::StatusOr<engine_state> wait_until_settled();
    // Returns the incarnation of every rank's agent once all have staged the map.
    [[nodiscard]] absl::StatusOr<std::vector<std::uint64_t>> stage_everywhere(map_stageT order);
    [[nodiscard]] absl::StatusOr<std::uint64_t> stage_at(int rank, const map_stageT& order,
                                                         absl::Time deadline);
    [[nodiscard]] absl::StatusOr<std::uint64_t> choose_step();
    void ask_for_votes(const map_proposalT& proposal);
    void tell_outcome(const map_proposalT& proposal, bool committed);

    const proposer_options settings;
    map_voter& voter;
    engine_client& engine;
    const agent_peers peers;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_MAP_PROPOSER_H_
