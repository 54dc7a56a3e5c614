// Maintains the servers of the fleet as last listed by the store, and determines which may be used.
//
// Updates come from the store itself and from other entries that read it, may arrive out of order,
// and the store may come back from an older copy. Which fact about a server is the newer one is
// decided here alone:
//
// - in one era of the store, the later revision is newer;
// - across eras, what the server counts itself decides: its start, then its writes since the start.
//   At equal counts, a server that is draining or has departed stays so.
//
// After a restoration the first list of the store is compared with what is known, server by server;
// from then on the facts kept have the position of that list. Departed servers are remembered for
// some time, so that an older copy does not bring them back, and are reported to other entries.
//
// A server that vanished from the list after an outage of the store may only have been unable to
// renew its entry. It stays in use for a grace period, in which a live server is listed again. An
// outage that is too short to let an entry expire excuses nothing: what vanished has left.
//
// Anybody may write entries, so that one proves nothing against another. An entry of a service that
// the operator does not declare is kept and not used. Of several entries with one address, that of
// the latest start is believed: the others belong to servers that have ended, and expire. It is
// believed only as long as the others may not have expired yet, and no other server answers there.
// Thread-safe.

#ifndef SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_
#define SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/base/store_outage.h"
#include "sardinestream/base/store_position.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// Grace period for vanished servers. Live servers are listed again within 2 s after an outage of
// the store.
inline constexpr std::chrono::milliseconds relist_grace_period{1900};

struct listed_server {
    backend_server server;
    // The store's position at the last change of the server's entry.
    store_position position;
    // Counts the server's own writes since its start; zero if its entry does not say.
    std::int64_t sequence = 0;
    // How much longer the server is cold, as it stated at the last change of its entry.
    std::chrono::milliseconds cold_remaining{0};
};

// All servers that the store lists.
struct server_list {
    std::vector<listed_server> servers;
    // The store's position up to which the list is complete.
    store_position position;
    // The store was restored since its last answer, which its era alone may not show.
    bool restored = false;
};

// The creation, update or removal of one server's entry.
struct server_change {
    std::string id;
    // Empty if the entry was removed or no longer describes a server.
    std::optional<backend_server> server;
    store_position position;
    // What the entry says of its server's age, also the entry that was removed; zero if nothing.
    std::int64_t born_ms = 0;
    std::int64_t sequence = 0;
    std::chrono::milliseconds cold_remaining{0};
};

// Changes of the list since an earlier position in the same history.
struct server_changes {
    std::vector<server_change> changes;
    // The store's position up to which the list is complete with these changes.
    store_position position;
};

// A server whose entry was removed, as reported to other entries.
struct departed_server {
    std::string id;
    std::int64_t born_ms = 0;
    std::int64_t sequence = 0;
    store_position position;
    // Time since it departed.
    std::chrono::milliseconds age{0};
};

// What one entry tells another about the servers.
struct shared_servers {
    server_list listed;
    std::vector<departed_server> departed;
};

class server_directory {
public:
    // `lifetime` is the time within which the store removes the entry of a silent server,
    // `heartbeat` that between two writes of a server.
    explicit server_directory(
        std::chrono::milliseconds lifetime = std::chrono::milliseconds(4800),
        std::chrono::milliseconds heartbeat = std::chrono::milliseconds(1200));

    // Notes an outage of the store if entries may have expired in it. A short one does not end the
    // grace period of a longer one before it.
    void note_outage(const store_outage& outage, steady_time now);

    // Apply the store's complete list, or changes to it, atomically. `outage` is the last outage of
    // the store. Servers that are no longer listed stay in use for the grace period if their
    // entries may have expired in it; they are dropped immediately if they were draining. Return
    // whether the servers in use may have changed.
    bool apply(const server_list& list, const store_outage& outage, steady_time now);
    bool apply(const server_changes& received, const store_outage& outage, steady_time now);
    // Adds the servers of a list that was not read to its end: what is missing from it has not
    // vanished, and the list stays unknown. Ignored if it may belong to another history.
    bool apply_partial(const server_list& list, steady_time now);
    // Adds what another entry knows; an older fact changes nothing, and servers that its list lacks
    // vanish only if the list is newer than the known one. `outage` is this process's own.
    bool merge(const shared_servers& peer, const store_outage& outage, steady_time now);

    // Drops vanished servers whose grace period is over. Returns whether there was one.
    bool drop_vanished(steady_time now);
    // Returns when the next grace period is over; steady_time::max() if there is none.
    [[nodiscard]] steady_time next_expiry() const;
    // Drops all vanished servers, for when there was no outage of the store in which their entries
    // could have expired. Returns the number of dropped servers.
    std::size_t drop_all_vanished(steady_time now);

