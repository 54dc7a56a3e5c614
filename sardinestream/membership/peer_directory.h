// The other processes of the system, as one process knows them.
//
// Owns a link to each known address and what each peer last said of itself: identity, incarnation,
// services, load report, notice of leaving. It never decides where a request goes (routing does).
//
//     auto directory = peer_directory::create(link_options);
//     directory->set_addresses(seeds);
//     for (const auto& peer : directory->serving("assistant")) { ... }
//
// A peer's own notice of leaving counts at once; the platform's list may say so much later.

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

// One peer that is connected now. The identity never changes: another incarnation is another peer.
struct peer {
    std::shared_ptr<wire::peer_link> link;
    std::atomic<bool> leaving{false};
    // The address is no longer among those to keep a link to; may become wanted again.
    std::atomic<bool> withdrawn{false};
    // Requests that this process has sent and not yet seen end.
    std::atomic<int> in_flight{0};

    [[nodiscard]] const wire::helloT& identity() const { return this->link->remote(); }
    [[nodiscard]] bool serves(absl::string_view service) const;
    [[nodiscard]] bool usable() const
    {
        return this->link->usable() && !this->leaving && !this->withdrawn;
    }

    // Told of every request that this process sends to the peer, and of its end; may be empty.
    // Set before the peer is handed out.
    std::function<void()> on_request_sent;
    std::function<void()> on_request_ended;
};

// Thread-safe.
class peer_directory {
public:
    // Called with each new peer before it is handed out, and with each lost one; may be empty.
    struct observer {
        std::function<void(const std::shared_ptr<peer>&)> on_peer_up;
        std::function<void(const std::shared_ptr<peer>&)> on_peer_down;
        std::function<void(const std::shared_ptr<peer>&, absl::string_view payload)> on_heartbeat;
        std::function<void(const std::shared_ptr<peer>&)> on_leaving;
    };

    // The directory's own work comes before the hooks of `options`.
    [[nodiscard]] static std::unique_ptr<peer_directory> create(wire::link_options options,
                                                                observer watching = {});

    ~peer_directory();
    peer_directory(const peer_directory&) = delete;
    peer_directory& operator=(const peer_directory&) = delete;

    // Keeps a link to each of these addresses. Links to others get no new work and are not
    // dialled again once lost; what is in progress on them goes on.
    void set_addresses(const std::vector<address>& wanted);

    // Marks the peer with this id as leaving, connected or not yet; an incarnation of zero
    // stands for the one that is connected.
    void note_leaving(absl::string_view id, std::uint64_t incarnation);

    // Connected peers that offer the service, leaving ones included, sorted by id.
    [[nodiscard]] std::vector<std::shared_ptr<peer>> serving(absl::string_view service) const;

    // What every link of this process is made with: for the server that accepts links.
    [[nodiscard]] std::shared_ptr<const wire::link_options> link_options() const
    {
        return this->options;
    }

    // Connected peers of one role, sorted by id, one for each id.
    [[nodiscard]] std::vector<std::shared_ptr<peer>> with_role(wire::peer_role role) const;

    // The connected peer with this id, or null.
    [[nodiscard]] std::shared_ptr<peer> find(absl::string_view id) const;

    // Waits until a peer with this id is connected; null at `deadline`.
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
    // Every connected peer, by its link.
    std::map<const wire::peer_link*, std::shared_ptr<peer>> peers ABSL_GUARDED_BY(mutex);
    // The last incarnation that the platform showed as leaving, by id.
    std::map<std::string, std::uint64_t> listed_leaving ABSL_GUARDED_BY(mutex);
    absl::Mutex dialers_mutex;
    std::map<address, std::unique_ptr<wire::link_dialer>> dialers ABSL_GUARDED_BY(dialers_mutex);
};

} // namespace sardinestream::membership

#endif // SARDINESTREAM_MEMBERSHIP_PEER_DIRECTORY_H_
