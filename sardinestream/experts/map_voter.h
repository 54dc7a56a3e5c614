// Casts this rank's vote on its group's next expert map and carries out the outcome.
//
// Owns this rank's votes and the engine orders that follow from them. It does not judge whether a
// map is good, and it never changes a vote.
//
// A proposal commits if every rank votes yes and aborts if any rank votes no. A rank votes yes only
// while its engine holds before the proposal's step, so no rank runs that step before the outcome
// is known. The engine keeps the vote across restarts of the agent: the hold carries the entire
// proposal. A restarted agent therefore interprets an existing hold as a yes, a map with the
// proposal's id as a commit, and the absence of both as a no. Until the outcome is decided, the
// engine of every rank that voted yes has one of the two, so no vote ever changes.
//
// The agent of a slot listens on the slot's fixed address, which is exclusive, before it creates a
// voter. A frozen agent and its successor therefore never control the same engine concurrently.
//
//     auto voter = map_voter::create(options, engine, peers).value();
//     map_voteT vote = voter->vote_on(proposal);   // from a map_propose frame
//     map_voteT vote = voter->answer_query(proposal);
//     voter->note_vote(vote);                      // from a map_vote frame
//
// Thread-safe.

#ifndef SARDINESTREAM_EXPERTS_MAP_VOTER_H_
#define SARDINESTREAM_EXPERTS_MAP_VOTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/experts/agent_peers.h"
#include "sardinestream/experts/engine_client.h"
#include "sardinestream/experts/experts_generated.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::experts {

struct voter_options {
    std::string group;
    int rank = 0;
    int ranks = 1;
    std::uint64_t agent_incarnation = 0;
    // Intervals at which the engine's state is read: while a proposal is open, and otherwise.
    absl::Duration open_poll_interval = absl::Milliseconds(10);
    absl::Duration idle_poll_interval = absl::Milliseconds(200);
    absl::Duration query_timeout = absl::Milliseconds(500);
};

class map_voter {
public:
    // `engine` must outlive the voter.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<map_voter>>
    create(voter_options options, engine_client& engine, agent_peers peers);

    ~map_voter();
    map_voter(const map_voter&) = delete;
    map_voter& operator=(const map_voter&) = delete;

    // Votes on a proposal and sends the vote to the other ranks. Blocks until the engine has
    // answered the hold order. Repeated calls for one proposal return the same vote. `undecided`
    // means that this rank's engine is not known to be in the proposal's group incarnation, or that
    // another call is still waiting for the engine.
    [[nodiscard]] map_voteT vote_on(const map_proposalT& proposal);

    // Returns this rank's vote on a proposal. If it has not voted yet, it votes no.
    [[nodiscard]] map_voteT answer_query(const map_proposalT& proposal);

    void note_vote(const map_voteT& vote);
    void note_outcome(const map_outcomeT& outcome);

    // Orders the engine to stage a map's weights and waits until they are loaded.
    [[nodiscard]] absl::Status stage(const map_stageT& order, absl::Time deadline);

    // Waits until the outcome is known and carried out at this rank's engine. Returns whether the
    // proposal was committed; fails with `kDeadlineExceeded`.
    [[nodiscard]] absl::StatusOr<bool> wait_for_outcome(std::uint64_t proposal_id,
                                                        absl::Time deadline);

    // Returns the group incarnation last read from the engine; zero before the first read.
    [[nodiscard]] std::uint64_t group_incarnation() const;

    [[nodiscard]] const voter_options& options() const { return this->settings; }

private:
    // This agent's knowledge of one proposal.
    struct proposal_record {
        // Empty if only votes or the outcome have been received from other ranks.
        std::optional<map_proposalT> proposal;
        std::uint64_t hold_step = 0;
        // The engine has received, or may have received, an order to hold.
        bool may_hold = false;
        // One per rank; never changes once it is yes or no.
        std::vector<vote_choice> votes;
        // Follows from `votes` or from another rank's report; never changes once it is set.
        std::optional<bool> committed;
        // The engine has confirmed the orders that follow from the outcome.
        bool carried_out = false;
        std::string reason;
    };

    struct finished_proposal {
        std::uint64_t id = 0;
        bool committed = false;
    };

    map_voter(voter_options options, engine_client& engine, agent_peers peers);

    // Main function of the watching thread: reads the engine's state, carries out outcomes, and
    // queries the other ranks while the engine waits at a hold.
    void watch();
    void watch_once();
    void adopt_engine_state(const engine_state& state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void adopt_hold(const map_proposalT& held) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void adopt_map(const engine_map& map) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void erase_past_records(std::uint64_t step) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void release_stale_hold(const engine_hold& hold);
    void carry_out_outcomes();
    [[nodiscard]] absl::Status carry_out(const map_proposalT& proposal, bool committed);
    void note_carried_out(std::uint64_t proposal_id, bool committed);
    void query_votes_when_held(const engine_state& state);
    void ask_for_vote(int rank, const map_proposalT& proposal);

    // Waits up to `stageable_timeout` until the engine is in this group incarnation and no proposal
    // is open.
    [[nodiscard]] absl::Status wait_until_stageable(std::uint64_t incarnation);
    [[nodiscard]] absl::Status order_staging(const map_stageT& order, const std::string& digest);
    [[nodiscard]] std::string rejection_reason(const map_proposalT& proposal)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::Status hold_engine(const map_proposalT& proposal);
    [[nodiscard]] proposal_record& record_of(std::uint64_t proposal_id, std::uint64_t hold_step)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void set_vote(std::uint64_t proposal_id, proposal_record& record, int rank, vote_choice choice)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void set_outcome(std::uint64_t proposal_id, proposal_record& record, bool committed)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] vote_choice& own_choice(proposal_record& record) const;
    [[nodiscard]] map_voteT make_vote(const map_proposalT& proposal,
                                      const proposal_record& record) const;
    // Returns the answer to a proposal of a group incarnation to which this rank does not belong.
    [[nodiscard]] map_voteT make_other_group_vote(const map_proposalT& proposal) const;
    [[nodiscard]] bool has_open_proposal() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void broadcast_vote(const map_voteT& vote);

    const voter_options settings;
    engine_client& engine;
    const agent_peers peers;

    mutable absl::Mutex mutex;
    // Proposals, by id, of the engine's group incarnation that are open or whose step is not past.
    std::map<std::uint64_t, proposal_record> records ABSL_GUARDED_BY(mutex);
    // The most recent outcomes that this rank has carried out, newest last.
    std::deque<finished_proposal> finished ABSL_GUARDED_BY(mutex);
    // As last read from the engine. `engine_group` is zero before the first read and while the
    // engine is in no group; the rank casts no votes then.
    std::uint64_t engine_group ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t engine_incarnation ABSL_GUARDED_BY(mutex) = 0;
    // Digest of the map whose staging was ordered last; the engine keeps only one staged map.
    std::string staging_digest ABSL_GUARDED_BY(mutex);
    bool wake_requested ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    absl::Time next_query = absl::InfinitePast(); // watching thread only
    thread_group queries;
    std::thread watching;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_MAP_VOTER_H_
