// The stored form of the accepted catalogue: one index and the shards that it names.
//
// The index says which number is in force and which immutable shard objects hold the entries. Index
// number N stands for exactly one content, for ever: it is moved by conditional update alone. Each
// shard carries the index number at which it last changed, so that what changed after number N is
// found by comparing numbers.
//
//     std::shared_ptr<const catalogue_image> image = state.image();
//     for (const shard_pointer& changed : image->shards_after(number_of_peer)) { send(*changed); }
//
// Images are immutable and shared by pointer.

#ifndef SARDINESTREAM_CATALOGUE_IMAGE_H_
#define SARDINESTREAM_CATALOGUE_IMAGE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/catalogue/entry_validation.h"
#include "sardinestream/catalogue/snapshot.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream::catalogue {

// Platform kinds and names.
constexpr absl::string_view entry_kind = "catalogueentries";
constexpr absl::string_view shard_kind = "catalogueshards";
constexpr absl::string_view index_kind = "catalogueindexes";
constexpr absl::string_view index_name = "catalogue";

constexpr std::size_t shard_count = 512;
// Room below the platform's limit of 1 MB a value.
constexpr std::size_t max_shard_bytes = 900U << 10;

// One decision on a version of an entry.
struct entry_decision {
    std::uint64_t generation = 0;  // of the object that was examined
    std::uint64_t number = 0;      // index number at which the decision came into force
    std::int64_t time_unix_ms = 0; // at the acceptor that decided

    friend bool operator==(const entry_decision&, const entry_decision&) = default;
};

// What is known of one entry: the version in force, and the last refusal where one came after it.
struct entry_record {
    std::string name;
    // Invariant: `accepted_spec` is empty exactly where `entry` is empty (no version was accepted).
    std::string accepted_spec;
    std::optional<catalogue_entry> entry;
    entry_decision accepted;
    // Invariant: `refusal.code` is `none` exactly where the newest version is in force.
    entry_refusal refusal;
    entry_decision refused;
    // Digest of the spec that was examined last.
    std::string examined_digest;

    [[nodiscard]] const entry_decision& last_decision() const
    {
        return this->refusal.code == entry_code::none ? this->accepted : this->refused;
    }
};

struct shard {
    std::size_t id = 0;
    std::uint64_t number = 0;          // index number at which it last changed
    std::string object_name;           // of the platform object that holds it
    std::string content;               // the object's spec, JSON
    std::vector<entry_record> records; // what `content` says, sorted by name
};

using shard_pointer = std::shared_ptr<const shard>;

struct shard_reference {
    std::uint64_t number = 0; // zero where the shard was never written
    std::string object_name;

    friend bool operator==(const shard_reference&, const shard_reference&) = default;
};

struct catalogue_index {
    std::uint64_t number = 0;
    // Version of the platform up to which the entries had been seen. Never falls.
    std::uint64_t seen_version = 0;
    // The acceptor that wrote it, and a nonce by which it knows its own write again.
    std::string writer;
    std::string nonce;
    std::array<shard_reference, shard_count> shards;
};

// Returns a hash of the shard references: equal where two indexes name the same shards.
[[nodiscard]] std::uint64_t references_hash(const catalogue_index& index);

class catalogue_image {
public:
    using shard_array = std::array<shard_pointer, shard_count>;

    // The image before any index.
    catalogue_image();
    // `shards` may hold null for shards that were never written.
    catalogue_image(catalogue_index index, shard_array shards);

    [[nodiscard]] std::uint64_t number() const { return this->description.number; }
    [[nodiscard]] const catalogue_index& index() const { return this->description; }
    [[nodiscard]] const shard_array& shards() const { return this->parts; }
    [[nodiscard]] const std::shared_ptr<const catalogue_snapshot>& snapshot() const
    {
        return this->content;
    }

    // The shards that changed after `number`.
    [[nodiscard]] std::vector<shard_pointer> shards_after(std::uint64_t number) const;

    // The record of an entry, or null.
    [[nodiscard]] const entry_record* find(absl::string_view entry_name) const;

private:
    catalogue_index description;
    shard_array parts;
    std::shared_ptr<const catalogue_snapshot> content;
};

// Returns the shard that holds the entry.
[[nodiscard]] std::size_t shard_of(absl::string_view entry_name);

[[nodiscard]] std::string format_index(const catalogue_index& index);
[[nodiscard]] absl::StatusOr<catalogue_index> parse_index(absl::string_view text);

// Returns a shard with its content written out.
[[nodiscard]] shard_pointer make_shard(std::size_t id, std::uint64_t number,
                                       std::string object_name, std::vector<entry_record> records);
[[nodiscard]] absl::StatusOr<shard_pointer> parse_shard(std::string object_name,
                                                        std::string content);

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_IMAGE_H_
