// Where the ranks of a group are, and a digest by which two processes see that they know the same.
//
// A value and a pure function.

#ifndef SARDINESTREAM_PEERS_GROUP_ENDPOINTS_H_
#define SARDINESTREAM_PEERS_GROUP_ENDPOINTS_H_

#include <cstdint>
#include <map>

namespace sardinestream {

struct rank_endpoint {
    std::uint32_t ip = 0;
    // Of the rank's engine.
    int engine_port = 0;

    friend bool operator==(const rank_endpoint&, const rank_endpoint&) = default;
};

// By rank.
using group_endpoints = std::map<int, rank_endpoint>;

// The same in every process; zero where no place is known.
[[nodiscard]] std::uint64_t digest_of(const group_endpoints& places);

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_GROUP_ENDPOINTS_H_
