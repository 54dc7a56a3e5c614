// The platform's object store as our programs see it: lists, watches, one growing revision, and
// every way in which it fails, up to a restoration from an older copy.
//
//     auto store = store_emulator::start({"127.0.0.1", 0});
//     (*store)->put("config", "main", desired_state);
//     (*store)->set_trouble(store_trouble::silent);
//
// What the operator and the servers write is written by direct calls, which no trouble holds up.
// Thread-safe.

#ifndef SARDINESTREAM_TESTING_EMULATOR_STORE_EMULATOR_H_
#define SARDINESTREAM_TESTING_EMULATOR_STORE_EMULATOR_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sardinestream/testing/emulator/connection_server.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

// How the store treats its callers.
enum class store_trouble : std::uint8_t { none, slow, busy, limited, reset, silent };

class store_emulator {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<store_emulator>>
    start(const address& local);

    // Writes an object; one that stays the same changes nothing. Returns the store's revision.
    std::int64_t put(const std::string& kind, const std::string& name,
                     const nlohmann::json& specification);
    void remove(const std::string& kind, const std::string& name);
    [[nodiscard]] std::vector<std::string> names(const std::string& kind) const;
    [[nodiscard]] std::optional<nlohmann::json> get(const std::string& kind,
                                                    const std::string& name) const;

    void set_trouble(store_trouble wanted);
    // The connections that are open answer no more calls for `kind`, or no calls at all if it is
    // empty, and do not end. New ones work.
    void silence_connections(const std::string& kind);
    // Forgets the history up to now: watches from before have to list again.
    void compact();
    // Keeps a copy of all objects. `restore_copy` comes back from it: later writes are gone, their
    // revisions are given out again, and the era rises by one. Does nothing if there is no copy.
    void take_copy();
    void restore_copy();

    [[nodiscard]] const address& local() const { return this->server->local(); }

private:
    struct stored {
        std::int64_t revision = 0;
        nlohmann::json specification;
    };
    struct change {
        std::string kind;
        std::string name;
        std::int64_t revision = 0;
        // The last one of an object that was removed.
        nlohmann::json specification;
        bool removed = false;
    };

    using objects_by_kind = std::map<std::string, std::map<std::string, stored>>;
    struct copy {
        objects_by_kind objects;
        std::int64_t newest = 0;
    };

    store_emulator() = default;

    // One connection, and since when it is open.
    struct caller {
        served_connection& connection;
        steady_time opened;
    };
    struct silencing {
        std::string kind;
        steady_time at{};
    };

    // Answers with the era of the store.
    void answer(served_connection& connection, int status, const std::string& body) const;

    void serve(served_connection& connection);
    void answer_call(const caller& from, const emulated_request& request);
    // Waits for a change; nothing at the end of the wait.
    void answer_watch(const caller& from, const emulated_request& request, const std::string& kind);
    // Waits for the end of a connection that has gone silent; false if it has not.
    [[nodiscard]] bool stays_silent(const caller& from, const std::string& kind) const;
    [[nodiscard]] nlohmann::json list(const std::string& kind, const std::string& after) const;
    // Null where the history that is asked for is gone.
    [[nodiscard]] nlohmann::json changes_after(const std::string& kind,
                                               std::int64_t revision) const;
    [[nodiscard]] static nlohmann::json object_json(const std::string& name, std::int64_t revision,
                                                    const nlohmann::json& specification);
    [[nodiscard]] store_trouble trouble() const;

    mutable absl::Mutex mutex;
    objects_by_kind objects ABSL_GUARDED_BY(mutex);
    std::deque<change> history ABSL_GUARDED_BY(mutex);
    std::int64_t newest ABSL_GUARDED_BY(mutex) = 1;
    // Watches from before this revision find their history gone.
    std::int64_t oldest ABSL_GUARDED_BY(mutex) = 0;
    std::int64_t era ABSL_GUARDED_BY(mutex) = 1;
    std::optional<copy> kept ABSL_GUARDED_BY(mutex);
    store_trouble current ABSL_GUARDED_BY(mutex) = store_trouble::none;
    // The last one.
    silencing silenced ABSL_GUARDED_BY(mutex);
    std::unique_ptr<connection_server> server;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_STORE_EMULATOR_H_
