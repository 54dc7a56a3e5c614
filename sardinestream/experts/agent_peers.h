// Sends messages to the agents of the other ranks of a rank group.
//
// `agent_peers` is the interface that the rest of this directory uses; `link_peers` implements it
// over wire links. A link is opened on first use and closed after `idle_limit` without use, so that
// an idle group sends no heartbeats.
//
//     auto links = link_peers::create(options, addresses, own_rank).value();
//     agent_peers peers = links->hooks();
//     absl::StatusOr<wire::frame> answer =
//         peers.ask(3, wire::frame_type::map_query, payload, deadline);

#ifndef SARDINESTREAM_EXPERTS_AGENT_PEERS_H_
#define SARDINESTREAM_EXPERTS_AGENT_PEERS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/wire/link_server.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::experts {

// Callbacks that reach the other agents of a group. Both are thread-safe.
struct agent_peers {
    // Sends a request to the agent of `rank` and returns its answer. Blocks until the answer
    // arrives, at most until `deadline`.
    std::function<absl::StatusOr<wire::frame>(int rank, wire::frame_type type,
                                              const std::string& payload, absl::Time deadline)>
        request;
    // Sends a message that has no answer. Does not block; the message may be lost.
    std::function<void(int rank, wire::frame_type type, const std::string& payload)> notify;
};

// Implements `agent_peers` over wire links. Thread-safe.
class link_peers {
public:
    // `agents` has one address per rank; no link is opened to that of `own_rank`. Fails with
    // `kInvalidArgument` if `own_rank` has no address.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<link_peers>>
    create(std::shared_ptr<const wire::link_options> options, std::vector<address> agents,
           int own_rank);

    ~link_peers();
    link_peers(const link_peers&) = delete;
    link_peers& operator=(const link_peers&) = delete;

    // Returns callbacks that are valid for the lifetime of this object.
    [[nodiscard]] agent_peers hooks();

    static constexpr absl::Duration idle_limit = absl::Seconds(10);

private:
    struct peer_entry {
        std::shared_ptr<wire::link_dialer> dialer;
        absl::Time last_used;
    };

    link_peers(std::shared_ptr<const wire::link_options> options, std::vector<address> agents,
               int own_rank);

    [[nodiscard]] absl::StatusOr<wire::frame>
    request(int rank, wire::frame_type type, const std::string& payload, absl::Time deadline);
    void notify(int rank, wire::frame_type type, const std::string& payload);
    [[nodiscard]] std::shared_ptr<wire::link_dialer> dialer_of(int rank);
    void drop_idle_when_due();
    // Closes the links that were last used before `before`.
    void drop_idle(absl::Time before);

    const std::shared_ptr<const wire::link_options> options;
    const std::vector<address> agents;
    const int own_rank;
    absl::Mutex mutex;
    std::map<int, peer_entry> dialers ABSL_GUARDED_BY(mutex);
    absl::Time next_drop ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    // Declared last, so that its threads, which use the members above, end before those are
    // destroyed.
    thread_group senders;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_AGENT_PEERS_H_
