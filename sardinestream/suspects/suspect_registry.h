// Which requests are suspected of crashing the backend server that runs them.
//
// A request that is in flight when a backend server crashes becomes a suspect under its
// fingerprint. A suspect runs alone on a server; once two crashes stand against it, it is refused
// for a time; a suspect that completes is cleared of the crashes before.
//
//     registry->note_crash({in_flight_fingerprints}, crash);  // the agent saw its server crash
//     switch (registry->judge(fingerprint).verdict) { ... }
//     link->send_link_frame(frame_type::suspect_report, registry->report());
//
// Entries and agents each keep a registry and merge each other's reports; merging is idempotent and
// does not depend on the order. Agents send theirs when a link comes up, so an entry that has just
// started learns what the others know. The registry never sends anything by itself.

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

// What makes two requests the same for suspicion: `work` names the service or class of work.
[[nodiscard]] digest128 fingerprint_of(absl::string_view team, absl::string_view work,
                                       absl::string_view body);

enum class suspect_verdict : std::uint8_t {
    clear,     // run it as any other
    run_alone, // one crash stands against it: no other request on the server meanwhile
    refuse     // two or more crashes stand against it
};

struct suspect_judgement {
    suspect_verdict verdict = suspect_verdict::clear;
    absl::Duration retry_after = absl::ZeroDuration(); // where the verdict is `refuse`
};

struct suspect_registry_options {
    // How long after its last crash a fingerprint is refused, and suspected at all.
    absl::Duration refuse_for = absl::Minutes(10);
    std::size_t max_suspects = 10'000; // beyond this the one heard of longest ago is dropped
    std::function<absl::Time()> now = absl::Now;
};

// Thread-safe.
class suspect_registry {
public:
    [[nodiscard]] static std::unique_ptr<suspect_registry>
    create(suspect_registry_options options = {});

    // Records that a backend server crashed with these requests in flight.
    void note_crash(std::span<const digest128> in_flight, const crash& crashed);

    // Records that the request completed. Returns true where this cleared it of a crash, which is
    // news for the peers.
    bool note_completed(digest128 fingerprint);

    [[nodiscard]] suspect_judgement judge(digest128 fingerprint) const;

    // Returns the payload of a `suspect_report` frame with everything that is known and changed
    // after `sequence`; zero for everything.
    [[nodiscard]] std::string report(std::uint64_t sequence = 0) const;

    // Grows with every change.
    [[nodiscard]] std::uint64_t sequence() const;

    // Takes in a peer's report. Returns true where it held news, which other peers should have.
    // Fails on a payload that is not a report.
    [[nodiscard]] absl::StatusOr<bool> merge(absl::string_view payload);

    [[nodiscard]] std::size_t size() const;

private:
    struct suspect_row {
        // At most `max_crashes_kept`, none at or before `completed_ms`, no two of one identity.
        std::vector<crash> crashes;
        std::int64_t completed_ms = 0;
        std::uint64_t changed_at = 0; // the sequence of the last change
    };

    explicit suspect_registry(suspect_registry_options given) : options(std::move(given)) {}

    [[nodiscard]] bool merge_row(digest128 fingerprint, std::span<const crash> crashes,
                                 std::int64_t completed_ms) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void drop_expired() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void drop_oldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::int64_t oldest_kept_ms() const;

    const suspect_registry_options options;
    mutable absl::Mutex mutex;
    absl::flat_hash_map<digest128, suspect_row> suspects ABSL_GUARDED_BY(mutex);
    std::uint64_t last_sequence ABSL_GUARDED_BY(mutex) = 0; // the highest `changed_at`
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_SUSPECT_REGISTRY_H_
