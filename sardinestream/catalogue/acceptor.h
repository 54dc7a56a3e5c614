// Decides on the entries that operators edit and moves the index.
//
//     auto deciding = acceptor::create({.id = "entry-1"}, store, state);
//
// Several acceptors run at once, in different places, and need no lease: the index moves by
// conditional update alone, so of two that race one fails and decides again on what the other left.
// The acceptor that wrote the index last goes at once, the others hold back for a moment, which
// keeps races rare. An acceptor whose view of the entries is older than the index never writes.
//
// Owns the decision on entries and the writing of shards, index and entry status. Never edits an
// entry's spec. Thread-safe.

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
    std::string id = {}; // unique among the acceptors
    absl::Duration longest_watch = absl::Seconds(3);
    // How long an acceptor that did not write the index last leaves the decision to the one that
    // did.
    absl::Duration hold_back = absl::Milliseconds(500);
    // The same for writing the status of entries.
    absl::Duration status_hold_back = absl::Seconds(2);
    // Least time between two rounds, so that a burst of edits is decided together.
    absl::Duration round_interval = absl::Milliseconds(100);
    // How often entries are compared with the catalogue though nothing seems to have changed.
    absl::Duration check_interval = absl::Seconds(5);
};

class acceptor {
public:
    // `store` and `state` must outlive the result.
    [[nodiscard]] static std::unique_ptr<acceptor>
    create(acceptor_options options, platform::object_store& store, catalogue_state& state);
    // Waits for the watch to end: cancel the store's watches first for a prompt end.
    ~acceptor();
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;

    // Says that the catalogue in force has changed. Never blocks for long.
    void wake();

    // Takes one round without threads of its own: lists the entries, decides on what is open,
    // writes statuses and removes what no index names. For tools and tests.
    [[nodiscard]] static absl::Status decide_once(const acceptor_options& options,
                                                  platform::object_store& store,
                                                  catalogue_state& state);

private:
    acceptor(acceptor_options options, platform::object_store& store, catalogue_state& state);

    void watch_entries();
    [[nodiscard]] absl::Status list_entries();
    [[nodiscard]] absl::Status watch_from(std::uint64_t version);
    void note_change(const platform::object_change& change);

    void decide_rounds();
    // Returns false where a decision failed and must be tried again.
    bool decide_what_is_open();
    [[nodiscard]] absl::Status decide();
    [[nodiscard]] bool has_open_decisions();
    [[nodiscard]] bool wrote_last() const;
    // Returns the index to decide on, with the catalogue brought up to it; creates the first one.
    [[nodiscard]] absl::StatusOr<std::uint64_t> catch_up();
    [[nodiscard]] absl::Status move_index(const acceptance_plan& plan, const catalogue_image& base,
                                          std::uint64_t base_object_version,
                                          std::uint64_t seen_version);
    [[nodiscard]] absl::Status write_shard(const shard& written);
    [[nodiscard]] absl::Status write_index(const catalogue_index& next,
                                           std::uint64_t base_object_version);
    void remove_leftovers();
    // Adds the shards that acceptors which are gone left behind, from time to time.
    void find_leftovers();
    void write_statuses();

    // Waits for `time` or until the process is stopping; returns whether it is.
    bool pause(absl::Duration time);
    // Waits until there may be something to decide or until `deadline`; returns whether the process
    // is stopping.
    bool wait_for_change(absl::Time deadline);

    const acceptor_options settings;
    platform::object_store& store;
    catalogue_state& state;
    // Shards that this acceptor wrote or replaced; each is removed once no index can name it.
    std::vector<shard_reference> leftovers;        // deciding thread only
    absl::Time next_search = absl::InfinitePast(); // deciding thread only
    // Up to here the status of every entry was compared with its record. Deciding thread only.
    std::uint64_t checked_view_version = 0;
    std::uint64_t checked_number = 0;
    // Before a failed decision is tried again; grows with each failure. Deciding thread only.
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
