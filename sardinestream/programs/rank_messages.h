// Translates between news and the types of the maps package, and logs orders.

#ifndef SARDINESTREAM_PROGRAMS_RANK_MESSAGES_H_
#define SARDINESTREAM_PROGRAMS_RANK_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "sardinestream/maps/engine_port.h"
#include "sardinestream/maps/map_coordinator.h"
#include "sardinestream/peers/news_generated.h"

#include "absl/status/statusor.h"

namespace sardinestream {

// Without counts, and without what tells the sender and its term.
[[nodiscard]] news::RankStateT encode_state(const rank_state& state);

// Fails where the experts do not fit `sets`.
[[nodiscard]] absl::StatusOr<rank_state> decode_state(const news::RankStateT& state, int sets);

// Maps by version, for those that are told by their changes only.
using known_maps = std::map<std::int64_t, expert_map>;

// Puts an order into a directive that names its group and coordinator. A map is told by its changes
// against `base` where one is given.
void add_order(const engine_order& order, const versioned_map* base, news::DirectiveT& directive);

// Nothing in a directive without an order. Fails where its map does not fit `shape`, and with
// kFailedPrecondition where it is told by its changes against a map that is not known.
[[nodiscard]] absl::StatusOr<std::optional<engine_order>>
decode_order(const news::DirectiveT& directive, const map_shape& shape, const known_maps& known);

// Logs and counts one order and what became of it.
void log_order(const engine_order& order, std::uint64_t term, order_outcome outcome);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_RANK_MESSAGES_H_
