// Ranks of a group whose agents are silent: the coordinator reads and orders their engines itself,
// so that a dead agent does not stop the changes of its group's map.
//
// Not thread-safe.

#ifndef SARDINESTREAM_PROGRAMS_AGENTLESS_RANKS_H_
#define SARDINESTREAM_PROGRAMS_AGENTLESS_RANKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sardinestream/maps/engine_port.h"
#include "sardinestream/maps/map_coordinator.h"

namespace sardinestream {

class agentless_ranks {
public:
    explicit agentless_ranks(engine_connector given);

    // Reads the engine of `rank`. Nothing where it does not answer, or is not that rank of `group`.
    [[nodiscard]] std::optional<rank_state> read(int rank, const address& engine,
                                                 const std::string& group);

    // Gives an order to a rank that was read before.
    void give_order(int rank, const engine_order& order, std::uint64_t term);

    [[nodiscard]] bool has(int rank) const { return this->ranks.count(rank) != 0; }

    // The rank's agent has been heard again.
    void forget(int rank) { this->ranks.erase(rank); }
    void clear() { this->ranks.clear(); }

private:
    struct reached_rank {
        engine_port engine;
        rank_experts experts{};
        // The version that `experts` belongs to, or -1.
        std::int64_t experts_version = -1;
        prepare_record prepares;
    };

    // Reads the experts again where the map in use has changed.
    [[nodiscard]] bool refresh_experts(int rank, reached_rank& reached, std::int64_t version);

    const engine_connector connect;
    std::map<int, reached_rank> ranks;
};

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_AGENTLESS_RANKS_H_
