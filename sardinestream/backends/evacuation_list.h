// Maintains the data centres whose evacuation an operator has requested: nothing more is sent to
// their backend servers until the request is taken back.
//
// Updates come from the store and from other entries that read it, may arrive out of order, and the
// store may come back from an older copy. In one history of the store the later position is the
// newer one. After a restoration, what the store lists is in force; what only the lost history had
// listed stays in force until the store names the data centre again, or for `lost_history_memory`,
// because the operator has not taken it back.
//
// Thousands of data centres may be named; a writer without end must not exhaust the memory.
// Thread-safe.

#ifndef SARDINESTREAM_BACKENDS_EVACUATION_LIST_H_
#define SARDINESTREAM_BACKENDS_EVACUATION_LIST_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sardinestream/base/store_position.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// How long an evacuation of a lost history stays in force.
inline constexpr std::chrono::seconds lost_history_memory{60};

// All evacuations that the store lists.
struct evacuation_snapshot {
    std::vector<std::string> data_centres;
    // The store's position up to which the list is complete.
    store_position position;
    // The store was restored since its last answer, which its era alone may not show.
    bool restored = false;
};

// The request of an evacuation, or its end.
struct evacuation_change {
    std::string data_centre;
    std::int64_t revision = 0;
    bool ended = false;
};

// Changes of the list since an earlier position in the same history.
struct evacuation_changes {
    std::vector<evacuation_change> changes;
    store_position position;
};

// What one entry tells another.
struct shared_evacuations {
    // An evacuation that only a lost history of the store had listed.
    struct kept_evacuation {
        std::string data_centre;
        std::chrono::milliseconds remaining{0};
    };
    std::vector<std::string> data_centres;
    std::vector<kept_evacuation> kept;
    // Up to which it is complete, and at which it last changed.
    store_position position;
    store_position changed;
};

class evacuation_list {
public:
    // An evacuation in force, as operators see it.
    struct evacuation {
        std::string data_centre;
        // The store's position at which this process learnt of it, since when, and from whom.
        store_position position;
        steady_time since{};
        std::string source;
        // Only a lost history of the store had listed it.
        bool kept = false;
    };

    static constexpr std::size_t max_evacuations = 4096;

    // Apply the store's complete list, or changes to it. `source` tells operators where it came
    // from. Return whether the data centres in force have changed.
    bool apply(const evacuation_snapshot& list, steady_time now,
               absl::string_view source = "store");
    bool apply(const evacuation_changes& received, steady_time now,
               absl::string_view source = "store");
    // Applies the copy of another entry, if it is newer.
    bool merge(const shared_evacuations& peer, steady_time now, absl::string_view source);
    // Ends what has been kept of a lost history for long enough. Returns whether there was some.
    bool drop_expired(steady_time now);

    // Returns the data centres to which nothing is sent.
    [[nodiscard]] std::set<std::string> in_force() const;
    [[nodiscard]] std::vector<evacuation> list() const;
    [[nodiscard]] shared_evacuations shared(steady_time now) const;
    // Returns the store's position up to which the list is complete; zero before the first list.
    [[nodiscard]] store_position position() const;
    // Returns the position at which it last changed: an entry whose list is complete up to there
    // knows as much.
    [[nodiscard]] store_position changed() const;

private:
    struct entry {
        store_position position;
        steady_time since{};
        std::string source;
        // When it ends if only a lost history had listed it; the maximum if the store lists it.
        steady_time expires_at = steady_time::max();
    };

    // Replaces what the store had listed by its list at `position`; keeps what is missing there
    // until `keep_until`. What is kept already stays.
    bool replace(const std::vector<std::string>& listed, const store_position& position,
                 steady_time keep_until, steady_time now, absl::string_view source)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool add(const std::string& data_centre, const store_position& position, steady_time expires_at,
             steady_time now, absl::string_view source) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool end(const std::string& data_centre, const store_position& position,
             absl::string_view reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    std::map<std::string, entry> entries ABSL_GUARDED_BY(mutex);
    store_position known ABSL_GUARDED_BY(mutex);
    store_position last_change ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_EVACUATION_LIST_H_
