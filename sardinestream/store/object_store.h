// Client of the platform's object API.
//
// The platform is met in the form of the Kubernetes API: JSON over HTTP, objects of our own kinds
// under `/apis/sardinestream.dev/v1/namespaces/<namespace>/<plural>/<name>`,
// `metadata.resourceVersion` for conditional updates, 409 for conflicts, chunked JSON lines for
// watches, 410 after a gap.
//
//     auto store = object_store::create({.servers = {{"10.0.0.9", 8080}}}).value();
//     auto made = store->create_object("keybindings", name, R"({"agent":"a1"})");
//     if (absl::IsAlreadyExists(made.status())) { ... }
//
// A change whose answer was lost fails with `kUnknown`: it may have taken effect, so read before
// deciding. A change that fails with `kUnavailable` has had no effect and will have none. A read
// that fails either way fails with `kUnavailable`. All functions are thread-safe.
//
// Owns the connections to the platform. Never repeats a change by itself, and keeps no copy of any
// object.

#ifndef SARDINESTREAM_STORE_OBJECT_STORE_H_
#define SARDINESTREAM_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/base/settings.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace sardinestream::platform {

struct object {
    std::string kind; // plural, lower case, such as "catalogueentries"
    std::string name;
    std::uint64_t version = 0;
    std::string spec;   // JSON text
    std::string status; // JSON text; "{}" where there is none
    // Grows with every change of the spec and with no other.
    std::uint64_t generation = 0;
};

struct object_list {
    std::vector<object> objects;
    // Where a watch that misses nothing starts.
    std::uint64_t version = 0;
};

enum class change_kind : std::uint8_t { put, removed };

struct object_change {
    change_kind change = change_kind::put;
    object changed;
};

struct object_store_options {
    std::vector<address> servers; // tried in turn
    std::string name_space = "sardinestream";
    absl::Duration timeout = absl::Seconds(2);
};

class object_store {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<object_store>>
    create(object_store_options options);

    virtual ~object_store() = default;

    // Fails with `kNotFound`.
    [[nodiscard]] virtual absl::StatusOr<object> get(absl::string_view kind,
                                                     absl::string_view name) = 0;
    [[nodiscard]] virtual absl::StatusOr<object_list> list(absl::string_view kind) = 0;
    // Fails with `kAlreadyExists`.
    [[nodiscard]] virtual absl::StatusOr<object>
    create_object(absl::string_view kind, absl::string_view name, absl::string_view spec) = 0;
    // Replaces the spec of the object at exactly `version`; fails with `kAborted` on a conflict.
    [[nodiscard]] virtual absl::StatusOr<object> update(absl::string_view kind,
                                                        absl::string_view name,
                                                        absl::string_view spec,
                                                        std::uint64_t version) = 0;
    // Replaces the status alone, whatever the version.
    [[nodiscard]] virtual absl::Status update_status(absl::string_view kind, absl::string_view name,
                                                     absl::string_view status) = 0;
    [[nodiscard]] virtual absl::Status remove(absl::string_view kind, absl::string_view name) = 0;

    // Calls `on_change` for each change after `version` until it returns false or the connection
    // ends. Fails with `kOutOfRange` after a gap: list again, then watch from there. Blocks.
    [[nodiscard]] virtual absl::Status
    watch(absl::string_view kind, std::uint64_t version, absl::Duration longest,
          const std::function<bool(const object_change&)>& on_change) = 0;

    // Ends the watches that are waiting and refuses new ones, for shutdown. They fail with
    // `kCancelled`.
    virtual void cancel_watches() = 0;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_STORE_OBJECT_STORE_H_
