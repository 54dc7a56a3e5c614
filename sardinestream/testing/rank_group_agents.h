// A whole rank group in one process, for tests: stand-in engines, stand-in platform, and for each
// rank an agent's expert_service on real links, with faults on every link.
//
//     auto group = rank_group_agents::create({}).value();
//     ASSERT_TRUE(group->wait_until_running(deadline));
//     group->arm(0, 2, {link_fault_kind::drop, 3});
//     absl::StatusOr<bool> committed = group->move(0, some_map);
//
// Thread-safe, except that an agent must not be restarted while it is asked to move the group.

#ifndef SARDINESTREAM_TESTING_RANK_GROUP_AGENTS_H_
#define SARDINESTREAM_TESTING_RANK_GROUP_AGENTS_H_

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "sardinestream/experts/expert_service.h"
#include "sardinestream/testing/platform_standin.h"
#include "sardinestream/testing/process.h"
#include "sardinestream/testing/rank_group_http.h"

namespace sardinestream::testing {

enum class link_fault_kind : std::uint8_t {
    none,
    drop,
    delay,
    duplicate,
    lose_answer,
};

// Hits the next messages from one rank's agent to another's.
struct link_fault {
    link_fault_kind kind = link_fault_kind::none;
    int times = 1;
    absl::Duration delay = absl::Milliseconds(50);
    // Only messages of these types; all where empty.
    std::vector<wire::frame_type> only = {};
};

struct rank_group_agents_options {
    rank_group_options engines;
    experts::proposer_options proposer;
    absl::Duration engine_timeout = absl::Milliseconds(500);
};

class rank_group_agents {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<rank_group_agents>>
    create(const rank_group_agents_options& options);

    ~rank_group_agents();
    rank_group_agents(const rank_group_agents&) = delete;
    rank_group_agents& operator=(const rank_group_agents&) = delete;

    // Ends a rank's agent; what it had in memory is lost. Starting it again makes a new
    // incarnation on the same address.
    void stop_agent(int rank);
    void start_agent(int rank);

    void arm(int from_rank, int to_rank, const link_fault& fault);
    // Ends all link faults.
    void heal_links();

    // Asks the agent of `rank` to move the group.
    [[nodiscard]] absl::StatusOr<bool> move(int rank, const experts::expert_mapT& map);

    // Waits until the group runs `steps` more steps.
    [[nodiscard]] bool wait_for_steps(std::uint64_t steps, absl::Time deadline);

    [[nodiscard]] rank_group_server& server() { return *this->engines; }
    [[nodiscard]] rank_group_engines& engine_group() { return this->engines->engines(); }
    [[nodiscard]] platform_standin& platform() { return *this->store_server; }
    [[nodiscard]] experts::expert_service& agent(int rank) { return *this->agents[rank].service; }
    // A placement that differs with `seed`.
    [[nodiscard]] experts::expert_mapT make_map(std::uint64_t seed) const;

private:
    // Members end in the reverse order: links in, then the service, then links out.
    struct agent_parts {
        address local;
        std::unique_ptr<platform::object_store> store;
        std::unique_ptr<experts::link_peers> links_out;
        std::shared_ptr<experts::expert_service> service;
        std::unique_ptr<wire::link_server> links_in;
    };

    explicit rank_group_agents(const rank_group_agents_options& options);

    [[nodiscard]] experts::agent_peers faulty(const experts::agent_peers& plain, int from_rank);
    [[nodiscard]] link_fault take_fault(int from_rank, int to_rank, wire::frame_type type);
    [[nodiscard]] std::shared_ptr<wire::link_options> make_link_options(int rank,
                                                                        std::uint64_t incarnation);

    const rank_group_agents_options settings;
    std::unique_ptr<rank_group_server> engines;
    std::unique_ptr<platform_standin> store_server;
    absl::Mutex mutex;
    std::map<std::pair<int, int>, link_fault> faults ABSL_GUARDED_BY(mutex);
    // Nobody else gets an agent's port while the agent is down.
    std::vector<port_reservation> slots;
    std::vector<address> addresses;
    std::vector<agent_parts> agents;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_RANK_GROUP_AGENTS_H_
