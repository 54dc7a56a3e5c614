// Spreads what a process knows of crash suspects over its links.
//
// A link that comes up is sent everything; news go to every link as they come. A peer that learns
// something new passes it on, so the news reach processes that share no link with its source; what
// a peer knows already goes no further.
//
//     suspect_gossip gossip(&registry);
//     gossip.attach(link_options.hooks); // before any link is made
//     gossip.send_news();                // after a change in the own registry; returns when sent
//
// Reports are sent on a thread of its own, never on a link's reading thread.

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

    // Adds its own work to the hooks; the gossip must outlive the links that are made with them.
    void attach(wire::link_hooks& hooks);

    // Sends what has changed to every link, and returns when it has been handed to their sockets.
    void send_news();

private:
    using link_list = std::vector<std::shared_ptr<wire::peer_link>>;

    void on_link_up(const std::shared_ptr<wire::peer_link>& link);
    void on_report(absl::string_view payload);
    [[nodiscard]] link_list links_up();
    void send_when_due();
    [[nodiscard]] bool is_due() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    suspect_registry* const registry;
    absl::Mutex sending; // held while news are sent, so that none overtakes another
    std::uint64_t sent_sequence ABSL_GUARDED_BY(sending) = 0;
    absl::Mutex mutex;
    std::vector<std::weak_ptr<wire::peer_link>> links ABSL_GUARDED_BY(mutex);
    link_list new_links ABSL_GUARDED_BY(mutex); // have been sent nothing yet
    bool has_news ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread sender;
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_SUSPECT_GOSSIP_H_
