// Translates between news and the types of the maps package, and logs orders.

#ifndef SARDINESTREAM_PROGRAMS_RANK_NEWS_H_
#define SARDINESTREAM_PROGRAMS_RANK_NEWS_H_

#include <cstdint>
#include <optional>

#include "sardinestream/maps/engine_port.h"
#include "sardinestream/maps/map_switch.h"
#include "sardinestream/peers/news_generated.h"

namespace sardinestream {

[[nodiscard]] news::OrderKind to_wire(order_kind kind);

// Nothing for a message without an order.
[[nodiscard]] std::optional<order_kind> from_wire(news::OrderKind kind);

[[nodiscard]] rank_report to_report(const news::RankStateT& state);

// Logs and counts one order and what became of it.
void log_order(const engine_order& order, std::uint64_t term, order_outcome outcome);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_RANK_NEWS_H_
