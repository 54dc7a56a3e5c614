// Maintains the servers of the fleet as last listed by the store, and determines which may be used.
//
// Updates come from the store itself and from other entries that read it, and may arrive out of
// order. Each server therefore keeps the store's revision of its entry, and an update with an older
// revision is ignored.
//
// A server that vanished from the list after an outage of the store may only have been unable to
// renew its entry. It stays in use for a grace period, in which a live server is listed again.
// Thread-safe.

#ifndef SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_
#define SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// Grace period for vanished servers. Live servers are listed again within 2 s after an outage of
// the store.
inline constexpr std::chrono::milliseconds relist_grace_period{1900};

struct listed_server {
    backend_server server;
    // The store's revision of the server's entry.
    std::int64_t revision = 0;
};

// All servers that the store lists.
struct server_list {
    std::vector<listed_server> servers;
    // The store's revision up to which the list is complete.
    std::int64_t revision = 0;
};

// The creation, update or removal of one server's entry.
struct server_change {
    std::string id;
    // Empty if the entry was removed or no longer describes a server.
    std::optional<backend_server> server;
    // The store's revision of the entry.
    std::int64_t revision = 0;
};

// Changes of the list since an earlier revision.
struct server_changes {
    std::vector<server_change> changes;
    // The store's revision up to which the list is complete with these changes.
    std::int64_t revision = 0;
};

class server_directory {
public:
    // Apply a complete list, or changes to it, atomically. Servers that are no longer listed stay
    // in use until `relist_until`; they are dropped immediately if that time has passed or they
    // were draining. Return whether the servers in use may have changed.
    bool apply(const server_list& list, steady_time relist_until, steady_time now);
    bool apply(const server_changes& news, steady_time relist_until, steady_time now);

    // Drops vanished servers whose grace period is over. Returns whether there was one.
    bool drop_vanished(steady_time now);
    // Drops all vanished servers, for when there was no outage of the store in which their entries
    // could have expired. Returns the number of dropped servers.
    std::size_t drop_all_vanished();

    // Returns the servers that may be used. Of several servers at one address, that is only the one
    // that started last: the others have ended, though the store lists them until their entries
    // expire.
    [[nodiscard]] std::vector<backend_server> usable() const;
    // Returns the listed servers, to be sent to other entries. Vanished servers are left out,
    // because the receivers would take them for servers that the store still lists.
    [[nodiscard]] server_list listed() const;
    // Returns the number of servers in use that are no longer listed.
    [[nodiscard]] std::size_t vanished() const;

    // Returns the store's revision up to which the list is known; zero before the first list.
    [[nodiscard]] std::int64_t revision() const;

private:
    struct entry {
        listed_server listed;
        // End of the grace period of a vanished server; zero if the server is listed.
        steady_time expires_at{};
    };

    // Inserts or updates an entry unless a newer revision is known. Returns whether it changed.
    bool upsert(const listed_server& newer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Marks an entry as vanished. Returns whether it has to be removed immediately; otherwise it
    // stays until `relist_until`.
    static bool mark_vanished(entry& vanished, steady_time relist_until, steady_time now);

    mutable absl::Mutex mutex;
    std::map<std::string, entry> entries ABSL_GUARDED_BY(mutex);
    std::int64_t known_revision ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_
