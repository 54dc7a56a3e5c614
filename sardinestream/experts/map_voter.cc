#include "sardinestream/experts/map_voter.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::experts {
namespace {

constexpr absl::Duration stageable_timeout = absl::Seconds(1);
constexpr absl::Duration staging_poll_interval = absl::Milliseconds(20);

absl::Status voter_error(absl::StatusCode code, absl::string_view step, absl::string_view reason)
{
    return make_error(code, step, "engine", reason);
}

} // namespace

absl::StatusOr<std::unique_ptr<map_voter>>
map_voter::create(voter_options options, engine_client& engine, agent_peers peers)
{
    if (options.rank < 0 || options.rank >= options.ranks || options.agent_incarnation == 0) {
        return voter_error(absl::StatusCode::kInvalidArgument, "create_voter",
                           "rank or incarnation out of range");
    }
    std::unique_ptr<map_voter> made(new map_voter(std::move(options), engine, std::move(peers)));
    made->watching = std::thread([voter = made.get()] { voter->watch(); });
    return made;
}

map_voter::map_voter(voter_options options, engine_client& rank_engine, agent_peers agents)
    : settings(std::move(options)), engine(rank_engine), peers(std::move(agents))
{
}

map_voter::~map_voter()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        this->wake_requested = true;
    }
    this->watching.join();
}

map_voteT map_voter::vote_on(const map_proposalT& proposal)
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->engine_group == 0 || proposal.group_incarnation != this->engine_group) {
            return this->make_other_group_vote(proposal);
        }
        proposal_record& record = this->record_of(proposal.id, proposal.hold_step);
        if (this->own_choice(record) != vote_choice::undecided || record.may_hold) {
            return this->make_vote(proposal, record);
        }
        record.reason = this->rejection_reason(proposal);
        if (!record.reason.empty()) {
            this->set_vote(proposal.id, record, this->settings.rank, vote_choice::no);
            return this->make_vote(proposal, record);
        }
        record.proposal = proposal;
        record.may_hold = true;
        this->set_vote(proposal.id, record, static_cast<int>(proposal.proposer_rank),
                       proposal.proposer_rank == static_cast<std::uint32_t>(this->settings.rank)
                           ? vote_choice::undecided
                           : vote_choice::yes);
    }
    const absl::Status held = this->hold_engine(proposal);
    map_voteT vote;
    {
        const absl::MutexLock lock(&this->mutex);
        if (proposal.group_incarnation != this->engine_group) {
            return this->make_other_group_vote(proposal);
        }
        proposal_record& record = this->record_of(proposal.id, proposal.hold_step);
        // If a query arrived in the meantime, its no remains and the watching thread releases the
        // hold.
        if (this->own_choice(record) == vote_choice::undecided) {
            record.reason = std::string(held.message());
            this->set_vote(proposal.id, record, this->settings.rank,
                           held.ok() ? vote_choice::yes : vote_choice::no);
        }
        vote = this->make_vote(proposal, record);
    }
    this->broadcast_vote(vote);
    return vote;
}

std::string map_voter::rejection_reason(const map_proposalT& proposal)
{
    if (proposal.group != this->settings.group || proposal.map == nullptr) {
        return "wrong_group";
    }
    const auto rank = static_cast<std::size_t>(this->settings.rank);
    if (proposal.agent_incarnations.size() != static_cast<std::size_t>(this->settings.ranks) ||
        proposal.proposer_rank >= proposal.agent_incarnations.size() ||
        !check_map(*proposal.map, this->settings.ranks).ok()) {
        return "malformed";
    }
    // If the proposal names another incarnation, this process may have replaced one that voted
    // differently.
    if (proposal.agent_incarnations[rank] != this->settings.agent_incarnation) {
        return "incarnation_not_named";
    }
    return this->has_open_proposal() ? "another_open" : "";
}

absl::Status map_voter::hold_engine(const map_proposalT& proposal)
{
    const absl::MutexLock lock(&this->engine.order_mutex());
    const absl::StatusOr<engine_state> state = this->engine.read_state();
    if (!state.ok()) {
        return state.status();
    }
    // Some engines ignore the fencing number, so the state is checked here.
    if (state->group_incarnation != proposal.group_incarnation) {
        return voter_error(absl::StatusCode::kFailedPrecondition, "hold", "other_group");
    }
    if (state->due.has_value() || state->current.epoch + 1 != proposal.map->epoch) {
        return voter_error(absl::StatusCode::kFailedPrecondition, "hold", "old_epoch");
    }
    if (state->staged_digest != map_digest(*proposal.map)) {
        return voter_error(absl::StatusCode::kFailedPrecondition, "hold", "not_staged");
    }
    return this->engine.set_hold(proposal);
}

