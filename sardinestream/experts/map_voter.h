// An agent's part in the vote on its group's next expert map.
//
// Owns this rank's votes and the engine orders that follow from them. Never decides which map is
// good, and never takes a vote back.
//
// The outcome of a proposal is commit when the vote of every rank is yes, and abort when any is no.
// A yes is given only while the engine holds before the proposal's step, so nobody runs that step
// before the outcome is known. The vote is kept where it survives this process: the hold carries
// the whole proposal, so a restarted agent takes a hold that stands for a yes, a map that carries
// the proposal's id for a commit, and neither for a no. Since no agent that voted yes can be
// without one of the two before the outcome is a fact, no vote ever changes.
//
// One slot's agent listens on its fixed address, which is exclusive, before it makes a voter: a
// frozen agent and its successor therefore never drive the same engine at once.
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
    // How often the engine's state is read: while a proposal is open, and otherwise.
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

    // Votes on a proposal and tells the others. Blocks for the hold order. The same proposal gets
    // the same vote again. `undecided` means that the engine's state is not known yet.
    [[nodiscard]] map_voteT vote_on(const map_proposalT& proposal);

    // Returns this rank's vote; without one, votes no.
    [[nodiscard]] map_voteT answer_query(const map_proposalT& proposal);

    void note_vote(const map_voteT& vote);
    void note_outcome(const map_outcomeT& outcome);

    // Has the engine stage a map's weights and waits until they are there.
    [[nodiscard]] absl::Status stage(const map_stageT& order, absl::Time deadline);

    // Waits until the outcome is known and carried out at this rank's engine; returns whether it is
    // commit. Fails with `kDeadlineExceeded`.
    [[nodiscard]] absl::StatusOr<bool> wait_for_outcome(std::uint64_t proposal_id,
                                                        absl::Time deadline);

    // The group incarnation that the engine was last seen in; zero before.
    [[nodiscard]] std::uint64_t group_incarnation() const;

    [[nodiscard]] const voter_options& options() const { return this->settings; }

private:
    // What is known of one proposal.
    struct proposal_record {
        // Empty where only votes of others have arrived.
        std::optional<map_proposalT> proposal;
        std::uint64_t hold_step = 0;
        // This rank has ordered, or may have ordered, its engine to hold.
        bool may_hold = false;
        // One for each rank; once it is yes or no it stays.
        std::vector<vote_choice> votes;
        // Follows from `votes`, or from the news of another rank; once set it stays.
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

    // The watching thread: reads the engine, carries out outcomes, asks when held.
    void watch();
    void watch_once();
    void adopt_engine_state(const engine_state& state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void adopt_hold(const map_proposalT& held) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void adopt_map(const engine_map& map) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void forget_past(std::uint64_t step) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void release_foreign_hold(const engine_hold& hold);
    void carry_out_outcomes();
    [[nodiscard]] absl::Status carry_out(const map_proposalT& proposal, bool committed);
    void note_carried_out(std::uint64_t proposal_id, bool committed);
    void ask_when_held(const engine_state& state);
    void ask_for_vote(int rank, const map_proposalT& proposal);

    // Waits a little for the engine to be seen in this group incarnation, with no proposal open.
    [[nodiscard]] absl::Status wait_until_stageable(std::uint64_t incarnation);
    [[nodiscard]] absl::Status order_staging(const map_stageT& order, const std::string& digest);
    [[nodiscard]] std::string reason_against(const map_proposalT& proposal)
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
    // The answer about a proposal of a group incarnation that this rank is not in.
    [[nodiscard]] map_voteT make_vote_elsewhere(const map_proposalT& proposal) const;
    [[nodiscard]] bool has_open_proposal() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void tell_vote(const map_voteT& vote);

    const voter_options settings;
    engine_client& engine;
    const agent_peers peers;

    mutable absl::Mutex mutex;
    // Records of the engine's group incarnation whose step is not past.
    std::map<std::uint64_t, proposal_record> records ABSL_GUARDED_BY(mutex);
    // The last outcomes that were carried out here, newest last.
    std::deque<finished_proposal> finished ABSL_GUARDED_BY(mutex);
    // As last read from the engine. Zero before the first reading and while the engine is in no
    // group; nothing is voted then.
    std::uint64_t engine_group ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t engine_incarnation ABSL_GUARDED_BY(mutex) = 0;
    // Of the map whose staging was ordered last: the engine keeps one.
    std::string staging_digest ABSL_GUARDED_BY(mutex);
    bool poked ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    absl::Time next_query = absl::InfinitePast(); // watching thread only
    thread_group queries;
    std::thread watching;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_MAP_VOTER_H_
