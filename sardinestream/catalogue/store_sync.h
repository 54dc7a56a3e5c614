// Reads the catalogue from the platform and puts it in force on this process.
//
//     auto sync = store_sync::create({.watch = true}, store, state);
//
// A process that watches is notified of each index change at once; only a few processes of each
// data centre watch. Every other process reads the index at start, repeatedly while it has no peer,
// and at a longer interval while it has peers. During an outage of the platform, reads are retried
// with increasing pauses and the catalogue in force stays in force.
//
// Responsible for reading the index and shards. Never writes to the platform. Thread-safe.

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

// The index with the version of its platform object.
struct stored_index {
    catalogue_index index;
    std::uint64_t object_version = 0;
};

// Reads the index. Fails with `kNotFound` if there is none yet.
[[nodiscard]] absl::StatusOr<stored_index> read_index(platform::object_store& store);

// Reads the shards of `index` that are missing from the catalogue in force and puts the index in
// force. Fails with `kNotFound` if a shard no longer exists, which means that a newer index has
// replaced it. If many shards are missing, first waits up to `max_peer_wait` (with jitter) for
// peers to deliver them and then reads them with one call.
[[nodiscard]] absl::Status load_index(platform::object_store& store, catalogue_state& state,
                                      const catalogue_index& index,
                                      absl::Duration max_peer_wait = absl::ZeroDuration());

struct store_sync_options {
    bool watch = false;
    absl::Duration longest_watch = absl::Seconds(3);
    // Interval between reads of a process that does not watch and has no peer.
    absl::Duration poll_interval = absl::Seconds(4);
    // Interval between reads of a process that does not watch but has peers: all of them may be
    // disconnected from the processes that watch. Infinite for agents, because there are too many
    // of them to read regularly.
    absl::Duration backup_interval = absl::Seconds(10);
    // Time that a process with many missing shards waits to receive them from its peers before it
    // reads them from the platform.
    absl::Duration max_peer_wait = absl::Seconds(2);
    // Returns whether a peer is connected that would announce a new number.
    std::function<bool()> has_peers = [] { return false; };
};

class store_sync {
public:
    // `store` and `state` must outlive the result.
    [[nodiscard]] static std::unique_ptr<store_sync>
    create(store_sync_options options, platform::object_store& store, catalogue_state& state);
    // Blocks until the current watch call returns; cancel the store's watches first to return
    // early.
    ~store_sync();
    store_sync(const store_sync&) = delete;
    store_sync& operator=(const store_sync&) = delete;

    // Returns true once the platform has answered a read of the index, even if there is no index.
    [[nodiscard]] bool has_answered() const { return this->answered; }

private:
    store_sync(store_sync_options options, platform::object_store& store, catalogue_state& state);
    void follow_store();
    // Reads the index and, if this process watches, applies its changes until the watch ends.
    [[nodiscard]] absl::Status follow_once();
    // Waits until the index must be read again: after `interval` if the platform has not answered
    // yet or no peer is connected, otherwise after the backup interval.
    void wait_until_read_due(absl::Duration interval);
    [[nodiscard]] absl::StatusOr<std::uint64_t> refresh();
    [[nodiscard]] absl::Status watch_from(std::uint64_t version);
    // Waits for `time` or until stopping; returns true if stopping.
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
