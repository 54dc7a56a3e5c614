// Holds the catalogue that is in force on this process.
//
// The state is one immutable image, replaced only by images with a higher number.
//
//     catalogue_state state;
//     state.on_change([](const auto& snapshot) { limits.apply(*snapshot); });
//     const auto snapshot = state.current();
//     if (!state.wait_until_number(frame.header.catalogue_number, deadline)) { ... }
//
// Does no I/O with the platform or with peers. Thread-safe.

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

    // Adds a hook that runs after each change on the thread that made the change. Calls are
    // serialized and see increasing numbers. Add hooks before the first change.
    void on_change(change_hook hook);

    [[nodiscard]] std::shared_ptr<const catalogue_snapshot> current() const;
    [[nodiscard]] std::shared_ptr<const catalogue_image> image() const;
    [[nodiscard]] std::uint64_t number() const;

    // Puts `next` in force if its number is higher than the current one. Returns whether it did.
    bool apply(std::shared_ptr<const catalogue_image> next);

    // Puts `index` in force, given those of its shards that changed after some number that was in
    // force here earlier. Does nothing if the index is not newer. Fails with `kFailedPrecondition`
    // if a shard is missing.
    [[nodiscard]] absl::Status apply_changes(const catalogue_index& index,
                                             const std::vector<shard_pointer>& changed);

    // Records that a peer or the platform has this number.
    void record_known_number(std::uint64_t number);
    // The highest number known from a peer, from the platform or on this process; never decreases.
    [[nodiscard]] std::uint64_t highest_heard() const;

    // Waits until `number` or a higher one is in force. Returns false at `deadline`.
    [[nodiscard]] bool wait_until_number(std::uint64_t number, absl::Time deadline) const;

    // When the number in force last changed; `absl::InfinitePast()` before the first change.
    [[nodiscard]] absl::Time changed_at() const;

private:
    mutable absl::Mutex mutex;
    // Invariant: never null; its number never decreases.
    std::shared_ptr<const catalogue_image> in_force ABSL_GUARDED_BY(mutex);
    std::uint64_t heard ABSL_GUARDED_BY(mutex) = 0;
    absl::Time last_change ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    // Held while hooks run, so that they see increasing numbers.
    absl::Mutex change_mutex ABSL_ACQUIRED_BEFORE(mutex);
    std::vector<change_hook> hooks ABSL_GUARDED_BY(change_mutex);
};

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_CATALOGUE_STATE_H_
