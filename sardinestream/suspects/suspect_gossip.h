// Distributes a process's knowledge of crash suspects to its peers.
//
// A new link is sent the complete registry; changes are sent to every link as they occur. A peer
// that learns something new forwards it, so updates also reach processes without a link to their
// source. Known facts are not forwarded again.
//
//     suspect_gossip gossip(&registry);
//     gossip.attach(link_options.hooks); // before any link is made
//     gossip.send_updates(); // after a change in the own registry; returns when sent
//
// Updates from peers are forwarded on a separate thread, never on a link's reading thread.

#ifndef SARDINESTREAM_SUSPECTS_SUSPECT_GOSSIP_H_
#define SARDINESTREAM_SUSPECTS_SUSPECT_GOSSIP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "sardinestream/suspects/suspect_registry.h"
#include "sardinestream/wire/peer_link.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::suspects {

// Thread-safe.
class suspect_gossip {
public:
    // `suspects` must outlive the gossip.
    explicit suspect_gossip(suspect_registry* suspects);

    // Waits for the sending thread.
    ~suspect_gossip();
    suspect_gossip(const suspect_gossip&) = delete;
    suspect_gossip& operator=(const suspect_gossip&) = delete;

    // Wraps the hooks to observe new links and reports. The gossip must outlive the links that are
    // created with them.
    void attach(wire::link_hooks& hooks);

    // Sends all changes since the last call to every link. Returns when they have been passed to
    // the sockets.
    void send_updates();

private:
    using link_list = std::vector<std::shared_ptr<wire::peer_link>>;

    void on_link_up(const std::shared_ptr<wire::peer_link>& link);
    void on_report(absl::string_view payload);
    [[nodiscard]] link_list live_links();
    void send_when_due();
    [[nodiscard]] bool is_due() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    suspect_registry* const registry;
    absl::Mutex send_mutex; // held while updates are sent, to keep them in order
    std::uint64_t sent_sequence ABSL_GUARDED_BY(send_mutex) = 0;
    absl::Mutex mutex;
    std::vector<std::weak_ptr<wire::peer_link>> links ABSL_GUARDED_BY(mutex);
    // Links to which the registry has not been sent yet.
    link_list unsent_links ABSL_GUARDED_BY(mutex);
    bool has_updates ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread sender;
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_SUSPECT_GOSSIP_H_
