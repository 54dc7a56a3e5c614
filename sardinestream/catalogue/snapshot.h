// Holds the accepted entries of one catalogue number and finds them by bearer key and service.
//
// A snapshot is immutable and shared by pointer; a newer one replaces it. The request path looks up
// entries as follows:
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

// The kind of backend server that serves the requests.
enum class work_class : std::uint8_t { model, plain };

// Which requests may be executed again after an attempt with an unknown outcome.
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

// Desired state of a service's engines. At most one entry of a service has one.
struct engine_target {
    std::string version;
    std::vector<std::string> adapters;
    std::string role; // mixed, prefill or decode

    friend bool operator==(const engine_target&, const engine_target&) = default;
};

// One accepted entry, parsed from an object that an operator edits.
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
    std::uint64_t object_version = 0;     // generation of the object that was accepted
};

class catalogue_snapshot {
public:
    catalogue_snapshot() = default;
    catalogue_snapshot(std::uint64_t number, std::vector<catalogue_entry> entries);

    // Increases with every catalogue change; zero before the first.
    [[nodiscard]] std::uint64_t number() const { return this->snapshot_number; }

    // Returns the entry for this service that has the bearer key with this digest, or null if there
    // is none. The pointer is valid as long as the snapshot.
    [[nodiscard]] const catalogue_entry* find(absl::string_view key_digest,
                                              absl::string_view service) const;

    // Returns true if any entry has the digest; distinguishes a wrong key from a wrong service.
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
