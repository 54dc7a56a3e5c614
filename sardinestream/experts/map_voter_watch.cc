// Implements the watching thread of `map_voter`: it updates the voter from the engine's state,
// sends the orders that follow from outcomes, and queries the votes of other ranks.

#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/experts/map_voter.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::experts {
namespace {

constexpr absl::Duration query_interval = absl::Milliseconds(100);
constexpr std::size_t max_finished_proposals = 64;

} // namespace

void map_voter::watch()
{
    while (true) {
        this->watch_once();
        const absl::MutexLock lock(&this->mutex);
        const absl::Duration interval = this->has_open_proposal()
                                            ? this->settings.open_poll_interval
                                            : this->settings.idle_poll_interval;
        this->mutex.AwaitWithTimeout(absl::Condition(&this->wake_requested), interval);
        this->wake_requested = false;
        if (this->stopping) {
            return;
        }
    }
}

void map_voter::watch_once()
{
    const absl::StatusOr<engine_state> state = this->engine.read_state();
    if (!state.ok()) {
        count("sardine_engine_unreadable_total");
        return;
    }
    {
        const absl::MutexLock lock(&this->mutex);
        this->adopt_engine_state(*state);
        this->erase_past_records(state->step);
    }
    if (state->hold.has_value()) {
        this->release_stale_hold(*state->hold);
    }
    this->carry_out_outcomes();
    this->query_votes_when_held(*state);
}

void map_voter::adopt_engine_state(const engine_state& state)
{
    if (state.group_incarnation != this->engine_group ||
        state.engine_incarnation != this->engine_incarnation) {
        // No step of the earlier group incarnation will run, so its proposals are obsolete.
        this->records.clear();
        this->engine_group = state.group_incarnation;
        this->engine_incarnation = state.engine_incarnation;
        log_event("rank_group_entered", {{"group", this->settings.group},
                                         {"rank", this->settings.rank},
                                         {"group_incarnation", this->engine_group}});
    }
    set_gauge("sardine_expert_map_epoch", {{"group", this->settings.group}},
              static_cast<double>(state.current.epoch));
    if (this->engine_group == 0) {
        return;
    }
    this->adopt_map(state.current);
    if (state.due.has_value()) {
        this->adopt_map(*state.due);
    }
    if (!state.hold.has_value()) {
        return;
    }
    const absl::StatusOr<map_proposalT> held = proposal_from_token(state.hold->token);
    const bool valid =
        held.ok() && held->proposer_rank < held->agent_incarnations.size() &&
        held->agent_incarnations.size() == static_cast<std::size_t>(this->settings.ranks);
    if (valid && held->group_incarnation == this->engine_group) {
        this->adopt_hold(*held);
    }
}

void map_voter::adopt_map(const engine_map& map)
{
    if (map.proposal_id == 0 || this->records.contains(map.proposal_id)) {
        return;
    }
    // The engine has the map, so the proposal was committed, which required this rank's yes.
    proposal_record& record = this->record_of(map.proposal_id, map.from_step);
    this->set_vote(map.proposal_id, record, this->settings.rank, vote_choice::yes);
    this->set_outcome(map.proposal_id, record, true);
    record.carried_out = true;
}

void map_voter::adopt_hold(const map_proposalT& held)
{
    proposal_record& record = this->record_of(held.id, held.hold_step);
    record.may_hold = true;
    if (!record.proposal.has_value()) {
        record.proposal = held;
    }
    if (this->own_choice(record) == vote_choice::undecided) {
        const bool being_voted =
            held.agent_incarnations[this->settings.rank] == this->settings.agent_incarnation;
        if (being_voted) {
            return; // `vote_on` will record the vote
        }
        count("sardine_map_votes_recovered_total");
        this->set_vote(held.id, record, this->settings.rank, vote_choice::yes);
        this->set_vote(held.id, record, static_cast<int>(held.proposer_rank), vote_choice::yes);
    }
    if (record.committed.has_value()) {
        record.carried_out = false; // the hold has not been released, so repeat the orders
    }
}

void map_voter::erase_past_records(std::uint64_t step)
{
    for (auto each = this->records.begin(); each != this->records.end();) {
        const proposal_record& record = each->second;
        const bool open = record.may_hold && !record.carried_out;
        if (open || step <= record.hold_step) {
            ++each;
            continue;
        }
        each = this->records.erase(each);
    }
}

void map_voter::release_stale_hold(const engine_hold& hold)
{
    const absl::StatusOr<map_proposalT> held = proposal_from_token(hold.token);
    {
        const absl::MutexLock lock(&this->mutex);
        if (held.ok() && held->group_incarnation == this->engine_group) {
            return;
        }
    }
    // An earlier process ordered this hold, and the engine executed it only after the group had
    // been formed again.
    count("sardine_map_stray_holds_total");
    this->engine.release_hold(hold.token).IgnoreError();
}

