// Reports this rank's expert load and, if this rank is the coordinator, decides on rebalancing.
//
// Every agent sends its load to the first two ranks. Rank 0 is the coordinator; rank 1 replaces it
// while it receives no reports from rank 0. If both decide at the same time, the vote commits at
// most one of their maps.
//
//     auto balance = rebalancer::create(options, engine, peers, propose).value();
//     balance->note_load(load);   // from an expert_load frame
//
// Owns the last load report of each rank. Thread-safe.

#ifndef SARDINESTREAM_EXPERTS_REBALANCER_H_
#define SARDINESTREAM_EXPERTS_REBALANCER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "sardinestream/experts/agent_peers.h"
#include "sardinestream/experts/engine_client.h"
#include "sardinestream/experts/rebalance.h"

namespace sardinestream::experts {

struct rebalancer_options {
    std::string group;
    int rank = 0;
    int ranks = 1;
    absl::Duration report_interval = absl::Seconds(1);
    // Older reports are ignored; a coordinator without a newer report is considered lost.
    absl::Duration report_lifetime = absl::Seconds(5);
    // Returns the current policy; called before each decision. If empty, the group is never
    // rebalanced.
    std::function<rebalance_policy()> policy;
};

class rebalancer {
public:
    using propose_hook = std::function<absl::StatusOr<bool>(const expert_mapT& placement)>;

    // `engine` must outlive the rebalancer.
    [[nodiscard]] static std::unique_ptr<rebalancer> create(rebalancer_options options,
                                                            engine_client& engine,
                                                            agent_peers peers,
                                                            propose_hook propose);

    ~rebalancer();
    rebalancer(const rebalancer&) = delete;
    rebalancer& operator=(const rebalancer&) = delete;

    void note_load(const expert_loadT& load);

private:
    struct report {
        expert_loadT load;
        absl::Time received;
    };

    rebalancer(rebalancer_options options, engine_client& engine, agent_peers peers,
               propose_hook propose);

    void run();
    void send_report();
    void decide();
    [[nodiscard]] bool is_coordinator() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool is_fresh(int rank) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::optional<group_load> collect() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const rebalancer_options settings;
    engine_client& engine;
    const agent_peers peers;
    const propose_hook propose;
    absl::Mutex mutex;
    std::map<int, report> reports ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread running;
};

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_REBALANCER_H_
