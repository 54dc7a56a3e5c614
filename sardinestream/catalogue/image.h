// Defines the stored form of the accepted catalogue: one index and the shards that it references.
//
// The index holds the number in force and references the immutable shard objects that hold the
// entries. An index number identifies exactly one content and is never reused, because the index is
// changed by conditional update only. Each shard carries the index number at which it last changed,
// so that the shards changed after a given number are found by comparing numbers.
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
// Leaves room below the platform's limit of 1 MB per value.
constexpr std::size_t max_shard_bytes = 900U << 10;

// One decision on a version of an entry.
struct entry_decision {
    std::uint64_t generation = 0;  // of the object that was examined
    std::uint64_t number = 0;      // index number at which the decision came into force
    std::int64_t time_unix_ms = 0; // at the acceptor that decided

    friend bool operator==(const entry_decision&, const entry_decision&) = default;
};

// One entry as stored: the version in force, and the refusal of a newer version if there was one.
struct entry_record {
    std::string name;
    // Invariant: `accepted_spec` is empty if and only if `entry` is (no version was accepted).
    std::string accepted_spec;
    std::optional<catalogue_entry> entry;
    entry_decision accepted;
    // Invariant: `refusal.code` is `none` if and only if the last examined version is in force.
    entry_refusal refusal;
    entry_decision refused;
    // SHA-256 of the spec that was examined last, hexadecimal.
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
    std::vector<entry_record> records; // parsed from `content`, sorted by name
};

using shard_pointer = std::shared_ptr<const shard>;

struct shard_reference {
    std::uint64_t number = 0; // zero if the shard was never written
    std::string object_name;

    friend bool operator==(const shard_reference&, const shard_reference&) = default;
};

struct catalogue_index {
    std::uint64_t number = 0;
    // Platform version up to which the deciding acceptor had seen the entries. Never decreases.
    std::uint64_t seen_version = 0;
    // The acceptor that wrote the index, and a nonce by which it recognizes its own write.
    std::string writer;
    std::string nonce;
    std::array<shard_reference, shard_count> shards;
};

// Returns a hash of the shard references; indexes that reference the same shards have equal hashes.
[[nodiscard]] std::uint64_t references_hash(const catalogue_index& index);

class catalogue_image {
public:
    using shard_array = std::array<shard_pointer, shard_count>;

    // An empty image with number zero.
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

    // Returns the shards that changed after `number`.
    [[nodiscard]] std::vector<shard_pointer> shards_after(std::uint64_t number) const;

    // Returns the record of an entry, or null if there is none. Valid as long as the image.
    [[nodiscard]] const entry_record* find(absl::string_view entry_name) const;

private:
    catalogue_index description;
    shard_array parts;
    std::shared_ptr<const catalogue_snapshot> content;
};

// Returns the id of the shard that holds the entry.
[[nodiscard]] std::size_t shard_of(absl::string_view entry_name);

[[nodiscard]] std::string format_index(const catalogue_index& index);
[[nodiscard]] absl::StatusOr<catalogue_index> parse_index(absl::string_view text);

// Returns a shard with `records` serialized to its content.
[[nodiscard]] shard_pointer make_shard(std::size_t id, std::uint64_t number,
                                       std::string object_name, std::vector<entry_record> records);
[[nodiscard]] absl::StatusOr<shard_pointer> parse_shard(std::string object_name,
                                                        std::string content);

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_IMAGE_H_
