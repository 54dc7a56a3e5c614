// Tracks which requests are suspected of crashing the backend servers that run them.
//
// Each crash is recorded with the requests that were lost in it, described by their traits (see
// `blame.h`, which decides whom to blame). A request that completes clears its traits of all
// earlier crashes. A suspected request should run alone on a server; a blamed one is refused for a
// limited time, after which a single request tries whether it still crashes its server: if it does,
// the next refusal is longer. What is undecided (see `blame.h`) is tried sooner, since most of it
// is sound: the first one that crashes its server decides for all.
//
//     registry->record_crash(crash, lost_requests);
//     registry->record_completion(traits);
//     switch (registry->assess(traits).verdict) { ... }
//     send(registry->report());
//
// Each process keeps a registry and merges the reports of its peers. Merging is idempotent and does
// not depend on order, and reports carry ages, so clocks need not agree. The registry itself never
// sends anything. Its size is bounded: the oldest crashes are forgotten first.

#ifndef SARDINESTREAM_SUSPECTS_SUSPECT_REGISTRY_H_
#define SARDINESTREAM_SUSPECTS_SUSPECT_REGISTRY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "sardinestream/base/digest128.h"
#include "sardinestream/suspects/blame.h"
#include "sardinestream/suspects/recent_traits.h"
#include "sardinestream/suspects/request_trials.h"
#include "sardinestream/suspects/suspects_generated.h"

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_set.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace sardinestream::suspects {

// Returns the trait by which equal requests are recognized. `work` names the service or the class
// of work.
[[nodiscard]] digest128 fingerprint_of(absl::string_view team, absl::string_view work,
                                       absl::string_view body);

// Returns the trait of a part of a prompt.
[[nodiscard]] digest128 prompt_part_trait(absl::string_view service, absl::string_view part);

enum class suspect_verdict : std::uint8_t {
    clear,     // run it like any other request
    run_alone, // involved in a crash: run it with no other request on the server
    refuse     // blamed for crashes
};

struct suspect_assessment {
    suspect_verdict verdict = suspect_verdict::clear;
    absl::Duration retry_after = absl::ZeroDuration(); // set if the verdict is `refuse`
    // The request was blamed, and now tries whether it still crashes its server.
    bool begins_trial = false;
};

struct suspect_registry_options {
    // How long a crash is remembered.
    absl::Duration suspicion_period = absl::Minutes(10);
    // How long its cause is refused.
    refusal_options refusal{};
    // Position of this process among those that may try a request with this trait, so that not all
    // of them do at once. Each tries only `trial_stagger` after the one before it; of what is
    // undecided, only after a whole trial.
    std::function<int(const digest128& trait)> trial_position = [](const digest128&) { return 0; };
    absl::Duration trial_stagger = absl::Seconds(2);
    // How long a completion counts as recent.
    absl::Duration proof_period = absl::Minutes(10);
    std::size_t max_crashes = 256;
    blame_options blame{};
    std::function<absl::Time()> now = absl::Now;
};

struct refused_combinations {
    std::size_t all = 0;
    std::size_t undecided = 0; // of `all`
};

// Thread-safe.
class suspect_registry {
public:
    [[nodiscard]] static std::unique_ptr<suspect_registry>
    create(suspect_registry_options options = {});

    // Records that a backend server crashed and these requests were lost. May be called several
    // times for a crash, each time with further requests. Returns whether that was new.
    bool record_crash(const crash_id& crash, std::span<const request_traits> lost);

    // Records that a request completed, or has run for long enough to show that it crashes no
    // server. Returns whether this cleared it of a crash, in which case the peers must be notified.
    bool record_completion(const request_traits& request);

    // Decides whether the request may run now. A request that may try once more whether it crashes
    // its server keeps this right when it is assessed again.
    [[nodiscard]] suspect_assessment assess(const request_traits& request);

    // Returns a report of all crashes of which something changed after `sequence`; zero returns
    // all.
    [[nodiscard]] std::string report(std::uint64_t sequence = 0) const;

    // Returns the same in reports of about `max_bytes` at the most, or of a single crash.
    [[nodiscard]] std::vector<std::string> split_report(std::uint64_t sequence,
                                                        std::size_t max_bytes) const;

    // Increases with every change.
    [[nodiscard]] std::uint64_t sequence() const;

    // Merges a peer's report. Returns true if it changed this registry, in which case it should be
    // forwarded to other peers. Returns an error if the payload is not a report.
    [[nodiscard]] absl::StatusOr<bool> merge(absl::string_view payload);

    // Returns a digest of what is known; equal for registries that know the same, zero if there is
    // nothing.
    [[nodiscard]] std::uint64_t digest() const;

    // Returns the number of crashes that are remembered.
    [[nodiscard]] std::size_t size() const;

    // Returns how many combinations of traits are refused.
    [[nodiscard]] refused_combinations blamed() const;

private:
    // Server, incarnation and number, as in `crash_id`.
    using crash_key = std::array<std::uint64_t, 3>;
    struct recorded_crash {
        absl::Time at;
        // At most `max_lost_requests`; kept sorted, so that the order of reports does not matter.
        std::set<request_traits> lost;
        std::set<digest128> cleared;
        std::uint64_t changed_at = 0; // the sequence of the last change
        std::uint64_t digest = 0;     // of all of the above but the times
    };

    explicit suspect_registry(suspect_registry_options chosen);

    // Adds what is new of the crash. Returns whether anything was.
    bool merge_crash(const crash_key& key, absl::Time at, std::span<const request_traits> lost,
                     std::span<const digest128> cleared) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void forget_oldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void note_change(const crash_key& key, recorded_crash& changed)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Computes `blame` and `suspected` anew if they are no longer valid.
    void update_verdicts() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool is_proven(const digest128& trait) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool is_suspected(const request_traits& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns from when this process may try a request of this combination.
    [[nodiscard]] absl::Time trial_time(const blamed_traits& blamed) const;
    [[nodiscard]] absl::Time oldest_kept() const;
    using crash_list = std::vector<const std::pair<const crash_key, recorded_crash>*>;
    [[nodiscard]] crash_list changed_after(std::uint64_t sequence) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::string encode(const crash_list& listed) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::unique_ptr<crash_caseT> describe(const crash_key& key,
                                                        const recorded_crash& crash) const;

    const suspect_registry_options options;
    mutable absl::Mutex mutex;
    std::map<crash_key, recorded_crash> crashes ABSL_GUARDED_BY(mutex);
    // When requests with a trait last completed, as this process saw it, and as peers have said.
    recent_traits completed ABSL_GUARDED_BY(mutex);
    recent_traits completed_at_peers ABSL_GUARDED_BY(mutex);
    std::uint64_t last_sequence ABSL_GUARDED_BY(mutex) = 0; // the highest `changed_at`
    request_trials trials ABSL_GUARDED_BY(mutex);
    // Derived from `crashes` and the completions.
    mutable std::vector<blamed_traits> blame ABSL_GUARDED_BY(mutex);
    // Traits that have not been cleared of a crash.
    mutable absl::flat_hash_set<digest128> suspected ABSL_GUARDED_BY(mutex);
    // When the next crash is forgotten, or something has changed.
    mutable absl::Time verdicts_expire_at ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_SUSPECT_REGISTRY_H_
