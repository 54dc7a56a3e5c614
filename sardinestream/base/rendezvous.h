// Ranks members for a key by rendezvous hashing. Processes that know the same members agree without
// communication, and when a member is lost, only its own keys move.

#ifndef SARDINESTREAM_BASE_RENDEZVOUS_H_
#define SARDINESTREAM_BASE_RENDEZVOUS_H_

#include <cstdint>

#include "absl/types/span.h"

namespace sardinestream {

// Returns how many of `others` rank before `member` for the key.
[[nodiscard]] int rendezvous_rank(std::uint64_t key, std::uint32_t member,
                                  absl::Span<const std::uint32_t> others);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_RENDEZVOUS_H_
