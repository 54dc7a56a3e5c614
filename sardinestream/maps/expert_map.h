// Which ranks of a group hold which experts, by set of layers.

#ifndef SARDINESTREAM_MAPS_EXPERT_MAP_H_
#define SARDINESTREAM_MAPS_EXPERT_MAP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"

namespace sardinestream {

// The figures that a group's maps must fit.
struct map_shape {
    int sets = 0;
    int ranks = 0;
    int experts = 0;
    // The most experts that one rank holds of one set.
    int places = 0;

    friend bool operator==(const map_shape&, const map_shape&) = default;
};

// The experts of one rank, by set; each list is sorted.
using rank_experts = std::vector<std::vector<std::uint16_t>>;

class expert_map {
public:
    expert_map() = default;
    explicit expert_map(const map_shape& given);

    // Puts one rank's experts in place.
    void set_rank(int rank, const rank_experts& experts);

    [[nodiscard]] const map_shape& shape() const { return this->form; }
    // The experts that `rank` holds of `set`, sorted.
    [[nodiscard]] const std::vector<std::uint16_t>& experts_of(int set, int rank) const;
    [[nodiscard]] bool holds(int set, int rank, int expert) const;

    // Replaces the experts that `rank` holds of `set`.
    void set_list(int set, int rank, std::vector<std::uint16_t> experts);
    void add(int set, int rank, int expert);
    void remove(int set, int rank, int expert);

    // Fails unless each expert is on a rank and no rank holds more than its places.
    [[nodiscard]] absl::Status check() const;

    // Experts of `newer` that `rank` would have to copy, over all sets.
    [[nodiscard]] int new_experts(const expert_map& newer, int rank) const;

    friend bool operator==(const expert_map&, const expert_map&) = default;

private:
    [[nodiscard]] std::size_t position(int set, int rank) const;

    map_shape form;
    // By set, then rank.
    std::vector<std::vector<std::uint16_t>> lists;
};

// The map with which a group forms: experts in turn over the ranks.
[[nodiscard]] expert_map first_map(const map_shape& shape);

// The most experts of a set that a flat form can name.
inline constexpr int most_experts = 256;

// Flat forms for messages: for each list its length, then its experts.
[[nodiscard]] std::vector<std::uint8_t> flatten(const expert_map& map);
[[nodiscard]] std::vector<std::uint8_t> flatten(const rank_experts& experts);

// Fails on a form that does not fit `shape`.
[[nodiscard]] absl::Status unflatten(absl::Span<const std::uint8_t> flat, const map_shape& shape,
                                     expert_map& map);
[[nodiscard]] absl::Status unflatten(absl::Span<const std::uint8_t> flat, int sets,
                                     rank_experts& experts);

// The lists of `newer` that differ from those of `older`, which has the same shape: set, rank,
// length, experts.
[[nodiscard]] std::vector<std::uint8_t> flatten_changes(const expert_map& older,
                                                        const expert_map& newer);

// Turns the older map into the newer one. Fails on changes that do not fit the map.
[[nodiscard]] absl::Status apply_changes(absl::Span<const std::uint8_t> flat, expert_map& map);

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_EXPERT_MAP_H_
