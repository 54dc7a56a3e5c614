#include "sardinestream/peers/group_endpoints.h"

#include <boost/container_hash/hash.hpp>

namespace sardinestream {

std::uint64_t digest_of(const group_endpoints& endpoints)
{
    std::size_t digest = 0;
    for (const auto& [rank, endpoint] : endpoints) {
        boost::hash_combine(digest, rank);
        boost::hash_combine(digest, endpoint.ip);
        boost::hash_combine(digest, endpoint.engine_port);
    }
    return digest;
}

} // namespace sardinestream