    // Adds services that the operator declares; until the first call, all services count as
    // declared. Returns whether the servers in use may have changed.
    bool add_services(const std::set<std::string>& declared, steady_time now);
    // Records that another server has answered in place of this one, at its address. Returns
    // whether the servers in use may have changed.
    bool note_replaced(const backend_server& server, steady_time now);

    // Returns the servers that may be used.
    [[nodiscard]] std::vector<backend_server> usable() const;
    // Returns what to tell other entries. Vanished servers are left out, because the receivers
    // would take them for servers that the store still lists.
    [[nodiscard]] shared_servers shared(steady_time now) const;
    // Returns the number of servers in use that are no longer listed.
    [[nodiscard]] std::size_t vanished() const;
    // Returns a digest of the departed servers: entries that know the same have the same digest.
    [[nodiscard]] std::uint64_t departed_digest(steady_time now) const;

    // Returns the store's position up to which the list is known; zero before the first list.
    [[nodiscard]] store_position position() const;

private:
    enum class entry_use : std::uint8_t { used, undeclared_service, address_taken };
    [[nodiscard]] static absl::string_view name_of(entry_use use);

    struct entry {
        listed_server listed;
        // End of the grace period of a vanished server; zero if the server is listed.
        steady_time expires_at{};
        // As of the last call of `update_uses`.
        entry_use use = entry_use::used;
        // This start of the server was listed as ready. One that was only ever listed as draining
        // takes no address from others.
        bool was_ready = false;
        // Another server has answered at its address since this start.
        bool is_replaced = false;
        // Since when entries of later starts have its address; zero if none has.
        steady_time contested_since{};
    };
    struct departure {
        // Its last known entry, with the position of its removal.
        listed_server last;
        steady_time departed_at{};
        // Identifies this start of the server.
        std::uint64_t digest = 0;
        // The entry that the store, restored, lists again, and since when. A server that is alive
        // renews it without a change; that of one that is gone expires.
        std::optional<listed_server> relisted;
        steady_time relisted_at{};
    };
    static departure make_departure(const listed_server& last, steady_time since);

    using entry_iterator = std::map<std::string, entry>::iterator;

    void extend_grace(const store_outage& outage, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Reconciles what is known with the first list of another history of the store.
    bool reconcile(const server_list& list, steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Adds a complete list of the known era.
    bool add_complete(const server_list& list, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Inserts or updates an entry unless a newer fact is known. Returns whether the server's use
    // may have changed.
    bool upsert(const listed_server& listed, steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool is_declared(const backend_server& server) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Removes an entry of a service that is not declared. Returns whether there was one.
    bool evict_undeclared() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Decides which entries are used. Returns whether that has changed.
    bool update_uses(steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Marks the servers that a complete list lacks as vanished.
    bool remove_absent(const server_list& list, steady_time relist_until, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Marks an entry as removed at `position`: it stays until `relist_until`, if that is allowed.
    // Returns the next entry, and sets `changed` if the entry was removed.
    entry_iterator vanish(entry_iterator gone, const store_position& position,
                          steady_time relist_until, steady_time now, bool& changed)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    entry_iterator depart(entry_iterator gone, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool merge_departed(const departed_server& heard, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Notes which departed servers the store lists.
    void note_relisted(const server_list& list, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Uses departed servers again that the store has listed for longer than an entry without
    // renewal lasts. Called with each answer of the store.
    bool readmit_renewed(steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void forget_departed(steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const std::chrono::milliseconds entry_lifetime;
    // Entries that are renewed at the end of a shorter outage cannot expire: a heartbeat passes
    // before it, another one after it, and the store removes an entry after three.
    const std::chrono::milliseconds shortest_expiring_outage;
    mutable absl::Mutex mutex;
    // A server is in one of the two maps at most.
    std::map<std::string, entry> entries ABSL_GUARDED_BY(mutex);
    std::map<std::string, departure> departed ABSL_GUARDED_BY(mutex);
    store_position known ABSL_GUARDED_BY(mutex);
    // Entries that have expired in an outage are listed again by then; zero if there was none.
    steady_time relisted_by ABSL_GUARDED_BY(mutex){};
    // What the operator declares or has declared: requests of an earlier desired state may still
    // wait for a server. Unset before the first desired state.
    std::optional<std::set<std::string>> services ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_DIRECTORY_H_
