#include "sardinestream/programs/rank_news.h"

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

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

} // namespace

news::OrderKind to_wire(order_kind kind)
{
    switch (kind) {
    case order_kind::prepare:
        return news::OrderKind::Prepare;
    case order_kind::hold:
        return news::OrderKind::Hold;
    case order_kind::arm:
        return news::OrderKind::Arm;
    case order_kind::release:
        return news::OrderKind::Release;
    }
    return news::OrderKind::None;
}

std::optional<order_kind> from_wire(news::OrderKind kind)
{
    switch (kind) {
    case news::OrderKind::Prepare:
        return order_kind::prepare;
    case news::OrderKind::Hold:
        return order_kind::hold;
    case news::OrderKind::Arm:
        return order_kind::arm;
    case news::OrderKind::Release:
        return order_kind::release;
    default:
        return std::nullopt;
    }
}

rank_report to_report(const news::RankStateT& state)
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