map_voteT map_voter::answer_query(const map_proposalT& proposal)
{
    map_voteT vote;
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->engine_group == 0 || proposal.group_incarnation != this->engine_group) {
            return this->make_other_group_vote(proposal);
        }
        proposal_record& record = this->record_of(proposal.id, proposal.hold_step);
        if (this->own_choice(record) != vote_choice::undecided) {
            return this->make_vote(proposal, record);
        }
        count("sardine_map_votes_by_query_total");
        record.reason = "asked_before_vote";
        this->set_vote(proposal.id, record, this->settings.rank, vote_choice::no);
        vote = this->make_vote(proposal, record);
    }
    this->broadcast_vote(vote);
    return vote;
}

void map_voter::note_vote(const map_voteT& vote)
{
    const absl::MutexLock lock(&this->mutex);
    const bool relevant = vote.group == this->settings.group && this->engine_group != 0 &&
                          vote.group_incarnation == this->engine_group &&
                          vote.rank < static_cast<std::uint32_t>(this->settings.ranks) &&
                          vote.rank != static_cast<std::uint32_t>(this->settings.rank);
    if (!relevant || vote.choice == vote_choice::undecided) {
        return;
    }
    proposal_record& record = this->record_of(vote.proposal_id, vote.hold_step);
    this->set_vote(vote.proposal_id, record, static_cast<int>(vote.rank), vote.choice);
}

void map_voter::note_outcome(const map_outcomeT& outcome)
{
    const absl::MutexLock lock(&this->mutex);
    if (outcome.group != this->settings.group || this->engine_group == 0 ||
        outcome.group_incarnation != this->engine_group) {
        return;
    }
    proposal_record& record = this->record_of(outcome.proposal_id, outcome.hold_step);
    if (!outcome.committed && this->own_choice(record) == vote_choice::undecided) {
        record.reason = "aborted_before_vote";
        this->set_vote(outcome.proposal_id, record, this->settings.rank, vote_choice::no);
    }
    if (outcome.committed && this->own_choice(record) != vote_choice::yes) {
        // A late report on a proposal whose record has been erased, or a peer that violates the
        // protocol.
        count("sardine_map_outcomes_ignored_total");
        return;
    }
    this->set_outcome(outcome.proposal_id, record, outcome.committed);
}

absl::Status map_voter::stage(const map_stageT& order, absl::Time deadline)
{
    if (order.group != this->settings.group || order.map == nullptr ||
        !check_map(*order.map, this->settings.ranks).ok()) {
        return voter_error(absl::StatusCode::kInvalidArgument, "stage", "malformed");
    }
    SARDINE_RETURN_IF_ERROR(this->wait_until_stageable(order.group_incarnation));
    const std::string digest = map_digest(*order.map);
    SARDINE_RETURN_IF_ERROR(this->order_staging(order, digest));
    while (absl::Now() < deadline) {
        const absl::StatusOr<engine_state> state = this->engine.read_state();
        if (state.ok() && state->staged_digest == digest) {
            return absl::OkStatus();
        }
        const absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), staging_poll_interval)) {
            return voter_error(absl::StatusCode::kCancelled, "stage", "stopping");
        }
        if (this->staging_digest != digest) {
            return voter_error(absl::StatusCode::kAborted, "stage", "replaced");
        }
    }
    return voter_error(absl::StatusCode::kDeadlineExceeded, "stage", "timeout");
}

absl::StatusOr<bool> map_voter::wait_for_outcome(std::uint64_t proposal_id, absl::Time deadline)
{
    const absl::MutexLock lock(&this->mutex);
    const finished_proposal* found = nullptr;
    const auto is_finished = [this, proposal_id,
                              &found]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        const auto at = std::find_if(
            this->finished.begin(), this->finished.end(),
            [proposal_id](const finished_proposal& each) { return each.id == proposal_id; });
        found = at == this->finished.end() ? nullptr : &*at;
        return found != nullptr;
    };
    if (!this->mutex.AwaitWithDeadline(absl::Condition(&is_finished), deadline)) {
        return voter_error(absl::StatusCode::kDeadlineExceeded, "wait_for_outcome", "timeout");
    }
    return found->committed;
}

absl::Status map_voter::wait_until_stageable(std::uint64_t incarnation)
{
    const absl::MutexLock lock(&this->mutex);
    const auto is_stageable = [this, incarnation]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        return this->engine_group == incarnation && !this->has_open_proposal();
    };
    if (incarnation == 0 || is_stageable()) {
        return absl::OkStatus();
    }
    this->wake_requested = true;
    const bool in_time =
        this->mutex.AwaitWithTimeout(absl::Condition(&is_stageable), stageable_timeout);
    return in_time ? absl::OkStatus()
                   : voter_error(absl::StatusCode::kFailedPrecondition, "stage", "not_stageable");
}

