// Binds each caller-chosen key to one incarnation of one agent, through the platform's store.
//
// Whoever is bound stays bound: `bind` returns the binding that holds, which may be another than
// the one proposed. A binding is no run, so binding is repeated freely after a lost answer.
//
//     auto bindings = key_bindings::create(store, {});
//     absl::StatusOr<binding> bound = bindings->bind(key, {"agent-7", incarnation}, deadline);
//
// Bindings live in a fixed number of partition objects of the kind `keybindings`, moved by
// conditional update alone. While one update of a partition is under way, further bindings of it
// wait and go together in the next one, so an update carries the more bindings the slower the store
// is. Entries that conflict back off for a random time and take along what came meanwhile. A
// partition sheds bindings older than the retention when it is written.
//
// This class owns the bindings in the store and a cache of them. It never talks to agents.

#ifndef SARDINESTREAM_ONCE_KEY_BINDINGS_H_
#define SARDINESTREAM_ONCE_KEY_BINDINGS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sardinestream/base/digest128.h"
#include "sardinestream/base/thread_group.h"
#include "sardinestream/store/object_store.h"

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace sardinestream::once {

// The one agent incarnation that may run a key.
struct binding {
    std::string agent;
    std::uint64_t incarnation = 0;

    friend bool operator==(const binding&, const binding&) = default;
};

constexpr absl::string_view binding_kind = "keybindings";

// Number of partition objects. All entries of a fleet must agree on it, so it never changes.
constexpr std::uint64_t binding_partitions = 64;

struct key_bindings_options {
    // A binding is used for this long. For `removal_grace` more its key is refused, so that no
    // entry still uses a binding that another has removed; after that the key counts as new.
    absl::Duration retention = absl::Hours(48);
    absl::Duration removal_grace = absl::Hours(1);
    std::size_t max_cached = 100'000;
    // A partition takes no more bindings beyond this; the platform holds values up to 1 MB.
    std::size_t max_partition_bytes = 900'000;
    std::function<absl::Time()> now = absl::Now;
};

// Thread-safe.
class key_bindings {
public:
    // `store` must outlive the result.
    [[nodiscard]] static std::unique_ptr<key_bindings> create(platform::object_store* store,
                                                              key_bindings_options options = {});

    // Waits for updates that are under way.
    ~key_bindings();
    key_bindings(const key_bindings&) = delete;
    key_bindings& operator=(const key_bindings&) = delete;

    // Returns the agent incarnation that `key` is bound to, binding it to `proposed` where there is
    // none. Fails with `kUnavailable` where the store gave no definite answer (the key may be bound
    // all the same), with `kDeadlineExceeded` at `deadline`, with `kResourceExhausted` where the
    // partition is full, with `kFailedPrecondition` where the binding is past its retention.
    [[nodiscard]] absl::StatusOr<binding> bind(digest128 key, const binding& proposed,
                                               absl::Time deadline);

    // Returns the binding of `key`. Fails with `kNotFound` where the store says that there is none,
    // with `kUnavailable` where it does not answer, with `kFailedPrecondition` as `bind` does.
    [[nodiscard]] absl::StatusOr<binding> find(digest128 key);

private:
    struct stored_binding {
        binding bound;
        std::int64_t bound_at_s = 0; // seconds since the epoch
    };
    using partition_rows = std::map<std::string, stored_binding>; // by the key in hexadecimal

    struct partition {
        std::uint64_t version = 0; // zero where the object does not exist
        partition_rows rows;
    };

    // One caller of `bind`; `result` is guarded by the mutex of `key_bindings`.
    struct pending_bind {
        digest128 key;
        binding proposed;
        std::optional<absl::StatusOr<binding>> result;
    };
    using batch = std::vector<std::shared_ptr<pending_bind>>;

    // What waits for one partition.
    struct partition_queue {
        batch waiting;
        bool updating = false; // one thread updates the partition
    };

    key_bindings(platform::object_store* object_store, key_bindings_options given);

    [[nodiscard]] std::optional<stored_binding> cached(digest128 key) const;
    void add_to_cache(digest128 key, const stored_binding& row)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::StatusOr<binding> check_retention(const stored_binding& row) const;
    void enqueue(const std::shared_ptr<pending_bind>& pending);
    void process_queue(std::uint64_t index);
    void append_waiting(std::uint64_t index, batch& binds);
    void back_off(int conflicts);
    void complete_binds(const batch& settled, const absl::StatusOr<partition_rows>& rows);
    [[nodiscard]] absl::StatusOr<partition_rows> bind_in_store(std::uint64_t index, batch& binds);
    [[nodiscard]] bool add_missing(partition& current, const batch& binds) const;
    [[nodiscard]] absl::StatusOr<partition> read(std::uint64_t index);
    [[nodiscard]] absl::Status write(std::uint64_t index, const partition& changed);
    void drop_expired(partition& current) const;
    [[nodiscard]] static std::string encode(const partition_rows& rows);
    [[nodiscard]] static absl::StatusOr<partition_rows> decode(const std::string& spec);

    platform::object_store* const store;
    const key_bindings_options options;
    mutable absl::Mutex mutex;
    std::map<std::uint64_t, partition_queue> queues ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<digest128, stored_binding> cache ABSL_GUARDED_BY(mutex);
    std::deque<digest128> cached_oldest_first ABSL_GUARDED_BY(mutex); // the keys of `cache`
    std::minstd_rand jitter ABSL_GUARDED_BY(mutex);
    thread_group updates; // last, so that it ends first
};

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_KEY_BINDINGS_H_
