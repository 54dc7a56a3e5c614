// Runs an agent's part in its rank group.
//
// Combines the vote on expert maps, the group membership of the engine, the load reports and, at
// the coordinating rank, the rebalancing. It is not on the path of requests, which continue while
// maps change.
//
//     auto links = link_peers::create(link_options, agents, rank).value();
//     auto experts = expert_service::create(options, store, links->hooks()).value();
//     link_options->hooks.on_stream = [&](auto& opened, frame first) {
//         if (expert_service::owns(first.header.type)) experts->serve(opened, std::move(first));
//     };
//     link_options->hooks.on_link_frame = [&](auto&, const frame& received) {
//         experts->handle_link_frame(received);
//     };
//
// Thread-safe.

#ifndef SARDINESTREAM_EXPERTS_EXPERT_SERVICE_H_
#define SARDINESTREAM_EXPERTS_EXPERT_SERVICE_H_

#include <memory>
#include <string>
#include <vector>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/experts/map_proposer.h"
#include "sardinestream/experts/map_voter.h"
#include "sardinestream/experts/rank_group_manager.h"
#include "sardinestream/experts/rebalancer.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::experts {

struct expert_service_options {
    std::string group;
    int rank = 0;
    int ranks = 1;
    address engine;
    std::uint64_t agent_incarnation = 0;
    std::uint32_t layers = 1;
    std::uint32_t experts_per_layer = 1;
    absl::Duration engine_timeout = absl::Seconds(2);
    proposer_options proposer;
    absl::Duration report_interval = absl::Seconds(1);
    // Returns the current rebalancing policy; called before each decision. If empty, the group is
    // never rebalanced.
    std::function<rebalance_policy()> policy;
};

class expert_service {
public:
    // Must be called only after this process listens on the slot's address, because the exclusive
    // use of that address ensures that no other agent of the slot is active. `store`, and the
    // objects to which `peers` refers, must outlive the service.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<expert_service>>
    create(const expert_service_options& options, platform::object_store& store,
           const agent_peers& peers);

    // Waits until all exchanges have ended.
    ~expert_service();
    expert_service(const expert_service&) = delete;
    expert_service& operator=(const expert_service&) = delete;

    // Returns whether `serve` or `handle_link_frame` handles frames of this type.
    [[nodiscard]] static bool owns(wire::frame_type type);

    // Serves an exchange that a peer opened, on a separate thread.
    void serve(const std::shared_ptr<wire::stream>& opened, wire::frame first);

    // Handles a frame that belongs to no stream. Frames of types that it does not own are ignored.
    void handle_link_frame(const wire::frame& received);

    // Proposes `placement` as the group's next map; see `map_proposer::move_to`.
    [[nodiscard]] absl::StatusOr<bool> move_to(const expert_mapT& placement);

    [[nodiscard]] engine_client& engine() { return *this->rank_engine; }
    [[nodiscard]] map_voter& voter() { return *this->votes; }

private:
    expert_service() = default;

    void answer(wire::stream& opened, const wire::frame& first);
    void answer_stage(wire::stream& opened, const wire::frame& first);
    void answer_propose(wire::stream& opened, const wire::frame& first);
    void answer_query(wire::stream& opened, const wire::frame& first);
    void answer_group_query(wire::stream& opened, const wire::frame& first);

    std::unique_ptr<engine_client> rank_engine;
    std::unique_ptr<map_voter> votes;
    std::unique_ptr<rank_group_manager> manager;
    std::unique_ptr<map_proposer> proposer;
    std::unique_ptr<rebalancer> load_rebalancer;
    // Declared last, so that its threads, which use the members above, end before those are
    // destroyed.
    thread_group exchanges;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_EXPERT_SERVICE_H_
