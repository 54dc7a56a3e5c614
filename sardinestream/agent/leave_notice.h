// Tells the entries that this agent leaves, and knows which of them have read it.
//
// A request that an entry sends before it has read the notice still needs an answer: without one,
// the entry has to assume that the request may have run.
//
//     leave_notice notice;
//     notice.attach(link_options.hooks);
//     ...
//     notice.send();
//     notice.wait_until_acknowledged(deadline);

#ifndef SARDINESTREAM_AGENT_LEAVE_NOTICE_H_
#define SARDINESTREAM_AGENT_LEAVE_NOTICE_H_

#include <chrono>
#include <memory>
#include <set>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/wire/peer_link.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::agent {

// Thread-safe.
class leave_notice {
public:
    // Adds hooks that keep track of the links and of acknowledgements; the hooks that were set
    // before are called as well. The notice must outlive the links.
    void attach(wire::link_hooks& hooks);

    // Sends the notice on every link, and on every link that comes up later. Does not block.
    void send();

    // Blocks until each entry has acknowledged the notice or its link is lost (returns true), or
    // until `deadline` (returns false).
    [[nodiscard]] bool
    wait_until_acknowledged(std::chrono::steady_clock::time_point deadline) const;

private:
    void on_up(const std::shared_ptr<wire::peer_link>& link);
    void on_down(const std::shared_ptr<wire::peer_link>& link);
    void on_acknowledged(const std::shared_ptr<wire::peer_link>& link);
    void send_on(const std::shared_ptr<wire::peer_link>& link);
    [[nodiscard]] bool is_acknowledged() const;

    mutable absl::Mutex mutex;
    bool sent ABSL_GUARDED_BY(mutex) = false;
    // Links that are up and whose peers have not acknowledged the notice.
    std::set<std::shared_ptr<wire::peer_link>> unaware ABSL_GUARDED_BY(mutex);
    // Sends on each link by itself: a peer that reads nothing blocks the send.
    thread_group senders; // declared last, so that it is destroyed first
};

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_LEAVE_NOTICE_H_
