// Creates, validates, compares and serializes expert maps, which assign each expert to a rank.
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

// Upper bounds on the dimensions of a map. The target size is 128 experts per layer on 64 ranks.
constexpr std::uint32_t max_ranks = 1024;
constexpr std::uint32_t max_layers = 1024;
constexpr std::uint32_t max_experts_per_layer = 4096;

// Returns a map of epoch 1 that distributes the experts of each layer evenly over the ranks.
[[nodiscard]] expert_mapT make_uniform_map(std::uint32_t layers, std::uint32_t experts_per_layer,
                                           std::uint32_t ranks);

// Returns `kInvalidArgument` unless the dimensions are in range, the placement has one entry per
// expert, and every entry is below `ranks`.
[[nodiscard]] absl::Status check_map(const expert_mapT& map, std::uint32_t ranks);

// Returns a digest of the epoch, the dimensions and the placement; equal maps have equal digests.
[[nodiscard]] std::string map_digest(const expert_mapT& map);

// Returns the number of experts whose rank differs between the maps. Maps of different sizes count
// as differing in every expert of `to`.
[[nodiscard]] std::size_t count_moves(const expert_mapT& from, const expert_mapT& to);

// Convert a map to and from JSON, the format that engines and the object store use.
[[nodiscard]] std::string map_to_json(const expert_mapT& map);
[[nodiscard]] absl::StatusOr<expert_mapT> map_from_json(absl::string_view text);

// Convert a proposal to and from the opaque token that an engine stores with its hold.
[[nodiscard]] std::string proposal_to_token(const map_proposalT& proposal);
[[nodiscard]] absl::StatusOr<map_proposalT> proposal_from_token(absl::string_view token);

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_EXPERT_MAP_H_
