// The platform's list of live and leaving instances, kept up to date as well as the platform
// allows.
//
//     auto list = instance_list::create({}, *store);
//     for (const instance& one : list->current()) { ... }
//
// The list lags behind, and during an outage of the platform it keeps what it had. It is a hint for
// whom to dial, never a proof that an instance is alive or gone; see the package membership for
// that. Only reads the platform. Thread-safe.

#ifndef SARDINESTREAM_STORE_INSTANCE_LIST_H_
#define SARDINESTREAM_STORE_INSTANCE_LIST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/base/settings.h"
#include "sardinestream/store/object_store.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::platform {

constexpr absl::string_view instance_kind = "instances";

enum class instance_role : std::uint8_t { entry, agent };

struct instance {
    std::string id; // the object's name
    instance_role role = instance_role::agent;
    address links; // where it accepts links
    std::string data_centre;
    std::uint64_t incarnation = 0; // zero where the platform does not say
    bool leaving = false;

    friend bool operator==(const instance&, const instance&) = default;
};

// Parses the spec of an object of kind `instances`:
// {"role":"entry|agent","address":"IP:PORT","data_centre":"...","incarnation":N,"leaving":false}.
[[nodiscard]] absl::StatusOr<instance> parse_instance(const object& listed);

// Returns `listed` and, for each seed address that no listed instance has, an instance with that
// address and an empty id.
[[nodiscard]] std::vector<instance>
with_seeds(std::vector<instance> listed, const std::vector<address>& seeds, instance_role role);

struct instance_list_options {
    absl::Duration longest_watch = absl::Seconds(10);
    // Called on the list's own thread after each change.
    std::function<void(const std::vector<instance>&)> on_change;
};

class instance_list {
public:
    // `store` must outlive the result.
    [[nodiscard]] static std::unique_ptr<instance_list> create(instance_list_options options,
                                                               object_store& store);
    // Waits for the watch to end: cancel the store's watches first for a prompt end.
    ~instance_list();
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;

    // The instances, sorted by id; empty before the platform answered for the first time.
    [[nodiscard]] std::vector<instance> current() const;

    // True once the platform has answered.
    [[nodiscard]] bool has_answered() const;

    // When the list was last known to be what the platform shows.
    [[nodiscard]] absl::Time confirmed_at() const;

private:
    instance_list(instance_list_options options, object_store& store);
    void follow();
    [[nodiscard]] absl::StatusOr<std::uint64_t> read_all();
    [[nodiscard]] absl::Status watch_from(std::uint64_t version);
    void note_change(const object_change& change);
    void notify();
    bool pause(absl::Duration time);

    const instance_list_options settings;
    object_store& store;
    mutable absl::Mutex mutex;
    std::map<std::string, instance> instances ABSL_GUARDED_BY(mutex);
    // Version up to which `instances` is complete.
    std::uint64_t seen_version ABSL_GUARDED_BY(mutex) = 0;
    bool answered ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    absl::Time confirmed ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    std::thread following;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_STORE_INSTANCE_LIST_H_
