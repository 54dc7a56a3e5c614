// How an agent reaches the agents of the other ranks of its group.
//
// `agent_peers` is what the rest of the slice sees; `link_peers` implements it over wire links that
// are dialled when they are first needed and dropped once they have been idle for a while, so that
// a group at rest costs no heartbeats.
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

// Both hooks are thread-safe.
struct agent_peers {
    // Opens an exchange with the agent of `rank` and returns its answer. Blocks until `deadline`.
    std::function<absl::StatusOr<wire::frame>(int rank, wire::frame_type type,
                                              const std::string& payload, absl::Time deadline)>
        ask;
    // Sends a message that needs no answer; it may be lost. Does not block.
    std::function<void(int rank, wire::frame_type type, const std::string& payload)> tell;
};

// Thread-safe.
class link_peers {
public:
    // `agents` has one address for each rank; the one of `own_rank` is not dialled.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<link_peers>>
    create(std::shared_ptr<const wire::link_options> options, std::vector<address> agents,
           int own_rank);

    ~link_peers();
    link_peers(const link_peers&) = delete;
    link_peers& operator=(const link_peers&) = delete;

    // Hooks that stay valid as long as this object.
    [[nodiscard]] agent_peers hooks();

    static constexpr absl::Duration idle_limit = absl::Seconds(10);

private:
    struct peer_entry {
        std::shared_ptr<wire::link_dialer> dialer;
        absl::Time last_used;
    };

    link_peers(std::shared_ptr<const wire::link_options> options, std::vector<address> agents,
               int own_rank);

    [[nodiscard]] absl::StatusOr<wire::frame> ask(int rank, wire::frame_type type,
                                                  const std::string& payload, absl::Time deadline);
    void tell(int rank, wire::frame_type type, const std::string& payload);
    [[nodiscard]] std::shared_ptr<wire::link_dialer> dialer_of(int rank);
    void drop_idle_when_due();
    // Drops links without traffic since `before`.
    void drop_idle(absl::Time before);

    const std::shared_ptr<const wire::link_options> options;
    const std::vector<address> agents;
    const int own_rank;
    absl::Mutex mutex;
    std::map<int, peer_entry> dialers ABSL_GUARDED_BY(mutex);
    absl::Time next_drop ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    // Last: its threads use the members above and end first.
    thread_group senders;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_AGENT_PEERS_H_
