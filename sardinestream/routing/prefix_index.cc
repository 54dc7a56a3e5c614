#include "sardinestream/routing/prefix_index.h"

#include <algorithm>

namespace sardinestream::routing {
namespace {

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

std::uint64_t extend_hash(std::uint64_t hash, absl::string_view bytes)
{
    for (char c : bytes) {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    return hash;
}

} // namespace

std::vector<std::uint64_t> prefix_blocks(absl::string_view prompt)
{
    const std::size_t count = std::min(prompt.size() / prefix_block_bytes, max_prefix_blocks);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(count);
    std::uint64_t hash = fnv_offset;
    for (std::size_t i = 0; i < count; ++i) {
        hash = extend_hash(hash, prompt.substr(i * prefix_block_bytes, prefix_block_bytes));
        blocks.push_back(hash);
    }
    return blocks;
}

prefix_index::prefix_index(prefix_index_options limits) : options(limits) {}

void prefix_index::record(std::uint64_t server, std::span<const std::uint64_t> blocks,
                          absl::Time now)
{
    absl::MutexLock lock(&this->mutex);
    for (std::uint64_t block : blocks) {
        this->record_block(server, block, now);
    }
    while (this->entries.size() > this->options.max_blocks) {
        this->evict_least_recent();
    }
}

void prefix_index::correct(std::uint64_t server, std::span<const std::uint64_t> blocks,
                           std::size_t cached_blocks, absl::Time now)
{
    absl::MutexLock lock(&this->mutex);
    for (std::size_t i = 0; i < blocks.size(); ++i) {
        if (i < cached_blocks) {
            this->record_block(server, blocks[i], now);
            continue;
        }
        this->remove_block(server, blocks[i]);
    }
    while (this->entries.size() > this->options.max_blocks) {
        this->evict_least_recent();
    }
}

void prefix_index::forget(std::uint64_t server)
{
    absl::MutexLock lock(&this->mutex);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(this->entries.size());
    for (const auto& [block, unused] : this->entries) {
        blocks.push_back(block);
    }
    for (std::uint64_t block : blocks) {
        this->remove_block(server, block);
    }
}

prefix_index::match_list prefix_index::match(std::span<const std::uint64_t> blocks,
                                             absl::Time now) const
{
    absl::MutexLock lock(&this->mutex);
    match_list found;
    std::uint32_t depth = 0;
    for (std::uint64_t block : blocks) {
        auto entry = this->entries.find(block);
        if (entry == this->entries.end()) {
            break;
        }
        for (const holder& held : entry->second.holders) {
            if (now - held.last_seen > this->options.max_age) {
                continue;
            }
            auto known = std::find_if(found.begin(), found.end(), [&](const auto& match) {
                return match.first == held.server;
            });
            if (known == found.end() && depth == 0) {
                found.emplace_back(held.server, 1);
            }
            else if (known != found.end() && known->second == depth) {
                known->second = depth + 1;
            }
        }
        ++depth;
    }
    return found;
}

std::size_t prefix_index::size() const
{
    absl::MutexLock lock(&this->mutex);
    return this->entries.size();
}

void prefix_index::record_block(std::uint64_t server, std::uint64_t block, absl::Time now)
{
    auto [found, is_new] = this->entries.try_emplace(block);
    block_entry& entry = found->second;
    if (is_new) {
        this->recency.push_front(block);
        entry.position = this->recency.begin();
    }
    this->recency.splice(this->recency.begin(), this->recency, entry.position);
    auto same = [server](const holder& held) { return held.server == server; };
    auto known = std::find_if(entry.holders.begin(), entry.holders.end(), same);
    if (known != entry.holders.end()) {
        known->last_seen = now;
        return;
    }
    if (entry.holders.size() >= this->options.max_servers_per_block) {
        auto older = [](const holder& left, const holder& right) {
            return left.last_seen < right.last_seen;
        };
        entry.holders.erase(std::min_element(entry.holders.begin(), entry.holders.end(), older));
    }
    entry.holders.push_back({server, now});
}

void prefix_index::remove_block(std::uint64_t server, std::uint64_t block)
{
    auto found = this->entries.find(block);
    if (found == this->entries.end()) {
        return;
    }
    std::erase_if(found->second.holders,
                  [server](const holder& held) { return held.server == server; });
    if (found->second.holders.empty()) {
        this->recency.erase(found->second.position);
        this->entries.erase(found);
    }
}

void prefix_index::evict_least_recent()
{
    this->entries.erase(this->recency.back());
    this->recency.pop_back();
}

} // namespace sardinestream::routing
