// Selects, by rendezvous hashing, the entries that send an agent large data that seldom changes
// (its home entries), so that not all entries send it.
//
// A pure function: entries that know the same set of entries agree without communication, and when
// one fails, only its own agents are assigned another home.

#ifndef SARDINESTREAM_PEERS_HOME_ENTRIES_H_
#define SARDINESTREAM_PEERS_HOME_ENTRIES_H_

#include <cstdint>

#include "absl/types/span.h"

namespace sardinestream {

// Home entries of one agent: two, since one may be cut off from it.
inline constexpr int homes_per_agent = 2;

// Returns true if `entry` is a home of `agent`; `others` are the other entries that are alive.
[[nodiscard]] bool is_home_of(std::uint32_t agent, std::uint32_t entry,
                              absl::Span<const std::uint32_t> others);

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_HOME_ENTRIES_H_
