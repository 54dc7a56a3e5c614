// Estimates which backend servers have cached which prompt prefixes.
//
// A prompt is divided into blocks. The hash of a block covers the block and everything before it,
// so equal hashes mean equal prefixes:
//
//     const std::vector<std::uint64_t> blocks = prefix_blocks(prompt);
//     for (const auto& [server, cached] : index.match(blocks, now)) { ... }
//     index.record(server, blocks, now);                     // the server has run the prompt
//     index.correct(server, blocks, cached_by_engine, now);  // the engine reported its cache hits
//
// Estimates expire and memory is bounded. A wrong estimate costs time but does not affect
// correctness.

#ifndef SARDINESTREAM_ROUTING_PREFIX_INDEX_H_
#define SARDINESTREAM_ROUTING_PREFIX_INDEX_H_

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::routing {

constexpr std::size_t prefix_block_bytes = 64;
// Assumes about four bytes of text per token.
constexpr std::uint32_t prefix_block_tokens = 16;
constexpr std::size_t max_prefix_blocks = 256;

// Returns the hashes of the complete leading blocks of `prompt`, at most `max_prefix_blocks`.
[[nodiscard]] std::vector<std::uint64_t> prefix_blocks(absl::string_view prompt);

struct prefix_index_options {
    std::size_t max_blocks = 50000; // about 10 MB
    std::size_t max_servers_per_block = 8;
    absl::Duration max_age = absl::Minutes(5);
};

// Maps prefix blocks to the servers that are expected to have them cached. A server is identified
// by the incarnation of its agent. Thread-safe.
class prefix_index {
public:
    using match_list = std::vector<std::pair<std::uint64_t, std::uint32_t>>;

    explicit prefix_index(prefix_index_options limits = {});

    // Records that the server has run a prompt with these blocks.
    void record(std::uint64_t server, std::span<const std::uint64_t> blocks, absl::Time now);

    // Applies the engine's report of how many leading blocks it had cached; removes the server from
    // the blocks after those.
    void correct(std::uint64_t server, std::span<const std::uint64_t> blocks,
                 std::size_t cached_blocks, absl::Time now);

    // Removes all blocks of a server.
    void forget(std::uint64_t server);

    // Returns each server that is expected to have leading blocks cached, and how many of them.
    [[nodiscard]] match_list match(std::span<const std::uint64_t> blocks, absl::Time now) const;

    // Returns the number of blocks in the index.
    [[nodiscard]] std::size_t size() const;

private:
    struct holder {
        std::uint64_t server = 0;
        absl::Time last_seen;
    };
    struct block_entry {
        std::vector<holder> holders; // at most max_servers_per_block, never empty
        std::list<std::uint64_t>::iterator position;
    };

    void record_block(std::uint64_t server, std::uint64_t block, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void remove_block(std::uint64_t server, std::uint64_t block)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void evict_least_recent() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const prefix_index_options options;
    mutable absl::Mutex mutex;
    std::unordered_map<std::uint64_t, block_entry> entries ABSL_GUARDED_BY(mutex);
    // Block hashes, most recently recorded first; exactly one for each element of `entries`.
    std::list<std::uint64_t> recency ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_PREFIX_INDEX_H_
