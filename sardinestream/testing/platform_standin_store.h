// The objects of the platform stand-in: versions, conditional updates, watches, compaction.
//
//     platform_standin_store store;
//     store.create("catalogueentries", "till", R"({"owner":"co-op"})");
//
// One version counter runs over all kinds, as in the Kubernetes API. Thread-safe.

#ifndef SARDINESTREAM_TESTING_PLATFORM_STANDIN_STORE_H_
#define SARDINESTREAM_TESTING_PLATFORM_STANDIN_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sardinestream/store/object_store.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

// One entry of the ledger: a change that took effect.
struct recorded_change {
    std::uint64_t version = 0;
    std::string method; // create, update, status or remove
    platform::object changed;
    absl::Time time;
};

class platform_standin_store {
public:
    platform_standin_store() = default;

    // Fails with `kNotFound`.
    [[nodiscard]] absl::StatusOr<platform::object> get(absl::string_view kind,
                                                       absl::string_view name) const;
    [[nodiscard]] platform::object_list list(absl::string_view kind) const;
    // Fails with `kAlreadyExists`, and with `kResourceExhausted` over the value limit.
    absl::StatusOr<platform::object> create(absl::string_view kind, absl::string_view name,
                                            absl::string_view spec);
    // Fails with `kNotFound`, with `kAborted` at another version than `version`.
    absl::StatusOr<platform::object> update(absl::string_view kind, absl::string_view name,
                                            absl::string_view spec, std::uint64_t version);
    absl::StatusOr<platform::object> update_status(absl::string_view kind, absl::string_view name,
                                                   absl::string_view status);
    absl::Status remove(absl::string_view kind, absl::string_view name);

    // Returns the changes of a kind after `version`, waiting for the first until `deadline`; none
    // at the deadline or once `wake` was called. Fails with `kOutOfRange` after a compaction.
    [[nodiscard]] absl::StatusOr<std::vector<platform::object_change>>
    changes_after(absl::string_view kind, std::uint64_t version, absl::Time deadline) const;

    // Forgets the changes so far: watches from before get `kOutOfRange`.
    void compact();
    // Keeps a copy of all objects. `restore_copy` comes back from it: later changes are gone, and
    // their versions are given out again. Does nothing if there is no copy.
    void take_copy();
    void restore_copy();
    // Ends every wait, now and later.
    void wake();

    // Every change that took effect, in order.
    [[nodiscard]] std::vector<recorded_change> ledger() const;

private:
    struct logged_change {
        std::uint64_t version = 0;
        platform::object_change change;
    };
    using object_key = std::pair<std::string, std::string>; // kind, name

    [[nodiscard]] std::vector<platform::object_change> logged_after(absl::string_view kind,
                                                                    std::uint64_t version) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::uint64_t last_change_of(absl::string_view kind) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    platform::object& record(absl::string_view method, platform::object changed,
                             platform::change_kind change) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    struct copy {
        std::map<object_key, platform::object> objects;
        std::uint64_t last_version = 0;
    };

    mutable absl::Mutex mutex;
    std::optional<copy> kept ABSL_GUARDED_BY(mutex);
    std::uint64_t last_version ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t compacted_version ABSL_GUARDED_BY(mutex) = 0;
    std::map<object_key, platform::object> objects ABSL_GUARDED_BY(mutex);
    std::deque<logged_change> log ABSL_GUARDED_BY(mutex);
    // Per kind, the version of its last change.
    std::map<std::string, std::uint64_t> last_changes ABSL_GUARDED_BY(mutex);
    std::vector<recorded_change> recorded ABSL_GUARDED_BY(mutex);
    bool woken ABSL_GUARDED_BY(mutex) = false;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_PLATFORM_STANDIN_STORE_H_
