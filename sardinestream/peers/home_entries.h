// Which entries tell an agent what is large and seldom changes, so that not all of them do.
//
// A pure function: entries that know the same others agree without a word, and where one dies only
// its own agents get another home.

#ifndef SARDINESTREAM_PEERS_HOME_ENTRIES_H_
#define SARDINESTREAM_PEERS_HOME_ENTRIES_H_

#include <cstdint>

#include "absl/types/span.h"

namespace sardinestream {

// Homes of one agent: one may be cut off from it.
inline constexpr int homes_per_agent = 2;

// Whether `entry` is one of the homes of `agent`; `others` are the other entries that are alive.
[[nodiscard]] bool is_home_of(std::uint32_t agent, std::uint32_t entry,
                              absl::Span<const std::uint32_t> others);

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_HOME_ENTRIES_H_
