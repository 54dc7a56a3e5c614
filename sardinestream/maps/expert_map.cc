#include "sardinestream/maps/expert_map.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

absl::Status invalid_map_error(absl::string_view reason)
{
    return make_error(absl::StatusCode::kInvalidArgument, "expert_map", "", reason);
}

void append_list(std::vector<std::uint8_t>& serialized, const std::vector<std::uint16_t>& list)
{
    serialized.push_back(static_cast<std::uint8_t>(list.size()));
    for (const std::uint16_t expert : list) {
        serialized.push_back(static_cast<std::uint8_t>(expert));
    }
}

// Removes one list from the front of `serialized`; returns false if the data is truncated.
bool parse_list(absl::Span<const std::uint8_t>& serialized, std::vector<std::uint16_t>& list)
{
    if (serialized.empty() ||
        serialized.size() < static_cast<std::size_t>(serialized.front()) + 1) {
        return false;
    }
    const std::size_t length = serialized.front();
    list.assign(serialized.begin() + 1,
                serialized.begin() + 1 + static_cast<std::ptrdiff_t>(length));
    serialized.remove_prefix(length + 1);
    std::sort(list.begin(), list.end());
    return true;
}

} // namespace

expert_map::expert_map(const map_shape& wanted)
    : dimensions(wanted), experts_by_set_and_rank(static_cast<std::size_t>(wanted.sets) *
                                                  static_cast<std::size_t>(wanted.ranks))
{
}

std::size_t expert_map::list_index(int set, int rank) const
{
    return static_cast<std::size_t>(set) * static_cast<std::size_t>(this->dimensions.ranks) +
           static_cast<std::size_t>(rank);
}

void expert_map::set_rank(int rank, const rank_experts& experts)
{
    for (int set = 0; set < this->dimensions.sets && set < static_cast<int>(experts.size());
         ++set) {
        std::vector<std::uint16_t>& list =
            this->experts_by_set_and_rank[this->list_index(set, rank)];
        list = experts[static_cast<std::size_t>(set)];
        std::sort(list.begin(), list.end());
    }
}

const std::vector<std::uint16_t>& expert_map::experts_of(int set, int rank) const
{
    return this->experts_by_set_and_rank[this->list_index(set, rank)];
}

bool expert_map::holds(int set, int rank, int expert) const
{
    const std::vector<std::uint16_t>& list = this->experts_of(set, rank);
    return std::binary_search(list.begin(), list.end(), static_cast<std::uint16_t>(expert));
}

void expert_map::set_experts(int set, int rank, std::vector<std::uint16_t> experts)
{
    std::sort(experts.begin(), experts.end());
    this->experts_by_set_and_rank[this->list_index(set, rank)] = std::move(experts);
}

void expert_map::add(int set, int rank, int expert)
{
    std::vector<std::uint16_t>& list = this->experts_by_set_and_rank[this->list_index(set, rank)];
    const auto value = static_cast<std::uint16_t>(expert);
    list.insert(std::lower_bound(list.begin(), list.end(), value), value);
}

void expert_map::remove(int set, int rank, int expert)
{
    std::erase(this->experts_by_set_and_rank[this->list_index(set, rank)],
               static_cast<std::uint16_t>(expert));
}

absl::Status expert_map::check() const
{
    for (int set = 0; set < this->dimensions.sets; ++set) {
        std::vector<bool> present(static_cast<std::size_t>(this->dimensions.experts), false);
        for (int rank = 0; rank < this->dimensions.ranks; ++rank) {
            const std::vector<std::uint16_t>& list = this->experts_of(set, rank);
            if (static_cast<int>(list.size()) > this->dimensions.max_experts_per_rank) {
                return invalid_map_error(absl::StrCat("set ", set, " rank ", rank,
                                                      " holds more experts than its limit"));
            }
            for (const std::uint16_t expert : list) {
                if (expert >= this->dimensions.experts) {
                    return invalid_map_error(absl::StrCat("set ", set, " has no expert ", expert));
                }
                present[expert] = true;
            }
        }
        if (std::find(present.begin(), present.end(), false) != present.end()) {
            return invalid_map_error(
                absl::StrCat("set ", set, " has an expert that no rank holds"));
        }
    }
    return absl::OkStatus();
}

