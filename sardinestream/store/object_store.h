// Reads, changes and watches objects through the platform's object API.
//
// The API follows the Kubernetes API: JSON over HTTP, objects of this project's own kinds under
// `/apis/sardinestream.dev/v1/namespaces/<namespace>/<plural>/<name>`,
// `metadata.resourceVersion` for conditional updates, 409 for conflicts, chunked JSON lines for
// watches, 410 after a gap.
//
//     auto store = object_store::create({.servers = {{"10.0.0.9", 8080}}}).value();
//     auto made = store->create_object("keybindings", name, R"({"agent":"a1"})");
//     if (absl::IsAlreadyExists(made.status())) { ... }
//
// A change whose response was lost fails with `kUnknown`: it may have taken effect, so read the
// object before deciding what to do. A change that fails with `kUnavailable` has had no effect and
// will have none. A read fails with `kUnavailable` in both cases. All functions are thread-safe.
//
// The store owns the connections to the platform. It never retries a change that may have been sent
// and does not cache objects.

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
    std::string status; // JSON text; "{}" if there is none
    // Increases with every change of the spec and with no other change.
    std::uint64_t generation = 0;
};

struct object_list {
    std::vector<object> objects;
    // The version from which a watch must start in order to miss no change.
    std::uint64_t version = 0;
    // By which the platform continues a list of several pages; empty in the last one.
    std::string continuation;
};

enum class change_kind : std::uint8_t { put, removed };

struct object_change {
    change_kind change = change_kind::put;
    object changed;
};

struct object_store_options {
    std::vector<address> servers; // tried in order, the last one that responded first
    std::string name_space = "sardinestream";
    // Limit for each read and each write on a connection; connecting has a limit of its own.
    absl::Duration timeout = absl::Seconds(2);
};

class object_store {
public:
    // Returns kInvalidArgument if `options.servers` is empty.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<object_store>>
    create(object_store_options options);

    virtual ~object_store() = default;

    // Returns kNotFound if there is no such object.
    [[nodiscard]] virtual absl::StatusOr<object> get(absl::string_view kind,
                                                     absl::string_view name) = 0;
    // Reads all pages. Objects that cannot be read are logged and left out, here and in watches.
    // Returns kOutOfRange if the platform no longer has the rest of the list, and kDataLoss if the
    // list does not end within 64 MB.
    [[nodiscard]] virtual absl::StatusOr<object_list> list(absl::string_view kind) = 0;
    // Returns kAlreadyExists if there is an object of that kind and name.
    [[nodiscard]] virtual absl::StatusOr<object>
    create_object(absl::string_view kind, absl::string_view name, absl::string_view spec) = 0;
    // Replaces the spec if the object is still at `version`; returns kAborted on a conflict.
    [[nodiscard]] virtual absl::StatusOr<object> update(absl::string_view kind,
                                                        absl::string_view name,
                                                        absl::string_view spec,
                                                        std::uint64_t version) = 0;
    // Replaces only the status, regardless of the object's version.
    [[nodiscard]] virtual absl::Status update_status(absl::string_view kind, absl::string_view name,
                                                     absl::string_view status) = 0;
    [[nodiscard]] virtual absl::Status remove(absl::string_view kind, absl::string_view name) = 0;

    // Calls `on_change` for each change after `version`. Blocks until `on_change` returns false,
    // `longest` (rounded up to seconds) has passed or the connection ends. Returns kOutOfRange if
    // changes after `version` are no longer available: list again, then watch from the new version.
    [[nodiscard]] virtual absl::Status
    watch(absl::string_view kind, std::uint64_t version, absl::Duration longest,
          const std::function<bool(const object_change&)>& on_change) = 0;

    // Ends the active watches and rejects new ones, for shutdown. They all fail with kCancelled.
    virtual void cancel_watches() = 0;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_STORE_OBJECT_STORE_H_
