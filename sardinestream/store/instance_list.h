// Maintains a local copy of the platform's list of running and leaving instances.
//
//     auto list = instance_list::create({}, *store);
//     for (const instance& one : list->current()) { ... }
//
// The copy lags behind the platform, and during an outage of the platform it keeps its last
// content. Use it as a hint about which instances to connect to, never as proof that an instance is
// running or has stopped; the package membership decides that. The class only reads from the
// platform. Thread-safe.

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
    address links; // where it accepts links from other instances
    std::string data_centre;
    std::uint64_t incarnation = 0; // zero if the platform does not state it
    bool leaving = false;

    friend bool operator==(const instance&, const instance&) = default;
};

// Parses the spec of an object of kind `instances`:
// {"role":"entry|agent","address":"IP:PORT","data_centre":"...","incarnation":N,"leaving":false}.
// Returns kInvalidArgument for an invalid role or address; the other fields are optional.
[[nodiscard]] absl::StatusOr<instance> parse_instance(const object& listed);

// Returns `listed` extended by one instance with an empty id for each seed address that no listed
// instance has.
[[nodiscard]] std::vector<instance>
with_seeds(std::vector<instance> listed, const std::vector<address>& seeds, instance_role role);

struct instance_list_options {
    // Maximum duration of one watch call.
    absl::Duration longest_watch = absl::Seconds(10);
    // Called on the list's own thread after each complete read of the list and after each change.
    std::function<void(const std::vector<instance>&)> on_change;
};

class instance_list {
public:
    // `store` must outlive the result.
    [[nodiscard]] static std::unique_ptr<instance_list> create(instance_list_options options,
                                                               object_store& store);
    // Blocks until the current watch ends. Call `object_store::cancel_watches` first to avoid
    // waiting for up to `longest_watch`.
    ~instance_list();
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;

    // Returns the instances sorted by id; empty until the platform has responded for the first
    // time.
    [[nodiscard]] std::vector<instance> current() const;

    // Returns true once the platform has responded successfully.
    [[nodiscard]] bool has_answered() const;

    // Returns when the copy was last known to match what the platform shows, or InfinitePast.
    [[nodiscard]] absl::Time confirmed_at() const;

private:
    instance_list(instance_list_options options, object_store& store);
    void run_watch_loop();
    [[nodiscard]] absl::StatusOr<std::uint64_t> read_all();
    [[nodiscard]] absl::Status watch_from(std::uint64_t version);
    void apply_change(const object_change& change);
    void notify();
    bool pause(absl::Duration time);

    const instance_list_options settings;
    object_store& store;
    mutable absl::Mutex mutex;
    std::map<std::string, instance> instances ABSL_GUARDED_BY(mutex);
    // The platform's version up to which `instances` contains all changes.
    std::uint64_t seen_version ABSL_GUARDED_BY(mutex) = 0;
    bool answered ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    absl::Time confirmed ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    std::thread watch_thread;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_STORE_INSTANCE_LIST_H_
