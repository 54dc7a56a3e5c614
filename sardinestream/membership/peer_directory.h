// Tracks the other processes of the system to which this process is connected.
//
// Owns a link to each known address, and for each peer its identity, incarnation, services and
// whether it is leaving; passes its heartbeats on to an observer. Does not decide where a request
// is sent (see routing/).
//
//     auto directory = peer_directory::create(link_options);
//     directory->set_addresses(seeds);
//     for (const auto& peer : directory->serving("assistant")) { ... }
//
// A peer's own leaving notice takes effect at once; the platform's list may show it much later.

#ifndef SARDINESTREAM_MEMBERSHIP_PEER_DIRECTORY_H_
#define SARDINESTREAM_MEMBERSHIP_PEER_DIRECTORY_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sardinestream/wire/link_server.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::membership {

// A connected peer. Its identity never changes: another incarnation is a different `peer`.
struct peer {
    std::shared_ptr<wire::peer_link> link;
    std::atomic<bool> leaving{false};
    // The address is no longer in the set given to `set_addresses`. Reset if it is added again.
    std::atomic<bool> withdrawn{false};
    // Requests that this process has sent and that have not ended.
    std::atomic<int> in_flight{0};

    [[nodiscard]] const wire::helloT& identity() const { return this->link->remote(); }
    [[nodiscard]] bool serves(absl::string_view service) const;
    [[nodiscard]] bool usable() const
    {
        return this->link->usable() && !this->leaving && !this->withdrawn;
    }

    // Called for every request that this process sends to the peer, and when it ends; may be empty.
    // Set in `observer::on_peer_up`, before other threads can find the peer.
    std::function<void()> on_request_sent;
    std::function<void()> on_request_ended;
};

// Keeps links to a set of addresses and finds connected peers by id, role or service. Thread-safe.
class peer_directory {
public:
    // Callbacks for changes of peers; each may be empty. `on_peer_up` is called before other
    // threads can find the peer, `on_peer_down` after it was removed.
    struct observer {
        std::function<void(const std::shared_ptr<peer>&)> on_peer_up;
        std::function<void(const std::shared_ptr<peer>&)> on_peer_down;
        std::function<void(const std::shared_ptr<peer>&, absl::string_view payload)> on_heartbeat;
        std::function<void(const std::shared_ptr<peer>&)> on_leaving;
    };

    // Each event is handled by the directory before the hooks of `options` are called. Frames that
    // announce leaving are not passed on to those hooks.
    [[nodiscard]] static std::unique_ptr<peer_directory> create(wire::link_options options,
                                                                observer watching = {});

    ~peer_directory();
    peer_directory(const peer_directory&) = delete;
    peer_directory& operator=(const peer_directory&) = delete;

    // Keeps a link to each of these addresses. Links to other addresses get no new requests and are
    // not dialled again once lost; requests in progress on them continue.
    void set_addresses(const std::vector<address>& wanted);

    // Marks this incarnation of the peer as leaving, also if it connects only later. An incarnation
    // of zero means the one that is connected.
    void note_leaving(absl::string_view id, std::uint64_t incarnation);

    // Returns the connected peers that offer the service, including those that are leaving, sorted
    // by id.
    [[nodiscard]] std::vector<std::shared_ptr<peer>> serving(absl::string_view service) const;

    // Returns the options of every link of this process, for the server that accepts links.
    [[nodiscard]] std::shared_ptr<const wire::link_options> link_options() const
    {
        return this->options;
    }

    // Returns the connected peers of one role, sorted by id, one for each id.
    [[nodiscard]] std::vector<std::shared_ptr<peer>> with_role(wire::peer_role role) const;

    // Returns the connected peer with this id, or null.
    [[nodiscard]] std::shared_ptr<peer> find(absl::string_view id) const;

    // Waits until a peer with this id is connected; returns null if `deadline` passes first.
    [[nodiscard]] std::shared_ptr<peer> wait_for(absl::string_view id, absl::Time deadline) const;

private:
    explicit peer_directory(observer watching) : watcher(std::move(watching)) {}

    void add(const std::shared_ptr<wire::peer_link>& link);
    void remove(const std::shared_ptr<wire::peer_link>& link);
    [[nodiscard]] std::shared_ptr<peer> find_by_link(const wire::peer_link* link) const;
    void mark_leaving(const std::shared_ptr<peer>& known);
    void note_heartbeat(const wire::peer_link* link, absl::string_view payload);

    const observer watcher;
    std::shared_ptr<wire::link_options> options;
    mutable absl::Mutex mutex;
    // All connected peers, by link.
    std::map<const wire::peer_link*, std::shared_ptr<peer>> peers ABSL_GUARDED_BY(mutex);
    // The last incarnation that was passed to `note_leaving`, by id.
    std::map<std::string, std::uint64_t> listed_leaving ABSL_GUARDED_BY(mutex);
    absl::Mutex dialers_mutex;
    std::map<address, std::unique_ptr<wire::link_dialer>> dialers ABSL_GUARDED_BY(dialers_mutex);
};

} // namespace sardinestream::membership

#endif // SARDINESTREAM_MEMBERSHIP_PEER_DIRECTORY_H_
