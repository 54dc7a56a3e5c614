// Brings the catalogue that the platform holds into force on this process.
//
//     auto sync = store_sync::create({.watch = true}, store, state);
//
// A process that watches hears of each move of the index at once; only a few processes of each data
// centre do. Every other process reads the index at its start, and again while it has no peer to
// hear from. Outages are waited out with growing pauses; what is in force stays in force.
//
// Owns the reading of index and shards. Never writes to the platform. Thread-safe.

#ifndef SARDINESTREAM_CATALOGUE_STORE_SYNC_H_
#define SARDINESTREAM_CATALOGUE_STORE_SYNC_H_

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include "sardinestream/catalogue/catalogue_state.h"
#include "sardinestream/store/object_store.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::catalogue {

// The index as the platform holds it.
struct stored_index {
    catalogue_index index;
    std::uint64_t object_version = 0;
};

// Reads the index. Fails with `kNotFound` where there is none yet.
[[nodiscard]] absl::StatusOr<stored_index> read_index(platform::object_store& store);

// Reads the shards of `index` that changed since what is in force and puts them in force. Fails
// with `kNotFound` where a shard is gone, which says that the index has moved on. Where many shards
// are lacking, waits for `peers_first_time` and then reads them with one call.
[[nodiscard]] absl::Status load_index(platform::object_store& store, catalogue_state& state,
                                      const catalogue_index& index,
                                      absl::Duration peers_first_time = absl::ZeroDuration());

struct store_sync_options {
    bool watch = false;
    absl::Duration longest_watch = absl::Seconds(3);
    // Between reads of a process that does not watch and has no peer.
    absl::Duration poll_interval = absl::Seconds(4);
    // Between reads of a process that does not watch and has peers, which may all be cut off from
    // those that watch. Infinite for agents: they are too many.
    absl::Duration backup_interval = absl::Seconds(10);
    // How long a process that lacks many shards waits for its peers to hand them over before it
    // reads them from the platform.
    absl::Duration peers_first_time = absl::Seconds(2);
    // Whether a peer is linked from which news would come.
    std::function<bool()> has_peers = [] { return false; };
};

class store_sync {
public:
    // `store` and `state` must outlive the result.
    [[nodiscard]] static std::unique_ptr<store_sync>
    create(store_sync_options options, platform::object_store& store, catalogue_state& state);
    // Waits for the watch to end: cancel the store's watches first for a prompt end.
    ~store_sync();
    store_sync(const store_sync&) = delete;
    store_sync& operator=(const store_sync&) = delete;

    // True once the platform has answered a read of the index (also with "there is none").
    [[nodiscard]] bool has_answered() const { return this->answered; }

private:
    store_sync(store_sync_options options, platform::object_store& store, catalogue_state& state);
    void follow_store();
    // Reads the index and, where this process watches, follows it until the watch ends.
    [[nodiscard]] absl::Status follow_once();
    // Waits until the index must be read again: while the platform has not answered yet, and while
    // no peer is linked.
    void wait_for_need(absl::Duration interval);
    [[nodiscard]] absl::StatusOr<std::uint64_t> refresh();
    [[nodiscard]] absl::Status watch_from(std::uint64_t version);
    // Returns true once the process is stopping.
    bool pause(absl::Duration time);

    const store_sync_options settings;
    platform::object_store& store;
    catalogue_state& state;
    std::atomic<bool> answered{false};
    absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread following;
};

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_STORE_SYNC_H_
