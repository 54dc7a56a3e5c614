// What an agent asks of an engine and orders it to do. The platform's adapter provides it.

#ifndef SARDINESTREAM_MAPS_ENGINE_PORT_H_
#define SARDINESTREAM_MAPS_ENGINE_PORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sardinestream/base/settings.h"
#include "sardinestream/maps/expert_map.h"
#include "sardinestream/maps/map_switch.h"

#include "absl/status/statusor.h"

namespace sardinestream {

struct engine_report {
    int running = 0;
    int waiting = 0;
    // Time of a step against that of a sound server.
    double slowness = 1;
    // Empty where the engine belongs to no group.
    std::string group;
    int group_size = 0;
    int rank = 0;
    // The group is forming, or has lost a rank.
    bool broken = false;
    rank_report maps;
};

struct engine_order {
    order_kind kind = order_kind::prepare;
    std::int64_t epoch = 0;
    std::int64_t version = 0;
    std::int64_t step = 0;
    // Of a prepare order: the whole group's map.
    expert_map map;
};

// A map and the version under which engines know it.
struct versioned_map {
    std::int64_t version = 0;
    expert_map map;
};

// `no_answer`: the order may have been carried out, or may be seconds from now.
enum class order_outcome { accepted, refused, no_answer };

// The newest versions that an engine took, or refused, to prepare.
struct prepare_record {
    std::int64_t accepted = 0;
    std::int64_t refused = 0;

    // Takes what became of an order; orders of other kinds, and those without an answer, change
    // nothing.
    void note(const engine_order& order, order_outcome outcome)
    {
        if (order.kind != order_kind::prepare || outcome == order_outcome::no_answer) {
            return;
        }
        (outcome == order_outcome::accepted ? this->accepted : this->refused) = order.version;
    }
};

// Calls to one engine. Belongs to one thread.
struct engine_port {
    std::function<absl::StatusOr<engine_report>()> read_report;
    // How often this rank's requests chose each expert since it started, set by set.
    std::function<absl::StatusOr<std::vector<std::int64_t>>()> read_counts;
    // The experts that the rank holds of the map in use.
    std::function<absl::StatusOr<rank_experts>()> read_experts;
    std::function<order_outcome(const engine_order&)> give_order;
};

using engine_connector = std::function<engine_port(const address& engine)>;

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_ENGINE_PORT_H_
