// The catalogue that is in force on this process.
//
// Holds one immutable image and replaces it by newer ones only: the number never falls.
//
//     catalogue_state state;
//     state.on_change([](const catalogue_snapshot& now) { limits.apply(now); });
//     const auto snapshot = state.current();
//     if (!state.wait_until_number(frame.header.catalogue_number, deadline)) { ... }
//
// Owns the image in force. Never talks to the platform or to a peer. Thread-safe.

#ifndef SARDINESTREAM_CATALOGUE_CATALOGUE_STATE_H_
#define SARDINESTREAM_CATALOGUE_CATALOGUE_STATE_H_

#include <functional>
#include <memory>
#include <vector>

#include "sardinestream/catalogue/image.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::catalogue {

class catalogue_state {
public:
    using change_hook = std::function<void(const std::shared_ptr<const catalogue_snapshot>&)>;

    catalogue_state();

    // Adds a hook that runs after each change, on the thread that made it, one call at a time and
    // with growing numbers. Add hooks before the first change.
    void on_change(change_hook hook);

    [[nodiscard]] std::shared_ptr<const catalogue_snapshot> current() const;
    [[nodiscard]] std::shared_ptr<const catalogue_image> image() const;
    [[nodiscard]] std::uint64_t number() const;

    // Puts `next` in force where its number is higher than the current one. Returns whether it did.
    bool apply(std::shared_ptr<const catalogue_image> next);

    // The same, for an index and those of its shards that changed after some earlier number that
    // was in force here. Fails with `kFailedPrecondition` where a shard is missing.
    [[nodiscard]] absl::Status apply_changes(const catalogue_index& index,
                                             const std::vector<shard_pointer>& changed);

    // Notes that a peer or the platform has this number. Never falls.
    void note_heard(std::uint64_t number);
    [[nodiscard]] std::uint64_t highest_heard() const;

    // Waits until `number` or a higher one is in force. Returns false at `deadline`.
    [[nodiscard]] bool wait_until_number(std::uint64_t number, absl::Time deadline) const;

    // When the number in force last changed.
    [[nodiscard]] absl::Time changed_at() const;

private:
    mutable absl::Mutex mutex;
    // Invariant: never null; its number never falls.
    std::shared_ptr<const catalogue_image> in_force ABSL_GUARDED_BY(mutex);
    std::uint64_t heard ABSL_GUARDED_BY(mutex) = 0;
    absl::Time last_change ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    // Held while hooks run, so that they see growing numbers.
    absl::Mutex change_mutex ABSL_ACQUIRED_BEFORE(mutex);
    std::vector<change_hook> hooks ABSL_GUARDED_BY(change_mutex);
};

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_CATALOGUE_STATE_H_
