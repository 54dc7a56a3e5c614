// The servers of the fleet as the store last listed them, and which of them may be used.
//
// What is known comes in two ways, from the store itself and from other entries that read it, and
// the older news may come last. So each server keeps the store's revision of its entry, and news
// that is older than what is known changes nothing.
//
// A server that vanished from the list after an outage of the store may only have been unable to
// renew its entry: it stays in use for a short time, in which a live one is listed again.
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

// Live servers are listed again within two seconds after an outage of the store.
inline constexpr std::chrono::milliseconds relist_time{1900};

struct listed_server {
    backend_server server;
    // The store's revision of its entry.
    std::int64_t revision = 0;
};

// All servers that the store lists.
struct server_list {
    std::vector<listed_server> servers;
    // The store's revision up to which the list is whole.
    std::int64_t revision = 0;
};

// The entry of one server was written or removed.
struct server_change {
    std::string id;
    // Nothing where the entry was removed, or names no server any more.
    std::optional<backend_server> server;
    // The store's revision of the entry.
    std::int64_t revision = 0;
};

// What has changed in the list.
struct server_changes {
    std::vector<server_change> changes;
    // The store's revision up to which the list is whole with these changes.
    std::int64_t revision = 0;
};

class server_directory {
public:
    // Take a whole list, or changes of it, at once: nobody sees a part of them. Servers that are
    // not listed any more stay in use until `relist_until`. Return whether anything changed.
    bool take(const server_list& list, steady_time relist_until, steady_time now);
    bool take(const server_changes& news, steady_time relist_until, steady_time now);

    // Drops vanished servers whose time is over. Returns whether there was one.
    bool drop_vanished(steady_time now);
    // Drops them all: there was no outage of the store in which they could have lapsed. Returns how
    // many there were.
    std::size_t drop_all_vanished();

    // Of several servers at one address only the one that started last: the others are gone, though
    // the store may list them until their entries lapse.
    [[nodiscard]] std::vector<backend_server> usable() const;
    // Without those that vanished: what others are told. They would take the memory of an entry for
    // news of the store.
    [[nodiscard]] server_list listed() const;
    // Servers in use that are not listed any more.
    [[nodiscard]] std::size_t vanished() const;

    // The store's revision up to which the list is known; zero before the first list.
    [[nodiscard]] std::int64_t revision() const;

private:
    struct entry {
        listed_server listed;
        // Set for one that vanished and is still in use.
        steady_time drop_at{};
    };

    // Returns whether anything changed.
    bool put(const listed_server& newer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns whether the entry has to go at once; else it stays until `relist_until`.
    static bool vanish(entry& vanished, steady_time relist_until, steady_time now);

    mutable absl::Mutex mutex;
    std::map<std::string, entry> entries ABSL_GUARDED_BY(mutex);
    std::int64_t known_revision ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_
