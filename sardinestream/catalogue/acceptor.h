// Accepts or refuses the entries that operators edit and writes each new catalogue index.
//
//     auto deciding = acceptor::create({.id = "entry-1"}, store, state);
//
// Several acceptors run concurrently, in different processes and places, without a lease: the index
// is changed by conditional update only, so when two acceptors race, one update fails and that
// acceptor decides again on the new index. The acceptor that wrote the index last decides at once
// and the others wait for a short delay, which keeps races rare. An acceptor whose view of the
// entries is older than the index never writes.
//
// Responsible for decisions on entries and for writing shards, the index and entry statuses. Never
// edits an entry's spec. Thread-safe.

#ifndef SARDINESTREAM_CATALOGUE_ACCEPTOR_H_
#define SARDINESTREAM_CATALOGUE_ACCEPTOR_H_

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/catalogue/acceptance.h"
#include "sardinestream/catalogue/catalogue_state.h"
#include "sardinestream/store/object_store.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::catalogue {

constexpr absl::Duration shortest_decision_pause = absl::Milliseconds(100);

struct acceptor_options {
    std::string id = {};                             // unique among the acceptors
    absl::Duration longest_watch = absl::Seconds(3); // of one watch call
    // Delay before an acceptor that did not write the latest index decides, which gives the last
    // writer time to decide first.
    absl::Duration non_writer_delay = absl::Milliseconds(500);
    // The same delay for writing entry statuses.
    absl::Duration non_writer_status_delay = absl::Seconds(2);
    // Minimum time between two rounds, so that a burst of edits is decided together.
    absl::Duration round_interval = absl::Milliseconds(100);
    // Interval at which entries are compared with the catalogue even without a change notification.
    absl::Duration check_interval = absl::Seconds(5);
};

class acceptor {
public:
    // `store` and `state` must outlive the result.
    [[nodiscard]] static std::unique_ptr<acceptor>
    create(acceptor_options options, platform::object_store& store, catalogue_state& state);
    // Blocks until the current watch call returns; cancel the store's watches first to return
    // early.
    ~acceptor();
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;

    // Notifies the acceptor that the catalogue in force has changed. Only takes a short lock.
    void wake();

    // Runs one round on the calling thread: lists the entries, decides on the pending ones, writes
    // statuses and removes shards that the index does not reference. For tools and tests.
    [[nodiscard]] static absl::Status decide_once(const acceptor_options& options,
                                                  platform::object_store& store,
                                                  catalogue_state& state);

private:
    acceptor(acceptor_options options, platform::object_store& store, catalogue_state& state);

    void watch_entries();
    [[nodiscard]] absl::Status list_entries();
    [[nodiscard]] absl::Status watch_from(std::uint64_t version);
    void note_change(const platform::object_change& change);

    void run_decision_rounds();
    // Returns false if a decision failed and must be retried.
    bool decide_pending();
    [[nodiscard]] absl::Status decide();
    [[nodiscard]] bool has_pending_decisions();
    [[nodiscard]] bool wrote_last() const;
    // Reads the index from the platform and brings the catalogue in force up to it. Returns the
    // object version of the index, or zero if there is no index yet.
    [[nodiscard]] absl::StatusOr<std::uint64_t> catch_up();
    [[nodiscard]] absl::Status move_index(const acceptance_plan& plan, const catalogue_image& base,
                                          std::uint64_t base_object_version,
                                          std::uint64_t seen_version);
    [[nodiscard]] absl::Status write_shard(const shard& written);
    [[nodiscard]] absl::Status write_index(const catalogue_index& next,
                                           std::uint64_t base_object_version);
    void remove_unreferenced_shards();
    // Lists all shards at a fixed interval and adds them to the removal candidates, which covers
    // shards left by acceptors that no longer run.
    void find_unreferenced_shards();
    void write_statuses();

    // Waits for `time` or until the acceptor is stopping; returns true if it is stopping.
    bool pause(absl::Duration time);
    // Waits for a change notification or until `deadline`; returns true if the acceptor is
    // stopping.
    bool wait_for_change(absl::Time deadline);

    const acceptor_options settings;
    platform::object_store& store;
    catalogue_state& state;
    // Shards that may have to be removed: those that this acceptor wrote or replaced and those
    // found by listing. Each is removed once no index can reference it.
    std::vector<shard_reference> removal_candidates; // deciding thread only
    absl::Time next_search = absl::InfinitePast();   // deciding thread only
    // View version and index number up to which the status of every entry has been compared with
    // its record. Deciding thread only.
    std::uint64_t checked_view_version = 0;
    std::uint64_t checked_number = 0;
    // Pause before a failed decision is retried; doubles with each failure. Deciding thread only.
    absl::Duration decision_pause = shortest_decision_pause;

    absl::Mutex mutex;
    entry_view view ABSL_GUARDED_BY(mutex);
    bool view_is_complete ABSL_GUARDED_BY(mutex) = false;
    bool changed ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread watching;
    std::thread deciding;
};

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_ACCEPTOR_H_