void map_voter::carry_out_outcomes()
{
    struct due_outcome {
        map_proposalT proposal;
        bool committed = false;
    };
    std::vector<due_outcome> due;
    {
        const absl::MutexLock lock(&this->mutex);
        for (auto& [id, record] : this->records) {
            if (!record.committed.has_value() || record.carried_out) {
                continue;
            }
            if (!record.may_hold || !record.proposal.has_value()) {
                record.carried_out = true; // this rank sent no order for it
                continue;
            }
            due.push_back({*record.proposal, *record.committed});
        }
    }
    for (const due_outcome& each : due) {
        const absl::Status status = this->carry_out(each.proposal, each.committed);
        if (!status.ok()) {
            count("sardine_map_order_retries_total", {{"step", step_of(status)}});
            log_failure("map_order_failed", status, {{"proposal", each.proposal.id}});
            continue;
        }
        this->note_carried_out(each.proposal.id, each.committed);
    }
}

absl::Status map_voter::carry_out(const map_proposalT& proposal, bool committed)
{
    const absl::MutexLock lock(&this->engine.order_mutex());
    const absl::StatusOr<engine_state> state = this->engine.read_state();
    if (!state.ok()) {
        return state.status();
    }
    // Some engines ignore the fencing number, so the state is checked here.
    if (state->group_incarnation != proposal.group_incarnation) {
        return make_error(absl::StatusCode::kFailedPrecondition, "carry_out", this->engine.peer(),
                          "other_group");
    }
    if (committed) {
        SARDINE_RETURN_IF_ERROR(this->engine.apply_map(proposal));
    }
    return this->engine.release_hold(proposal_to_token(proposal));
}

void map_voter::note_carried_out(std::uint64_t proposal_id, bool committed)
{
    count("sardine_map_outcomes_total", {{"outcome", committed ? "commit" : "abort"}});
    log_event("map_outcome", {{"group", this->settings.group},
                              {"proposal", proposal_id},
                              {"outcome", committed ? "commit" : "abort"}});
    const absl::MutexLock lock(&this->mutex);
    auto found = this->records.find(proposal_id);
    if (found != this->records.end()) {
        found->second.carried_out = true;
    }
    this->finished.push_back({proposal_id, committed});
    if (this->finished.size() > max_finished_proposals) {
        this->finished.pop_front();
    }
}

void map_voter::query_votes_when_held(const engine_state& state)
{
    const bool held = state.hold.has_value() && state.step >= state.hold->step;
    if (!held || this->queries.size() > 0 || absl::Now() < this->next_query) {
        return;
    }
    const absl::StatusOr<map_proposalT> proposal = proposal_from_token(state.hold->token);
    if (!proposal.ok()) {
        return;
    }
    {
        const absl::MutexLock lock(&this->mutex);
        auto found = this->records.find(proposal->id);
        if (found == this->records.end() || found->second.committed.has_value()) {
            return;
        }
    }
    this->next_query = absl::Now() + query_interval;
    // Ranks whose vote is known are queried too: they may have received votes from a rank that is
    // unreachable from this one.
    for (int rank = 0; rank < this->settings.ranks; ++rank) {
        if (rank == this->settings.rank) {
            continue;
        }
        count("sardine_map_queries_total");
        const bool started =
            this->queries.spawn([this, rank, copy = *proposal] { this->ask_for_vote(rank, copy); });
        if (!started) {
            return;
        }
    }
}

void map_voter::ask_for_vote(int rank, const map_proposalT& proposal)
{
    map_queryT query;
    query.proposal = std::make_unique<map_proposalT>(proposal);
    query.asking_rank = static_cast<std::uint32_t>(this->settings.rank);
    const absl::StatusOr<wire::frame> answer =
        this->peers.request(rank, wire::frame_type::map_query, wire::encode<map_query>(query),
                            absl::Now() + this->settings.query_timeout);
    if (!answer.ok()) {
        return;
    }
    const absl::StatusOr<map_voteT> vote = wire::decode<map_vote>(answer->payload);
    if (!vote.ok() || vote->proposal_id != proposal.id) {
        return;
    }
    this->note_vote(*vote);
    if (vote->outcome == vote_choice::undecided) {
        return;
    }
    map_outcomeT outcome;
    outcome.proposal_id = vote->proposal_id;
    outcome.group = vote->group;
    outcome.group_incarnation = vote->group_incarnation;
    outcome.hold_step = vote->hold_step;
    outcome.committed = vote->outcome == vote_choice::yes;
    this->note_outcome(outcome);
}

} // namespace sardinestream::experts
