// Helpers for expert maps: which rank hosts which expert.
//
//     expert_mapT map = make_uniform_map(layers, experts_per_layer, ranks);
//     if (absl::Status valid = check_map(map, ranks); !valid.ok()) { ... }
//     std::size_t cost = count_moves(old_map, map);

#ifndef SARDINESTREAM_EXPERTS_EXPERT_MAP_H_
#define SARDINESTREAM_EXPERTS_EXPERT_MAP_H_

#include <cstdint>
#include <string>

#include "sardinestream/experts/experts_generated.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream::experts {

// Sizes that a map may have; the target is 128 experts a layer on 64 ranks.
constexpr std::uint32_t max_ranks = 1024;
constexpr std::uint32_t max_layers = 1024;
constexpr std::uint32_t max_experts_per_layer = 4096;

// Returns the map of epoch 1 that spreads each layer's experts evenly.
[[nodiscard]] expert_mapT make_uniform_map(std::uint32_t layers, std::uint32_t experts_per_layer,
                                           std::uint32_t ranks);

// Fails with `kInvalidArgument` unless the sizes agree and every rank is below `ranks`.
[[nodiscard]] absl::Status check_map(const expert_mapT& map, std::uint32_t ranks);

// Returns a digest of epoch and placement; equal maps have equal digests.
[[nodiscard]] std::string map_digest(const expert_mapT& map);

// Returns how many experts are on another rank. Maps of different sizes differ in every expert.
[[nodiscard]] std::size_t count_moves(const expert_mapT& from, const expert_mapT& to);

// JSON form, used towards engines and in the store.
[[nodiscard]] std::string map_to_json(const expert_mapT& map);
[[nodiscard]] absl::StatusOr<expert_mapT> map_from_json(absl::string_view text);

// A proposal as an opaque text that an engine keeps with its hold, and back.
[[nodiscard]] std::string proposal_to_token(const map_proposalT& proposal);
[[nodiscard]] absl::StatusOr<map_proposalT> proposal_from_token(absl::string_view token);

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_EXPERT_MAP_H_
