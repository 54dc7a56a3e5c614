#include "sardinestream/base/rendezvous.h"

#include <algorithm>
#include <utility>

#include <boost/container_hash/hash.hpp>

namespace sardinestream {
namespace {

// Of two members, the one with the higher weight ranks first.
std::pair<std::size_t, std::uint32_t> weight_of(std::uint64_t key, std::uint32_t member)
{
    std::size_t weight = 0;
    boost::hash_combine(weight, key);
    boost::hash_combine(weight, member);
    return {weight, member};
}

} // namespace

int rendezvous_rank(std::uint64_t key, std::uint32_t member, absl::Span<const std::uint32_t> others)
{
    const auto own = weight_of(key, member);
    return static_cast<int>(std::count_if(others.begin(), others.end(), [&](std::uint32_t other) {
        return weight_of(key, other) > own;
    }));
}

} // namespace sardinestream
