#include "sardinestream/experts/map_proposer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::experts {
namespace {

constexpr absl::Duration settle_poll_interval = absl::Milliseconds(10);

absl::Status proposer_error(absl::StatusCode code, absl::string_view step, int rank,
                            absl::string_view message)
{
    return make_error(code, step, absl::StrCat("rank-", rank), message);
}

// Runs `work` for every rank except `own_rank`, each on its own thread, and waits for all of them.
void for_other_ranks(int ranks, int own_rank, const std::function<void(int rank)>& work)
{
    thread_group threads;
    for (int rank = 0; rank < ranks; ++rank) {
        if (rank == own_rank) {
            continue;
        }
        if (!threads.spawn([&work, rank] { work(rank); })) {
            work(rank);
        }
    }
}

} // namespace

std::unique_ptr<map_proposer> map_proposer::create(const proposer_options& options,
                                                   map_voter& voter, engine_client& engine,
                                                   agent_peers peers)
{
    return std::unique_ptr<map_proposer>(
        new map_proposer(options, voter, engine, std::move(peers)));
}

map_proposer::map_proposer(const proposer_options& options, map_voter& own_voter,
                           engine_client& own_engine, agent_peers agents)
    : settings(options), voter(own_voter), engine(own_engine), peers(std::move(agents))
{
}

absl::StatusOr<bool> map_proposer::move_to(const expert_mapT& placement)
{
    const absl::StatusOr<map_proposalT> proposal = this->prepare(placement);
    if (!proposal.ok()) {
        count("sardine_map_proposals_total", {{"result", "not_prepared"}});
        return proposal.status();
    }
    log_event("map_proposed", {{"group", proposal->group},
                               {"proposal", proposal->id},
                               {"epoch", proposal->map->epoch},
                               {"step", proposal->hold_step}});
    // The proposer votes before it sends the proposal: if it fails later, no rank waits for its
    // vote.
    const map_voteT own = this->voter.vote_on(*proposal);
    if (own.choice != vote_choice::yes) {
        count("sardine_map_proposals_total", {{"result", "own_no"}});
        return proposer_error(absl::StatusCode::kAborted, "vote", static_cast<int>(own.rank),
                              own.reason);
    }
    this->ask_for_votes(*proposal);
    const absl::StatusOr<bool> committed =
        this->voter.wait_for_outcome(proposal->id, absl::Now() + this->settings.outcome_timeout);
    count("sardine_map_proposals_total",
          {{"result", !committed.ok() ? "unknown" : (*committed ? "commit" : "abort")}});
    if (committed.ok()) {
        this->broadcast_outcome(*proposal, *committed);
    }
    return committed;
}

absl::StatusOr<map_proposalT> map_proposer::prepare(const expert_mapT& placement)
{
    const voter_options& own = this->voter.options();
    const absl::StatusOr<engine_state> state = this->wait_until_settled();
    if (!state.ok()) {
        return state.status();
    }
    map_stageT order;
    order.group = own.group;
    order.group_incarnation = state->group_incarnation;
    order.map = std::make_unique<expert_mapT>(placement);
    order.map->epoch = state->current.epoch + 1;
    absl::StatusOr<std::vector<std::uint64_t>> incarnations = this->stage_everywhere(order);
    if (!incarnations.ok()) {
        return incarnations.status();
    }
    const absl::StatusOr<std::uint64_t> step = this->choose_step();
    if (!step.ok()) {
        return step.status();
    }
    map_proposalT proposal;
    proposal.id = random_u64();
    proposal.group = own.group;
    proposal.group_incarnation = order.group_incarnation;
    proposal.agent_incarnations = *std::move(incarnations);
    proposal.proposer_rank = static_cast<std::uint32_t>(own.rank);
    proposal.hold_step = *step;
    proposal.map = std::move(order.map);
    return proposal;
}

