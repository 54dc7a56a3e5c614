// The servers of the fleet as the store last listed them, and which of them may be used.
//
// A server that vanished from the list right after an outage of the store may only have been unable
// to renew its entry: it stays in use for a short time, in which a live one is listed again.
// Thread-safe.

#ifndef SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_
#define SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

class server_directory {
public:
    // Takes a whole list, unless a newer one is known. `after_outage` says that the store was out
    // of reach shortly before. Returns whether anything changed.
    bool replace_all(const std::vector<backend_server>& listed, std::int64_t revision,
                     bool after_outage, steady_time now);

    // Takes one entry that was added or changed.
    bool put(const backend_server& server, std::int64_t revision);

    // Takes the removal of one entry.
    bool remove(const std::string& id, std::int64_t revision, bool after_outage, steady_time now);

    // Drops vanished servers whose time is over. Returns whether there was one.
    bool drop_vanished(steady_time now);

    // Of several servers at one address only the one that started last: the others are gone, though
    // the store may list them until their entries lapse.
    [[nodiscard]] std::vector<backend_server> usable() const;
    // Without those that vanished: what others are told. They would take the memory of an entry for
    // news of the store.
    [[nodiscard]] std::vector<backend_server> listed() const;

    // The store's revision up to which the list is known; zero before the first list.
    [[nodiscard]] std::int64_t revision() const;

private:
    struct entry {
        backend_server server;
        // Set for one that vanished and is still in use.
        steady_time drop_at{};
    };

    bool vanish(entry& vanished, bool after_outage, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    std::map<std::string, entry> entries ABSL_GUARDED_BY(mutex);
    std::int64_t known_revision ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_
