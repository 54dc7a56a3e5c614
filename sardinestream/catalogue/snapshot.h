// The catalogue as every process sees it: an immutable set of accepted entries with its number.
//
// A snapshot is shared by pointer and never changes; a newer one replaces it. Look-ups by bearer
// key and service are what the request path needs:
//
//     std::shared_ptr<const catalogue_snapshot> current = state.current();
//     const catalogue_entry* entry = current->find(sha256_hex(bearer_key), "assistant");

#ifndef SARDINESTREAM_CATALOGUE_SNAPSHOT_H_
#define SARDINESTREAM_CATALOGUE_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace sardinestream::catalogue {

// What kind of backend server does the work.
enum class work_class : std::uint8_t { model, plain };

// Which requests may be run again after an attempt of unknown outcome.
enum class repeat_rule : std::uint8_t {
    all,
    reads_only, // GET, HEAD and OPTIONS
    none,
};

// Order in which waiting requests are served.
enum class priority_class : std::uint8_t { reserved = 0, interactive = 1, batch = 2 };

struct entry_limits {
    std::uint32_t max_in_flight = 16;       // over all entry instances together, 1 to 100000
    std::uint32_t requests_per_s = 100;     // over all entry instances together, 1 to 1000000
    std::uint32_t max_body_bytes = 1 << 20; // 1 to 8 MiB
    std::uint32_t max_tokens = 4096;        // per completion, 1 to 1000000
    std::uint32_t max_deadline_ms = 60000;  // 1 to 3600000
};

// What the engines of a service are to run. At most one entry of a service says so.
struct engine_target {
    std::string version;
    std::vector<std::string> adapters;
    std::string role; // mixed, prefill or decode

    friend bool operator==(const engine_target&, const engine_target&) = default;
};

// One object that an operator edits.
struct catalogue_entry {
    std::string name;
    std::string owner;   // the team
    std::string service; // model name or plain service name
    work_class work = work_class::model;
    repeat_rule repeat = repeat_rule::all;
    priority_class priority = priority_class::interactive;
    entry_limits limits;
    std::vector<std::string> key_digests; // SHA-256 of bearer keys, hexadecimal
    double skew_weight = 1.0;             // 0 to 1000
    double rebalance_cost_weight = 1.0;   // 0 to 1000
    std::optional<engine_target> engine;  // models only
    std::uint64_t object_version = 0;     // version of the object that was accepted
};

class catalogue_snapshot {
public:
    catalogue_snapshot() = default;
    catalogue_snapshot(std::uint64_t number, std::vector<catalogue_entry> entries);

    // Grows with every accepted change; zero before the first.
    [[nodiscard]] std::uint64_t number() const { return this->snapshot_number; }

    // The entry of the team that holds the bearer key with this digest, for this service; null
    // where there is none. The pointer lives as long as the snapshot.
    [[nodiscard]] const catalogue_entry* find(absl::string_view key_digest,
                                              absl::string_view service) const;

    // True where any entry carries the digest: tells a wrong key from a wrong service.
    [[nodiscard]] bool knows_key(absl::string_view key_digest) const;

    // Sorted by name.
    [[nodiscard]] const std::vector<catalogue_entry>& entries() const { return this->all; }

private:
    std::uint64_t snapshot_number = 0;
    std::vector<catalogue_entry> all;
    // (key digest, service) -> index into `all`
    std::map<std::pair<std::string, std::string>, std::size_t> by_key;
};

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_SNAPSHOT_H_
