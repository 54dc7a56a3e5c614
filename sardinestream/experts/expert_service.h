// Everything that an agent does for its rank group, behind one object.
//
// Owns the vote on expert maps, the membership of the engine in its group, the load reports and,
// beside the lowest live rank, the rebalancing. Never touches requests: they go on while maps
// change.
//
//     auto links = link_peers::create(link_options, agents, rank).value();
//     auto experts = expert_service::create(options, store, links->hooks()).value();
//     link_options->hooks.on_stream = [&](auto& opened, frame first) {
//         if (expert_service::owns(first.header.type)) experts->serve(opened, std::move(first));
//     };
//     link_options->hooks.on_link_frame = [&](auto&, const frame& received) {
//         experts->note(received);
//     };
//
// Thread-safe.

#ifndef SARDINESTREAM_EXPERTS_EXPERT_SERVICE_H_
#define SARDINESTREAM_EXPERTS_EXPERT_SERVICE_H_

#include <memory>
#include <string>
#include <vector>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/experts/group_keeper.h"
#include "sardinestream/experts/map_proposer.h"
#include "sardinestream/experts/map_voter.h"
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
    // The rebalancing policy in force, asked for at each decision; empty: never rebalance.
    std::function<rebalance_policy()> policy;
};

class expert_service {
public:
    // Call only once this process listens on the slot's address: that no other agent of the slot
    // runs rests on it. `store`, and what `peers` refers to, must outlive the service.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<expert_service>>
    create(const expert_service_options& options, platform::object_store& store,
           const agent_peers& peers);

    // Ends every exchange first.
    ~expert_service();
    expert_service(const expert_service&) = delete;
    expert_service& operator=(const expert_service&) = delete;

    // True for the frame types that `serve` or `note` takes.
    [[nodiscard]] static bool owns(wire::frame_type type);

    // Serves an exchange that a peer opened, on a thread of its own.
    void serve(const std::shared_ptr<wire::stream>& opened, wire::frame first);

    // Takes a frame that belongs to no stream. Other slices' frames are ignored.
    void note(const wire::frame& received);

    // Moves the group to `placement`; see `map_proposer::move_to`.
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
    std::unique_ptr<group_keeper> keeper;
    std::unique_ptr<map_proposer> proposer;
    std::unique_ptr<rebalancer> balance;
    // Last: its threads use the members above and end first.
    thread_group exchanges;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_EXPERT_SERVICE_H_
