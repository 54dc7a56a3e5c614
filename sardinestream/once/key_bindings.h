// Binds each idempotency key that a caller chose to one incarnation of one agent, and records the
// bindings in the platform's store.
//
// A binding does not change once it is recorded: `bind` returns the binding in force, which may
// differ from the proposed one. Binding a key does not run its request, so `bind` may be repeated
// freely after a lost answer.
//
//     auto bindings = key_bindings::create(store, {});
//     absl::StatusOr<binding> bound = bindings->bind(key, {"agent-7", incarnation}, deadline);
//
// Bindings are stored in a fixed number of partition objects of the kind `keybindings`, which are
// changed only by conditional (compare-and-swap) updates. While an update of a partition is in
// progress, further bindings of that partition are queued and written together by the next update,
// so the batches grow as the store gets slower. An entry whose update conflicts with that of
// another entry backs off for a random time and adds the bindings queued meanwhile to its batch.
// Each write of a partition removes the bindings that are past the retention.
//
// This class owns the stored bindings and a cache of them. It does not communicate with agents.

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

// The only agent incarnation that may run the request of a key.
struct binding {
    std::string agent;
    std::uint64_t incarnation = 0;

    friend bool operator==(const binding&, const binding&) = default;
};

constexpr absl::string_view binding_kind = "keybindings";

// Number of partition objects. All entries of a fleet must use the same number, so it must not
// change.
constexpr std::uint64_t binding_partitions = 64;

struct key_bindings_options {
    // A binding is valid for `retention`. For a further `removal_grace` its key is refused, so that
    // no entry still uses a binding that another entry has removed. After that the key is new.
    absl::Duration retention = absl::Hours(48);
    absl::Duration removal_grace = absl::Hours(1);
    std::size_t max_cached = 100'000;
    // Size of an encoded partition beyond which no bindings are added to it. It is below the
    // platform's limit of 1 MB per value.
    std::size_t max_partition_bytes = 900'000;
    std::function<absl::Time()> now = absl::Now;
};

// Thread-safe.
class key_bindings {
public:
    // `store` must outlive the result.
    [[nodiscard]] static std::unique_ptr<key_bindings> create(platform::object_store* store,
                                                              key_bindings_options options = {});

    // Blocks until the updates in progress have ended.
    ~key_bindings();
    key_bindings(const key_bindings&) = delete;
    key_bindings& operator=(const key_bindings&) = delete;

    // Returns the agent incarnation that `key` is bound to. Binds the key to `proposed` if it has
    // no binding. Blocks until `deadline` at most. Errors:
    //   kUnavailable         the store gave no definite answer; the key may be bound nevertheless
    //   kDeadlineExceeded    there was no result by `deadline`; the key may be bound nevertheless
    //   kResourceExhausted   the partition of the key is full
    //   kFailedPrecondition  the binding is past its retention
    [[nodiscard]] absl::StatusOr<binding> bind(digest128 key, const binding& proposed,
                                               absl::Time deadline);

    // Returns the binding of `key`. Errors:
    //   kNotFound            the store has no binding of the key
    //   kUnavailable         the store does not answer
    //   kFailedPrecondition  the binding is past its retention
    [[nodiscard]] absl::StatusOr<binding> find(digest128 key);

private:
    struct stored_binding {
        binding bound;
        std::int64_t bound_at_s = 0; // seconds since the Unix epoch
    };
    using partition_rows =
        std::map<std::string, stored_binding>; // keyed by the digest in hexadecimal

    struct partition {
        std::uint64_t version = 0; // zero if the object does not exist
        partition_rows rows;
    };

    // A call of `bind` that waits for its result. `mutex` of `key_bindings` guards `result`.
    struct pending_bind {
        digest128 key;
        binding proposed;
        std::optional<absl::StatusOr<binding>> result;
    };
    using batch = std::vector<std::shared_ptr<pending_bind>>;

    // The calls of `bind` that wait for the next update of one partition.
    struct partition_queue {
        batch waiting;
        bool updating = false; // true while a thread updates the partition
    };

    key_bindings(platform::object_store* object_store, key_bindings_options chosen);

    [[nodiscard]] std::optional<stored_binding> cached(digest128 key) const;
    void add_to_cache(digest128 key, const stored_binding& row)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::StatusOr<binding> check_retention(const stored_binding& row) const;
    void enqueue(const std::shared_ptr<pending_bind>& pending);
    void process_queue(std::uint64_t index);
    void append_waiting(std::uint64_t index, batch& binds);
    void back_off(int conflicts);
    void complete_binds(const batch& binds, const absl::StatusOr<partition_rows>& rows);
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
    std::deque<digest128> cached_oldest_first ABSL_GUARDED_BY(mutex); // exactly the keys of `cache`
    std::minstd_rand jitter ABSL_GUARDED_BY(mutex);
    thread_group updates; // declared last, so that it is destroyed before what it uses
};

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_KEY_BINDINGS_H_
