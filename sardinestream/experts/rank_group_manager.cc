#include "sardinestream/experts/rank_group_manager.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::experts {
namespace {

using nlohmann::json;

bool names_engine(const rank_group& group, int rank, std::uint64_t engine)
{
    const auto at = static_cast<std::size_t>(rank);
    return at < group.engines.size() && group.engines[at] == engine;
}

} // namespace

std::string group_to_json(const rank_group& group)
{
    return json{{"group_incarnation", group.incarnation},
                {"engines", group.engines},
                {"map", json::parse(map_to_json(group.map))}}
        .dump();
}

absl::StatusOr<rank_group> group_from_json(absl::string_view text)
{
    const json parsed = json::parse(text.begin(), text.end(), nullptr, false);
    try {
        rank_group group;
        group.incarnation = parsed.at("group_incarnation").get<std::uint64_t>();
        group.engines = parsed.at("engines").get<std::vector<std::uint64_t>>();
        absl::StatusOr<expert_mapT> map = map_from_json(parsed.at("map").dump());
        if (!map.ok()) {
            return map.status();
        }
        group.map = *std::move(map);
        return group;
    }
    catch (const json::exception&) {
        return make_error(absl::StatusCode::kInvalidArgument, "read_group", "",
                          "not a rank group object");
    }
}

absl::StatusOr<std::unique_ptr<rank_group_manager>>
rank_group_manager::create(rank_group_manager_options options, engine_client& engine,
                           platform::object_store& store, agent_peers peers)
{
    if (options.rank < 0 || options.rank >= options.ranks || options.group.empty()) {
        return make_error(absl::StatusCode::kInvalidArgument, "create_keeper", options.group,
                          "rank out of range, or no group name");
    }
    std::unique_ptr<rank_group_manager> made(
        new rank_group_manager(std::move(options), engine, store, std::move(peers)));
    made->worker = std::thread([manager = made.get()] { manager->run(); });
    return made;
}

rank_group_manager::rank_group_manager(rank_group_manager_options options,
                                       engine_client& rank_engine,
                                       platform::object_store& object_store, agent_peers agents)
    : settings(std::move(options)), engine(rank_engine), store(object_store),
      peers(std::move(agents))
{
}

rank_group_manager::~rank_group_manager()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        this->wake_requested = true;
    }
    this->worker.join();
}

std::optional<rank_group> rank_group_manager::current() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->current_group;
}

group_stateT rank_group_manager::answer_query(const group_queryT& query)
{
    {
        const absl::MutexLock lock(&this->mutex);
        const bool named = this->current_group.has_value() &&
                           names_engine(*this->current_group, static_cast<int>(query.asking_rank),
                                        query.engine_incarnation);
        if (!named && query.engine_incarnation != 0) {
            this->formation_requested = true;
            this->wake_requested = true;
        }
    }
    return this->make_state();
}

group_stateT rank_group_manager::make_state()
{
    const absl::MutexLock lock(&this->mutex);
    group_stateT state;
    state.group = this->settings.group;
    state.rank = static_cast<std::uint32_t>(this->settings.rank);
    state.agent_incarnation = this->settings.agent_incarnation;
    state.engine_incarnation = this->own_engine;
    state.object_spec = this->current_group_spec;
    return state;
}

void rank_group_manager::note_state(const group_stateT& state)
{
    if (state.group == this->settings.group) {
        this->adopt_json(state.object_spec);
    }
}

void rank_group_manager::adopt_json(absl::string_view spec)
{
    if (spec.empty()) {
        return;
    }
    absl::StatusOr<rank_group> group = group_from_json(spec);
    if (!group.ok() || !check_map(group->map, this->settings.ranks).ok()) {
        log_event("rank_group_malformed", {{"group", this->settings.group}}, log_level::error);
        return;
    }
    this->adopt(*std::move(group));
}

void rank_group_manager::adopt(rank_group group)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->current_group.has_value() && this->current_group->incarnation >= group.incarnation) {
        return;
    }
    this->current_group_spec = group_to_json(group);
    this->current_group = std::move(group);
    this->wake_requested = true;
}

void rank_group_manager::run()
{
    while (true) {
        this->run_once();
        const absl::MutexLock lock(&this->mutex);
        this->mutex.AwaitWithTimeout(absl::Condition(&this->wake_requested),
                                     this->settings.poll_interval);
        this->wake_requested = false;
        if (this->stopping) {
            return;
        }
    }
}

void rank_group_manager::run_once()
{
    const absl::StatusOr<engine_state> own = this->engine.read_state();
    bool wanted = false;
    bool is_member = false;
    {
        const absl::MutexLock lock(&this->mutex);
        this->own_engine = own.ok() ? own->engine_incarnation : 0;
        wanted = std::exchange(this->formation_requested, false);
        is_member =
            own.ok() && this->current_group.has_value() &&
            names_engine(*this->current_group, this->settings.rank, own->engine_incarnation) &&
            own->group_incarnation == this->current_group->incarnation;
    }
    if (!own.ok()) {
        return;
    }
    const bool advancing = std::exchange(this->last_step, own->step) != own->step;
    if (is_member && advancing && !wanted) {
        return; // while the engines make progress, neither peers nor the store are needed
    }
    // Only the lowest reachable rank reads the store and forms the group.
    if (this->lower_rank_is_live(*own)) {
        this->join_engine();
        return;
    }
    this->read_store();
    this->join_engine();
    const std::optional<rank_group> group = this->current();
    const bool named =
        group.has_value() && names_engine(*group, this->settings.rank, own->engine_incarnation);
    if (!named || wanted) {
        this->form_group(*own);
    }
}

