#include "sardinestream/programs/rank_messages.h"

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/programs/packed_counts.h"

namespace sardinestream {
namespace {

absl::string_view order_name(order_kind kind)
{
    switch (kind) {
    case order_kind::prepare:
        return "prepare";
    case order_kind::hold:
        return "hold";
    case order_kind::arm:
        return "arm";
    case order_kind::release:
        return "release";
    }
    return "";
}

absl::string_view outcome_name(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::refused:
        return "refused";
    case order_outcome::no_answer:
        return "no_answer";
    }
    return "";
}

gossip::OrderKind encode_kind(order_kind kind)
{
    switch (kind) {
    case order_kind::prepare:
        return gossip::OrderKind::Prepare;
    case order_kind::hold:
        return gossip::OrderKind::Hold;
    case order_kind::arm:
        return gossip::OrderKind::Arm;
    case order_kind::release:
        return gossip::OrderKind::Release;
    }
    return gossip::OrderKind::None;
}

std::optional<order_kind> decode_kind(gossip::OrderKind kind)
{
    switch (kind) {
    case gossip::OrderKind::Prepare:
        return order_kind::prepare;
    case gossip::OrderKind::Hold:
        return order_kind::hold;
    case gossip::OrderKind::Arm:
        return order_kind::arm;
    case gossip::OrderKind::Release:
        return order_kind::release;
    default:
        return std::nullopt;
    }
}

rank_report decode_report(const gossip::RankStateT& state)
{
    rank_report report;
    report.epoch = state.epoch;
    report.step = state.step;
    report.map_version = state.map_version;
    report.prepared_version = state.prepared_version;
    if (state.armed_version > 0) {
        report.armed = armed_switch{state.armed_version, state.armed_step};
    }
    if (state.held_step >= 0) {
        report.held_step = state.held_step;
    }
    return report;
}

} // namespace

gossip::RankStateT encode_state(const rank_state& state)
{
    const rank_report& report = state.report;
    gossip::RankStateT encoded;
    encoded.rank = state.rank;
    encoded.epoch = report.epoch;
    encoded.broken = state.broken;
    encoded.slowness = static_cast<float>(state.slowness);
    encoded.step = report.step;
    encoded.map_version = report.map_version;
    encoded.prepared_version = report.prepared_version;
    if (report.armed.has_value()) {
        encoded.armed_version = report.armed->version;
        encoded.armed_step = report.armed->step;
    }
    encoded.held_step = report.held_step.value_or(-1);
    encoded.prepare_accepted = state.prepares.accepted;
    encoded.prepare_refused = state.prepares.refused;
    encoded.prepare_sent = state.prepares.sent;
    encoded.experts = serialize(state.experts);
    return encoded;
}

absl::StatusOr<rank_state> decode_state(const gossip::RankStateT& state, int sets)
{
    rank_state decoded;
    decoded.rank = state.rank;
    decoded.report = decode_report(state);
    decoded.broken = state.broken;
    decoded.slowness = state.slowness;
    decoded.prepares = {state.prepare_accepted, state.prepare_refused, state.prepare_sent};
    if (!state.experts.empty()) {
        SARDINE_RETURN_IF_ERROR(deserialize(state.experts, sets, decoded.experts));
    }
    decoded.counts = unpack_counts(state.counts, state.counts_scale);
    return decoded;
}

void add_order(const engine_order& order, const versioned_map* base, gossip::DirectiveT& directive)
{
    directive.epoch = order.epoch;
    directive.kind = encode_kind(order.kind);
    directive.version = order.version;
    directive.step = order.step;
    if (order.kind != order_kind::prepare) {
        return;
    }
    if (base == nullptr) {
        directive.map = serialize(order.map);
        return;
    }
    directive.base_version = base->version;
    directive.map = serialize_changes(base->map, order.map);
}

absl::StatusOr<std::optional<engine_order>>
decode_order(const gossip::DirectiveT& directive, const map_shape& shape, const known_maps& known)
{
    const std::optional<order_kind> kind = decode_kind(directive.kind);
    if (!kind.has_value()) {
        return std::optional<engine_order>();
    }
    engine_order order;
    order.kind = *kind;
    order.epoch = directive.epoch;
    order.version = directive.version;
    order.step = directive.step;
    if (order.kind != order_kind::prepare) {
        return order;
    }
    if (directive.base_version < 0) {
        SARDINE_RETURN_IF_ERROR(deserialize(directive.map, shape, order.map));
        return order;
    }
    const auto base = known.find(directive.base_version);
    if (base == known.end() && directive.base_version > 0) {
        return make_error(absl::StatusCode::kFailedPrecondition, "decode", "coordinator",
                          "map is sent as changes against an unknown base version");
    }
    order.map = directive.base_version == 0 ? initial_map(shape) : base->second;
    SARDINE_RETURN_IF_ERROR(apply_changes(directive.map, order.map));
    return order;
}

void log_order(const engine_order& order, std::uint64_t term, order_outcome outcome)
{
    count("sardine_engine_orders_total", {{"kind", std::string(order_name(order.kind))},
                                          {"outcome", std::string(outcome_name(outcome))}});
    log_event("order", {{"kind", order_name(order.kind)},
                        {"version", order.version},
                        {"step", order.step},
                        {"epoch", order.epoch},
                        {"term", term},
                        {"outcome", outcome_name(outcome)}});
}

} // namespace sardinestream
