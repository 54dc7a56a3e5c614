// Calls the engines of ranks whose agents do not respond: the coordinator reads these engines and
// sends them orders directly, so that a failed agent does not block map changes in its group.
//
// Not thread-safe.

#ifndef SARDINESTREAM_PROGRAMS_AGENTLESS_RANKS_H_
#define SARDINESTREAM_PROGRAMS_AGENTLESS_RANKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "sardinestream/maps/engine_interface.h"
#include "sardinestream/maps/map_coordinator.h"

namespace sardinestream {

class agentless_ranks {
public:
    explicit agentless_ranks(engine_connector connector);

    // Reads the state of `rank` from its engine. Returns no value if the engine does not answer, or
    // is not that rank of `group`.
    [[nodiscard]] std::optional<rank_state> read(int rank, const address& engine,
                                                 const std::string& group);

    // Sends an order to the engine of `rank`; does nothing if the rank has not been read before.
    void give_order(int rank, const engine_order& order, std::uint64_t term);

    [[nodiscard]] bool has(int rank) const { return this->ranks.count(rank) != 0; }

    // Returns true if the latest read of `rank` got its state.
    [[nodiscard]] bool answers(int rank) const;
    // Returns when `rank` was read last, or the clock's origin if it has not been read.
    [[nodiscard]] steady_time last_read(int rank) const;

    // Removes a rank whose agent responds again.
    void forget(int rank) { this->ranks.erase(rank); }
    void clear() { this->ranks.clear(); }

private:
    struct reached_rank {
        explicit reached_rank(engine_interface connected) : engine(std::move(connected)) {}

        engine_interface engine;
        rank_experts experts{};
        // The map version of `experts`; -1 until they have been read once.
        std::int64_t experts_version = -1;
        prepare_record prepares;
        steady_time last_read{};
        bool answers = false;
    };

    // Reads the experts if the map in use has changed. Returns false if that fails.
    [[nodiscard]] bool refresh_experts(int rank, reached_rank& reached, std::int64_t version);

    const engine_connector connect;
    std::map<int, reached_rank> ranks;
};

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_AGENTLESS_RANKS_H_