void rank_group_manager::read_store()
{
    const absl::StatusOr<platform::object> read =
        this->store.get(rank_group_kind, this->settings.group);
    if (read.ok()) {
        this->adopt_json(read->spec);
    }
}

bool rank_group_manager::lower_rank_is_live(const engine_state& own)
{
    for (int rank = 0; rank < this->settings.rank; ++rank) {
        const absl::StatusOr<group_stateT> answer = this->ask(rank, own);
        if (!answer.ok()) {
            continue;
        }
        this->note_state(*answer);
        if (answer->engine_incarnation != 0) {
            return true;
        }
    }
    return false;
}

absl::StatusOr<group_stateT> rank_group_manager::ask(int rank, const engine_state& own)
{
    group_queryT query;
    query.group = this->settings.group;
    query.asking_rank = static_cast<std::uint32_t>(this->settings.rank);
    query.engine_incarnation = own.engine_incarnation;
    const absl::StatusOr<wire::frame> answer =
        this->peers.request(rank, wire::frame_type::group_query, wire::encode<group_query>(query),
                            absl::Now() + this->settings.query_timeout);
    return answer.ok() ? wire::decode<group_state>(answer->payload) : answer.status();
}

void rank_group_manager::form_group(const engine_state& own)
{
    std::vector<std::uint64_t> engines(this->settings.ranks, 0);
    for (int rank = 0; rank < this->settings.ranks; ++rank) {
        if (rank == this->settings.rank) {
            engines[rank] = own.engine_incarnation;
            continue;
        }
        const absl::StatusOr<group_stateT> answer = this->ask(rank, own);
        if (!answer.ok()) {
            continue;
        }
        this->note_state(*answer);
        engines[rank] = answer->engine_incarnation;
    }
    const std::optional<rank_group> group = this->current();
    for (std::size_t rank = 0; rank < engines.size(); ++rank) {
        if (engines[rank] == 0 && group.has_value() && rank < group->engines.size()) {
            engines[rank] = group->engines[rank];
        }
    }
    if (std::count(engines.begin(), engines.end(), 0U) > 0) {
        count("sardine_group_incomplete_total");
        return; // some rank has never been reached; it sends a query once it is up
    }
    if (group.has_value() && group->engines == engines) {
        this->broadcast_group(); // other ranks than the one that asked may also have missed it
        return;
    }
    const rank_group next = this->next_group(engines);
    if (absl::Status written = this->write_group(next); !written.ok()) {
        // If only the store's answer was lost, the next read finds the group object.
        count("sardine_group_write_retries_total");
        log_failure("rank_group_not_written", written, {{"group", this->settings.group}});
        return;
    }
    count("sardine_groups_formed_total");
    this->adopt(next);
    this->broadcast_group();
    this->join_engine();
}

rank_group rank_group_manager::next_group(const std::vector<std::uint64_t>& engines)
{
    const std::optional<rank_group> group = this->current();
    rank_group next;
    next.engines = engines;
    next.incarnation = group.has_value() ? group->incarnation + 1 : 1;
    next.map = group.has_value()
                   ? group->map
                   : make_uniform_map(this->settings.layers, this->settings.experts_per_layer,
                                      this->settings.ranks);
    // The engine's current map is preferred, because it fits the present load better.
    const absl::StatusOr<expert_mapT> newest = this->engine.read_map();
    if (newest.ok() && newest->ranks.size() == next.map.ranks.size()) {
        next.map = *newest;
    }
    return next;
}

absl::Status rank_group_manager::write_group(const rank_group& next)
{
    const std::string spec = group_to_json(next);
    if (next.incarnation == 1) {
        return this->store.create_object(rank_group_kind, this->settings.group, spec).status();
    }
    const absl::StatusOr<platform::object> read =
        this->store.get(rank_group_kind, this->settings.group);
    if (!read.ok()) {
        return read.status();
    }
    const absl::StatusOr<rank_group> stored = group_from_json(read->spec);
    if (!stored.ok() || stored->incarnation + 1 != next.incarnation) {
        return make_error(absl::StatusCode::kAborted, "write_group", "platform",
                          "another group incarnation is current");
    }
    return this->store.update(rank_group_kind, this->settings.group, spec, read->version).status();
}

void rank_group_manager::broadcast_group()
{
    const std::string payload = wire::encode<group_state>(this->make_state());
    for (int rank = 0; rank < this->settings.ranks; ++rank) {
        if (rank != this->settings.rank) {
            this->peers.notify(rank, wire::frame_type::group_state, payload);
        }
    }
}

void rank_group_manager::join_engine()
{
    const std::optional<rank_group> group = this->current();
    if (!group.has_value()) {
        return;
    }
    const absl::MutexLock lock(&this->engine.order_mutex());
    const absl::StatusOr<engine_state> state = this->engine.read_state();
    // Some engines ignore the fencing number, so this check prevents a return to an earlier group
    // incarnation.
    const bool may_join = state.ok() && state->group_incarnation < group->incarnation &&
                          names_engine(*group, this->settings.rank, state->engine_incarnation);
    if (!may_join) {
        return;
    }
    const absl::Status joined = this->engine.join_group(group->incarnation, group->map);
    if (!joined.ok()) {
        count("sardine_group_join_retries_total");
        log_failure("rank_group_not_joined", joined, {{"group", this->settings.group}});
        return;
    }
    log_event("rank_group_joined",
              {{"group", this->settings.group}, {"group_incarnation", group->incarnation}});
}

} // namespace sardinestream::experts
