// Claims one of a fixed number of entry slots in the platform's store. The holder of slot k owns
// the k-th root share of every limit.
//
//     auto slots = entry_slots::create({.entry_id = "entry-1", .incarnation = 7, .count = 3,
//                                       .is_removed = ..., .on_slot = ...}, *store);
//     ... at a planned shutdown, once no request is in progress ...
//     slots->release(limiter.time_until_returned());
//
// A slot is an object `entryslots/<k>` that is claimed by conditional update. A slot with a holder
// is taken over only if the platform no longer lists that holder, or if the holder is an earlier
// incarnation of this entry. Part of its share then stays unused for as long as loans of the
// earlier holder may last (see `entry_slot`); this also holds for a slot that was released while
// loans were outstanding. `count` must be the same for all entries: an entry that finds a different
// count claims nothing.

#ifndef SARDINESTREAM_LIMITS_ENTRY_SLOTS_H_
#define SARDINESTREAM_LIMITS_ENTRY_SLOTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "sardinestream/limits/team_limiter.h"
#include "sardinestream/store/object_store.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::limits {

constexpr absl::string_view entry_slot_kind = "entryslots";

struct entry_slots_options {
    std::string entry_id;
    std::uint64_t incarnation = 0;
    std::uint32_t count = 3; // 1 to 1000
    // Returns true if the platform listed the entry earlier and no longer does.
    std::function<bool(const std::string& id)> is_removed;
    // Called with the slot when one is claimed, and with `nullopt` when it is released or lost.
    std::function<void(std::optional<entry_slot>)> on_slot;
    absl::Duration claim_interval = absl::Seconds(1);  // while no slot is held
    absl::Duration check_interval = absl::Seconds(30); // while a slot is held
};

// Claims a slot and checks periodically that it is still held. Thread-safe.
class entry_slots {
public:
    // Starts claiming on a separate thread. `store` must outlive the result.
    [[nodiscard]] static std::unique_ptr<entry_slots> create(entry_slots_options options,
                                                             platform::object_store& store);
    ~entry_slots();
    entry_slots(const entry_slots&) = delete;
    entry_slots& operator=(const entry_slots&) = delete;

    // Stops claiming and releases the slot. `lent_for` is the time until every loan to other
    // entries has expired.
    void release(absl::Duration lent_for);

private:
    entry_slots(entry_slots_options options, platform::object_store& store);

    void run();
    // Reads every slot and claims one if none is held. Returns the slot that is held afterwards.
    [[nodiscard]] absl::StatusOr<std::optional<entry_slot>> claim();
    [[nodiscard]] std::optional<entry_slot> claim_new(std::uint32_t index);
    [[nodiscard]] std::optional<entry_slot> take_over(std::uint32_t index,
                                                      const platform::object& seen);
    [[nodiscard]] std::string spec(absl::string_view holder, absl::Duration lent_for) const;
    void stop();

    const entry_slots_options options;
    platform::object_store& store;
    absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::optional<entry_slot> held ABSL_GUARDED_BY(mutex);
    std::thread claim_thread;
};

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_ENTRY_SLOTS_H_
