// Records which ranks of a group hold which experts, for each set of layers.

#ifndef SARDINESTREAM_MAPS_EXPERT_MAP_H_
#define SARDINESTREAM_MAPS_EXPERT_MAP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"

namespace sardinestream {

// Dimensions that all maps of a group share.
struct map_shape {
    int sets = 0;
    int ranks = 0;
    int experts = 0;
    // Maximum number of experts of one set that a rank holds.
    int max_experts_per_rank = 0;

    friend bool operator==(const map_shape&, const map_shape&) = default;
};

// The experts of one rank, by set. Each list is sorted.
using rank_experts = std::vector<std::vector<std::uint16_t>>;

// Not thread-safe.
class expert_map {
public:
    expert_map() = default;
    explicit expert_map(const map_shape& wanted);

    // Replaces the experts of one rank in all sets.
    void set_rank(int rank, const rank_experts& experts);

    [[nodiscard]] const map_shape& shape() const { return this->dimensions; }
    // The experts that `rank` holds of `set`, sorted.
    [[nodiscard]] const std::vector<std::uint16_t>& experts_of(int set, int rank) const;
    [[nodiscard]] bool holds(int set, int rank, int expert) const;

    // Replaces the experts that `rank` holds of `set`.
    void set_experts(int set, int rank, std::vector<std::uint16_t> experts);
    void add(int set, int rank, int expert);
    void remove(int set, int rank, int expert);

    // Returns an error unless each expert is held by at least one rank and no rank exceeds the
    // limit of the shape.
    [[nodiscard]] absl::Status check() const;

    // Number of experts, over all sets, that `rank` must copy to use the map `newer`.
    [[nodiscard]] int new_experts(const expert_map& newer, int rank) const;

    friend bool operator==(const expert_map&, const expert_map&) = default;

private:
    [[nodiscard]] std::size_t list_index(int set, int rank) const;

    map_shape dimensions;
    // Sorted lists of experts, ordered by set, then by rank.
    std::vector<std::vector<std::uint16_t>> experts_by_set_and_rank;
};

// Returns the map with which a group forms: experts are assigned to ranks round-robin.
[[nodiscard]] expert_map initial_map(const map_shape& shape);

// Maximum number of experts of a set in a serialized map: an expert takes one byte.
inline constexpr int max_serializable_experts = 256;

// Serialized forms for messages: for each list its length, then its experts, one byte each.
[[nodiscard]] std::vector<std::uint8_t> serialize(const expert_map& map);
[[nodiscard]] std::vector<std::uint8_t> serialize(const rank_experts& experts);

// Parses a serialized map or rank. Returns an error if the data is truncated or, for a map, does
// not fit `shape`.
[[nodiscard]] absl::Status deserialize(absl::Span<const std::uint8_t> serialized,
                                       const map_shape& shape, expert_map& map);
[[nodiscard]] absl::Status deserialize(absl::Span<const std::uint8_t> serialized, int sets,
                                       rank_experts& experts);

// Serializes the lists of `newer` that differ from those of `older`, which must have the same
// shape. For each list: set, rank, length, experts.
[[nodiscard]] std::vector<std::uint8_t> serialize_changes(const expert_map& older,
                                                          const expert_map& newer);

// Applies serialized changes to the older map. Returns an error if they do not fit the map, which
// may then be partly changed.
[[nodiscard]] absl::Status apply_changes(absl::Span<const std::uint8_t> serialized,
                                         expert_map& map);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_EXPERT_MAP_H_
