#include "sardinestream/peers/home_entries.h"

#include <utility>

#include <boost/container_hash/hash.hpp>

namespace sardinestream {
namespace {

// Rendezvous hashing: the entries with the highest weights for an agent are its homes.
std::pair<std::size_t, std::uint32_t> weight_of(std::uint32_t agent, std::uint32_t entry)
{
    std::size_t weight = 0;
    boost::hash_combine(weight, agent);
    boost::hash_combine(weight, entry);
    return {weight, entry};
}

} // namespace

bool is_home_of(std::uint32_t agent, std::uint32_t entry, absl::Span<const std::uint32_t> others)
{
    const auto own = weight_of(agent, entry);
    int ahead = 0;
    for (const std::uint32_t other : others) {
        ahead += weight_of(agent, other) > own ? 1 : 0;
    }
    return ahead < homes_per_agent;
}

} // namespace sardinestream
