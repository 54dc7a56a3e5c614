// Holds the endpoints of the ranks of a group, and computes a digest with which two processes can
// check that they know the same endpoints.

#ifndef SARDINESTREAM_PEERS_GROUP_ENDPOINTS_H_
#define SARDINESTREAM_PEERS_GROUP_ENDPOINTS_H_

#include <cstdint>
#include <map>

namespace sardinestream {

struct rank_endpoint {
    std::uint32_t ip = 0;
    // Port of the rank's engine.
    int engine_port = 0;

    friend bool operator==(const rank_endpoint&, const rank_endpoint&) = default;
};

// Endpoints by rank.
using group_endpoints = std::map<int, rank_endpoint>;

// Returns a digest that is the same in every process; zero if `endpoints` is empty.
[[nodiscard]] std::uint64_t digest_of(const group_endpoints& endpoints);

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_GROUP_ENDPOINTS_H_
