#include "sardinestream/experts/expert_service.h"

#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream::experts {
namespace {

using wire::frame_type;

constexpr absl::Duration staging_limit = absl::Seconds(60);

void refuse_malformed(wire::stream& opened)
{
    count("sardine_frames_malformed_total");
    log_event("frame_malformed", {{"peer", opened.link()->remote().id}}, log_level::warning);
}

voter_options voter_options_from(const expert_service_options& options)
{
    voter_options made;
    made.group = options.group;
    made.rank = options.rank;
    made.ranks = options.ranks;
    made.agent_incarnation = options.agent_incarnation;
    return made;
}

rank_group_manager_options manager_options_from(const expert_service_options& options)
{
    rank_group_manager_options made;
    made.group = options.group;
    made.rank = options.rank;
    made.ranks = options.ranks;
    made.agent_incarnation = options.agent_incarnation;
    made.layers = options.layers;
    made.experts_per_layer = options.experts_per_layer;
    return made;
}

rebalancer_options rebalancer_options_from(const expert_service_options& options)
{
    rebalancer_options made;
    made.group = options.group;
    made.rank = options.rank;
    made.ranks = options.ranks;
    made.report_interval = options.report_interval;
    made.policy = options.policy;
    return made;
}

} // namespace

absl::StatusOr<std::unique_ptr<expert_service>>
expert_service::create(const expert_service_options& options, platform::object_store& store,
                       const agent_peers& peers)
{
    std::unique_ptr<expert_service> made(new expert_service());
    absl::StatusOr<std::unique_ptr<engine_client>> engine =
        engine_client::create(options.engine, options.engine_timeout);
    if (!engine.ok()) {
        return engine.status();
    }
    made->rank_engine = *std::move(engine);
    absl::StatusOr<std::unique_ptr<map_voter>> voter =
        map_voter::create(voter_options_from(options), *made->rank_engine, peers);
    if (!voter.ok()) {
        return voter.status();
    }
    made->votes = *std::move(voter);
    absl::StatusOr<std::unique_ptr<rank_group_manager>> manager =
        rank_group_manager::create(manager_options_from(options), *made->rank_engine, store, peers);
    if (!manager.ok()) {
        return manager.status();
    }
    made->manager = *std::move(manager);
    made->proposer =
        map_proposer::create(options.proposer, *made->votes, *made->rank_engine, peers);
    made->load_rebalancer =
        rebalancer::create(rebalancer_options_from(options), *made->rank_engine, peers,
                           [service = made.get()](const expert_mapT& placement) {
                               return service->move_to(placement);
                           });
    return made;
}

expert_service::~expert_service()
{
    this->exchanges.wait_until_empty();
}

bool expert_service::owns(frame_type type)
{
    switch (type) {
    case frame_type::map_stage:
    case frame_type::map_propose:
    case frame_type::map_query:
    case frame_type::group_query:
    case frame_type::map_vote:
    case frame_type::map_outcome:
    case frame_type::group_state:
    case frame_type::expert_load:
        return true;
    default:
        return false;
    }
}

void expert_service::serve(const std::shared_ptr<wire::stream>& opened, wire::frame first)
{
    const bool started = this->exchanges.spawn(
        [this, opened, first = std::move(first)] { this->answer(*opened, first); });
    if (!started) {
        count("sardine_expert_exchanges_dropped_total");
    }
}

void expert_service::answer(wire::stream& opened, const wire::frame& first)
{
    switch (first.header.type) {
    case frame_type::map_stage:
        return this->answer_stage(opened, first);
    case frame_type::map_propose:
        return this->answer_propose(opened, first);
    case frame_type::map_query:
        return this->answer_query(opened, first);
    case frame_type::group_query:
        return this->answer_group_query(opened, first);
    default:
        return refuse_malformed(opened);
    }
}

void expert_service::answer_stage(wire::stream& opened, const wire::frame& first)
{
    const absl::StatusOr<map_stageT> order = wire::decode<map_stage>(first.payload);
    if (!order.ok()) {
        return refuse_malformed(opened);
    }
    const absl::Status staged = this->votes->stage(*order, absl::Now() + staging_limit);
    map_stagedT answer;
    answer.rank = static_cast<std::uint32_t>(this->votes->options().rank);
    answer.agent_incarnation = this->votes->options().agent_incarnation;
    answer.staged = staged.ok();
    answer.reason = std::string(staged.message());
    opened.send(frame_type::map_staged, wire::encode<map_staged>(answer)).IgnoreError();
    opened.finish();
}

void expert_service::answer_propose(wire::stream& opened, const wire::frame& first)
{
    const absl::StatusOr<map_proposeT> message = wire::decode<map_propose>(first.payload);
    if (!message.ok() || message->proposal == nullptr) {
        return refuse_malformed(opened);
    }
    const map_voteT vote = this->votes->vote_on(*message->proposal);
    opened.send(frame_type::map_vote, wire::encode<map_vote>(vote)).IgnoreError();
    opened.finish();
}

void expert_service::answer_query(wire::stream& opened, const wire::frame& first)
{
    const absl::StatusOr<map_queryT> query = wire::decode<map_query>(first.payload);
    if (!query.ok() || query->proposal == nullptr) {
        return refuse_malformed(opened);
    }
    const map_voteT vote = this->votes->answer_query(*query->proposal);
    opened.send(frame_type::map_vote, wire::encode<map_vote>(vote)).IgnoreError();
    opened.finish();
}

void expert_service::answer_group_query(wire::stream& opened, const wire::frame& first)
{
    const absl::StatusOr<group_queryT> query = wire::decode<group_query>(first.payload);
    if (!query.ok()) {
        return refuse_malformed(opened);
    }
    const group_stateT state = this->manager->answer_query(*query);
    opened.send(frame_type::group_state, wire::encode<group_state>(state)).IgnoreError();
    opened.finish();
}

void expert_service::handle_link_frame(const wire::frame& received)
{
    switch (received.header.type) {
    case frame_type::map_vote:
        if (const auto vote = wire::decode<map_vote>(received.payload); vote.ok()) {
            this->votes->note_vote(*vote);
        }
        return;
    case frame_type::map_outcome:
        if (const auto outcome = wire::decode<map_outcome>(received.payload); outcome.ok()) {
            this->votes->note_outcome(*outcome);
        }
        return;
    case frame_type::group_state:
        if (const auto state = wire::decode<group_state>(received.payload); state.ok()) {
            this->manager->note_state(*state);
        }
        return;
    case frame_type::expert_load:
        if (const auto load = wire::decode<expert_load>(received.payload); load.ok()) {
            this->load_rebalancer->note_load(*load);
        }
        return;
    default:
        return;
    }
}

absl::StatusOr<bool> expert_service::move_to(const expert_mapT& placement)
{
    return this->proposer->move_to(placement);
}

} // namespace sardinestream::experts