absl::Status map_voter::order_staging(const map_stageT& order, const std::string& digest)
{
    const absl::MutexLock order_lock(&this->engine.order_mutex());
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->engine_group == 0 || order.group_incarnation != this->engine_group) {
            return voter_error(absl::StatusCode::kFailedPrecondition, "stage", "other_group");
        }
        // The engine keeps only one staged map, which an open proposal still needs.
        if (this->has_open_proposal()) {
            return voter_error(absl::StatusCode::kFailedPrecondition, "stage", "another_open");
        }
    }
    SARDINE_RETURN_IF_ERROR(this->engine.stage(*order.map, order.group_incarnation));
    const absl::MutexLock lock(&this->mutex);
    this->staging_digest = digest;
    return absl::OkStatus();
}

std::uint64_t map_voter::group_incarnation() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->engine_group;
}

map_voter::proposal_record& map_voter::record_of(std::uint64_t proposal_id, std::uint64_t hold_step)
{
    proposal_record& record = this->records[proposal_id];
    record.votes.resize(static_cast<std::size_t>(this->settings.ranks), vote_choice::undecided);
    record.hold_step = std::max(record.hold_step, hold_step);
    return record;
}

vote_choice& map_voter::own_choice(proposal_record& record) const
{
    return record.votes[static_cast<std::size_t>(this->settings.rank)];
}

void map_voter::set_vote(std::uint64_t proposal_id, proposal_record& record, int rank,
                         vote_choice choice)
{
    vote_choice& known = record.votes[static_cast<std::size_t>(rank)];
    if (choice == vote_choice::undecided || known == choice) {
        return;
    }
    if (known != vote_choice::undecided) {
        count("sardine_map_conflicts_total");
        log_event("map_vote_conflict",
                  {{"group", this->settings.group}, {"proposal", proposal_id}, {"rank", rank}},
                  log_level::error);
        return;
    }
    known = choice;
    if (rank == this->settings.rank) {
        const bool yes = choice == vote_choice::yes;
        count("sardine_map_votes_total",
              {{"choice", yes ? "yes" : "no"}, {"reason", yes ? "" : record.reason}});
        log_event("map_vote", {{"group", this->settings.group},
                               {"proposal", proposal_id},
                               {"choice", yes ? "yes" : "no"},
                               {"reason", record.reason}});
    }
    const auto is_yes = [](vote_choice each) { return each == vote_choice::yes; };
    if (choice == vote_choice::no) {
        this->set_outcome(proposal_id, record, false);
    }
    else if (std::all_of(record.votes.begin(), record.votes.end(), is_yes)) {
        this->set_outcome(proposal_id, record, true);
    }
}

void map_voter::set_outcome(std::uint64_t proposal_id, proposal_record& record, bool committed)
{
    if (!record.committed.has_value()) {
        record.committed = committed;
        this->wake_requested = true;
        return;
    }
    if (*record.committed != committed) {
        count("sardine_map_conflicts_total");
        log_event("map_outcome_conflict",
                  {{"group", this->settings.group}, {"proposal", proposal_id}}, log_level::error);
    }
}

map_voteT map_voter::make_vote(const map_proposalT& proposal, const proposal_record& record) const
{
    map_voteT vote;
    vote.proposal_id = proposal.id;
    vote.group = proposal.group;
    vote.group_incarnation = proposal.group_incarnation;
    vote.hold_step = proposal.hold_step;
    vote.rank = static_cast<std::uint32_t>(this->settings.rank);
    vote.choice = record.votes[static_cast<std::size_t>(this->settings.rank)];
    vote.reason = record.reason;
    if (record.committed.has_value()) {
        vote.outcome = *record.committed ? vote_choice::yes : vote_choice::no;
    }
    return vote;
}

map_voteT map_voter::make_other_group_vote(const map_proposalT& proposal) const
{
    proposal_record unknown;
    unknown.votes.resize(static_cast<std::size_t>(this->settings.ranks), vote_choice::undecided);
    unknown.reason = "other_group";
    return this->make_vote(proposal, unknown);
}

bool map_voter::has_open_proposal() const
{
    return std::any_of(this->records.begin(), this->records.end(), [](const auto& each) {
        return each.second.may_hold && !each.second.carried_out;
    });
}

void map_voter::broadcast_vote(const map_voteT& vote)
{
    const std::string payload = wire::encode<map_vote>(vote);
    for (int rank = 0; rank < this->settings.ranks; ++rank) {
        if (rank != this->settings.rank) {
            this->peers.notify(rank, wire::frame_type::map_vote, payload);
        }
    }
}

} // namespace sardinestream::experts
