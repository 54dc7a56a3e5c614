// Where the ranks of a group are, and a digest by which two processes see that they know the same.
//
// A value and a pure function.

#ifndef SARDINESTREAM_PEERS_GROUP_PLACES_H_
#define SARDINESTREAM_PEERS_GROUP_PLACES_H_

#include <cstdint>
#include <map>

namespace sardinestream {

struct group_place {
    std::uint32_t ip = 0;
    // Of the rank's engine.
    int engine_port = 0;

    friend bool operator==(const group_place&, const group_place&) = default;
};

// By rank.
using group_places = std::map<int, group_place>;

// The same in every process; zero where no place is known.
[[nodiscard]] std::uint64_t digest_of(const group_places& places);

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_GROUP_PLACES_H_