int expert_map::new_experts(const expert_map& newer, int rank) const
{
    int copies = 0;
    for (int set = 0; set < this->dimensions.sets; ++set) {
        for (const std::uint16_t expert : newer.experts_of(set, rank)) {
            copies += this->holds(set, rank, expert) ? 0 : 1;
        }
    }
    return copies;
}

expert_map initial_map(const map_shape& shape)
{
    expert_map map(shape);
    for (int set = 0; set < shape.sets; ++set) {
        for (int expert = 0; expert < shape.experts; ++expert) {
            map.add(set, expert % shape.ranks, expert);
        }
    }
    return map;
}

std::vector<std::uint8_t> serialize(const expert_map& map)
{
    std::vector<std::uint8_t> serialized;
    for (int set = 0; set < map.shape().sets; ++set) {
        for (int rank = 0; rank < map.shape().ranks; ++rank) {
            append_list(serialized, map.experts_of(set, rank));
        }
    }
    return serialized;
}

std::vector<std::uint8_t> serialize(const rank_experts& experts)
{
    std::vector<std::uint8_t> serialized;
    for (const std::vector<std::uint16_t>& list : experts) {
        append_list(serialized, list);
    }
    return serialized;
}

absl::Status deserialize(absl::Span<const std::uint8_t> serialized, const map_shape& shape,
                         expert_map& map)
{
    map = expert_map(shape);
    std::vector<rank_experts> by_rank(static_cast<std::size_t>(shape.ranks));
    for (int set = 0; set < shape.sets; ++set) {
        for (rank_experts& experts : by_rank) {
            experts.emplace_back();
            if (!parse_list(serialized, experts.back())) {
                return invalid_map_error("serialized expert map is truncated");
            }
        }
    }
    for (int rank = 0; rank < shape.ranks; ++rank) {
        map.set_rank(rank, by_rank[static_cast<std::size_t>(rank)]);
    }
    return map.check();
}

absl::Status deserialize(absl::Span<const std::uint8_t> serialized, int sets, rank_experts& experts)
{
    experts.assign(static_cast<std::size_t>(sets), {});
    for (std::vector<std::uint16_t>& list : experts) {
        if (!parse_list(serialized, list)) {
            return invalid_map_error("serialized expert map is truncated");
        }
    }
    return absl::OkStatus();
}

std::vector<std::uint8_t> serialize_changes(const expert_map& older, const expert_map& newer)
{
    std::vector<std::uint8_t> serialized;
    for (int set = 0; set < newer.shape().sets; ++set) {
        for (int rank = 0; rank < newer.shape().ranks; ++rank) {
            const std::vector<std::uint16_t>& list = newer.experts_of(set, rank);
            if (list == older.experts_of(set, rank)) {
                continue;
            }
            serialized.push_back(static_cast<std::uint8_t>(set));
            serialized.push_back(static_cast<std::uint8_t>(rank));
            append_list(serialized, list);
        }
    }
    return serialized;
}

absl::Status apply_changes(absl::Span<const std::uint8_t> serialized, expert_map& map)
{
    constexpr std::size_t header_bytes = 2;
    while (!serialized.empty()) {
        if (serialized.size() < header_bytes || serialized[0] >= map.shape().sets ||
            serialized[1] >= map.shape().ranks) {
            return invalid_map_error("change names a set or rank outside the map");
        }
        const int set = serialized[0];
        const int rank = serialized[1];
        serialized.remove_prefix(header_bytes);
        std::vector<std::uint16_t> list;
        if (!parse_list(serialized, list)) {
            return invalid_map_error("serialized expert map is truncated");
        }
        map.set_experts(set, rank, std::move(list));
    }
    return map.check();
}

} // namespace sardinestream
