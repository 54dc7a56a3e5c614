// Converts between wire messages and the types of the maps package, and logs orders.

#ifndef SARDINESTREAM_PROGRAMS_RANK_MESSAGES_H_
#define SARDINESTREAM_PROGRAMS_RANK_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "sardinestream/maps/engine_interface.h"
#include "sardinestream/maps/map_coordinator.h"
#include "sardinestream/peers/gossip_generated.h"

#include "absl/status/statusor.h"

namespace sardinestream {

// Encodes `state` without its counts. The caller adds the fields that identify the sender and its
// term.
[[nodiscard]] gossip::RankStateT encode_state(const rank_state& state);

// Decodes a state; fails if its experts do not fit `sets` layer sets.
[[nodiscard]] absl::StatusOr<rank_state> decode_state(const gossip::RankStateT& state, int sets);

// Maps by version, to decode maps that are sent as changes against an earlier version.
using known_maps = std::map<std::int64_t, expert_map>;

// Adds an order to a directive whose group and coordinator are already set. If `base` is not null,
// a map is encoded as its changes against `base`.
void add_order(const engine_order& order, const versioned_map* base, gossip::DirectiveT& directive);

// Returns the order in `directive`, or no value if it has none. Fails if its map does not fit
// `shape`, and with kFailedPrecondition if it consists of changes against a map that is not known.
[[nodiscard]] absl::StatusOr<std::optional<engine_order>>
decode_order(const gossip::DirectiveT& directive, const map_shape& shape, const known_maps& known);

// Logs and counts one order and its outcome.
void log_order(const engine_order& order, std::uint64_t term, order_outcome outcome);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_RANK_MESSAGES_H_
