// Tracks which requests are suspected of crashing the backend server that runs them.
//
// A request that is in flight when a backend server crashes becomes a suspect, identified by its
// fingerprint. A suspect runs alone on a server. After two recorded crashes it is refused for a
// limited time. A suspect that completes is cleared of all earlier crashes.
//
//     registry->record_crash({in_flight_fingerprints}, crash); // the agent's server has crashed
//     switch (registry->assess(fingerprint).verdict) { ... }
//     link->send_link_frame(frame_type::suspect_report, registry->report());
//
// Each entry and agent keeps a registry and merges the reports of its peers. Merging is idempotent
// and does not depend on order. Agents send their registry when a link comes up, so a newly started
// entry learns what the others know. The registry itself never sends anything.

#ifndef SARDINESTREAM_SUSPECTS_SUSPECT_REGISTRY_H_
#define SARDINESTREAM_SUSPECTS_SUSPECT_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "sardinestream/base/digest128.h"
#include "sardinestream/suspects/suspects_generated.h"

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace sardinestream::suspects {

// Returns the fingerprint by which equal requests are recognized. `work` names the service or the
// class of work.
[[nodiscard]] digest128 fingerprint_of(absl::string_view team, absl::string_view work,
                                       absl::string_view body);

enum class suspect_verdict : std::uint8_t {
    clear,     // run it like any other request
    run_alone, // one crash recorded: run it with no other request on the server
    refuse     // two or more crashes recorded
};

struct suspect_assessment {
    suspect_verdict verdict = suspect_verdict::clear;
    absl::Duration retry_after = absl::ZeroDuration(); // set if the verdict is `refuse`
};

struct suspect_registry_options {
    // How long after its last crash a fingerprint remains suspected or refused.
    absl::Duration suspicion_period = absl::Minutes(10);
    std::size_t max_suspects = 10'000; // beyond this, the one with the oldest last event is evicted
    std::function<absl::Time()> now = absl::Now;
};

// Thread-safe.
class suspect_registry {
public:
    [[nodiscard]] static std::unique_ptr<suspect_registry>
    create(suspect_registry_options options = {});

    // Records that a backend server crashed with these requests in flight.
    void record_crash(std::span<const digest128> in_flight, const crash& crashed);

    // Records that the request completed. Returns true if this cleared it of a crash, in which case
    // the peers must be notified.
    bool record_completion(digest128 fingerprint);

    [[nodiscard]] suspect_assessment assess(digest128 fingerprint) const;

    // Returns the payload of a `suspect_report` frame with all records that changed after
    // `sequence`; zero returns all records.
    [[nodiscard]] std::string report(std::uint64_t sequence = 0) const;

    // Increases with every change.
    [[nodiscard]] std::uint64_t sequence() const;

    // Merges a peer's report. Returns true if it changed this registry, in which case it should be
    // forwarded to other peers. Returns an error if the payload is not a report.
    [[nodiscard]] absl::StatusOr<bool> merge(absl::string_view payload);

    [[nodiscard]] std::size_t size() const;

private:
    struct suspect_record {
        // At most `max_crashes_kept`, none at or before `completed_ms`, no two with the same
        // identity.
        std::vector<crash> crashes;
        std::int64_t completed_ms = 0;
        std::uint64_t changed_at = 0; // the sequence of the last change
    };

    explicit suspect_registry(suspect_registry_options given) : options(std::move(given)) {}

    [[nodiscard]] bool merge_suspect(digest128 fingerprint, std::span<const crash> crashes,
                                     std::int64_t completed_ms)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void evict_expired() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void evict_oldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::int64_t oldest_kept_ms() const;

    const suspect_registry_options options;
    mutable absl::Mutex mutex;
    absl::flat_hash_map<digest128, suspect_record> suspects ABSL_GUARDED_BY(mutex);
    std::uint64_t last_sequence ABSL_GUARDED_BY(mutex) = 0; // the highest `changed_at`
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_SUSPECT_REGISTRY_H_