absl::StatusOr<engine_state> map_proposer::wait_until_settled()
{
    const absl::Time deadline = absl::Now() + this->settings.outcome_timeout;
    while (absl::Now() < deadline) {
        absl::StatusOr<engine_state> state = this->engine.read_state();
        if (!state.ok() || !state->due.has_value()) {
            return state;
        }
        absl::SleepFor(settle_poll_interval);
    }
    return proposer_error(absl::StatusCode::kDeadlineExceeded, "settle", this->voter.options().rank,
                          "an earlier map is still pending");
}

absl::StatusOr<std::vector<std::uint64_t>> map_proposer::stage_everywhere(map_stageT order)
{
    const voter_options& own = this->voter.options();
    const absl::Time deadline = absl::Now() + this->settings.staging_timeout;
    std::vector<std::uint64_t> incarnations(own.ranks, own.agent_incarnation);
    absl::Mutex mutex;
    absl::Status failure;
    for_other_ranks(own.ranks, own.rank, [&](int rank) {
        const absl::StatusOr<std::uint64_t> staged = this->stage_at(rank, order, deadline);
        const absl::MutexLock lock(&mutex);
        if (staged.ok()) {
            incarnations[rank] = *staged;
            return;
        }
        failure.Update(staged.status());
    });
    SARDINE_RETURN_IF_ERROR(failure);
    SARDINE_RETURN_IF_ERROR(this->voter.stage(order, deadline));
    return incarnations;
}

absl::StatusOr<std::uint64_t> map_proposer::stage_at(int rank, const map_stageT& order,
                                                     absl::Time deadline)
{
    const absl::StatusOr<wire::frame> answer = this->peers.request(
        rank, wire::frame_type::map_stage, wire::encode<map_stage>(order), deadline);
    if (!answer.ok()) {
        return answer.status();
    }
    const absl::StatusOr<map_stagedT> staged = wire::decode<map_staged>(answer->payload);
    if (!staged.ok()) {
        return staged.status();
    }
    if (!staged->staged) {
        return proposer_error(absl::StatusCode::kFailedPrecondition, "stage", rank, staged->reason);
    }
    return staged->agent_incarnation;
}

absl::StatusOr<std::uint64_t> map_proposer::choose_step()
{
    const absl::StatusOr<engine_load> load = this->engine.read_load();
    if (!load.ok()) {
        return load.status();
    }
    const double margin_us = absl::ToDoubleMicroseconds(this->settings.margin);
    const double steps = load->step_us > 0 ? std::ceil(margin_us / load->step_us) : 0;
    return load->step + std::max(this->settings.min_steps_ahead, static_cast<std::uint64_t>(steps));
}

void map_proposer::ask_for_votes(const map_proposalT& proposal)
{
    const voter_options& own = this->voter.options();
    map_proposeT message;
    message.proposal = std::make_unique<map_proposalT>(proposal);
    const std::string payload = wire::encode<map_propose>(message);
    const absl::Time deadline = absl::Now() + this->settings.vote_timeout;
    for_other_ranks(own.ranks, own.rank, [&](int rank) {
        const absl::StatusOr<wire::frame> answer =
            this->peers.request(rank, wire::frame_type::map_propose, payload, deadline);
        if (!answer.ok()) {
            count("sardine_map_votes_missing_total");
            return;
        }
        const absl::StatusOr<map_voteT> vote = wire::decode<map_vote>(answer->payload);
        if (vote.ok() && vote->proposal_id == proposal.id) {
            this->voter.note_vote(*vote);
        }
    });
}

void map_proposer::broadcast_outcome(const map_proposalT& proposal, bool committed)
{
    map_outcomeT outcome;
    outcome.proposal_id = proposal.id;
    outcome.group = proposal.group;
    outcome.group_incarnation = proposal.group_incarnation;
    outcome.hold_step = proposal.hold_step;
    outcome.committed = committed;
    const std::string payload = wire::encode<map_outcome>(outcome);
    for (int rank = 0; rank < this->voter.options().ranks; ++rank) {
        if (rank != this->voter.options().rank) {
            this->peers.notify(rank, wire::frame_type::map_outcome, payload);
        }
    }
}

} // namespace sardinestream::experts
