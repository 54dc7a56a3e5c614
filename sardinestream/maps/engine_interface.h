// Interface through which an agent reads the state of a model engine and sends it orders. The
// platform's adapter implements it.

#ifndef SARDINESTREAM_MAPS_ENGINE_INTERFACE_H_
#define SARDINESTREAM_MAPS_ENGINE_INTERFACE_H_

#include <algorithm>
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
    // Requests that run, and that wait in the engine's queue.
    int running = 0;
    int waiting = 0;
    // Duration of a step relative to that of a healthy server.
    double slowness = 1;
    // Empty if the engine belongs to no group.
    std::string group;
    int group_size = 0;
    int rank = 0;
    // True while the group is forming, and after it has lost a rank.
    bool broken = false;
    rank_report map_report;
};

struct engine_order {
    order_kind kind = order_kind::prepare;
    std::int64_t epoch = 0;
    std::int64_t version = 0;
    std::int64_t step = 0;
    // Set in prepare orders only: the map of the whole group.
    expert_map map;
};

// A map and the version by which engines identify it.
struct versioned_map {
    std::int64_t version = 0;
    expert_map map;
};

// Result of sending an order. After `no_answer` the order may have been executed already, or may
// still be executed seconds later.
enum class order_outcome { accepted, refused, no_answer };

// The newest versions that an engine accepted and refused to prepare, and the highest that was sent
// to it.
struct prepare_record {
    std::int64_t accepted = 0;
    std::int64_t refused = 0;
    // Includes orders without an answer: the engine may still carry them out.
    std::int64_t sent = 0;

    // Records the outcome of a prepare order. Ignores orders of other kinds.
    void record_outcome(const engine_order& order, order_outcome outcome)
    {
        if (order.kind != order_kind::prepare) {
            return;
        }
        this->sent = std::max(this->sent, order.version);
        if (outcome != order_outcome::no_answer) {
            (outcome == order_outcome::accepted ? this->accepted : this->refused) = order.version;
        }
    }

    // Returns the highest version that the engine may have prepared, or may still prepare.
    [[nodiscard]] std::int64_t newest() const
    {
        return std::max({this->accepted, this->refused, this->sent});
    }
};

// Calls to one engine. Not thread-safe; use it from a single thread.
struct engine_interface {
    std::function<absl::StatusOr<engine_report>()> read_report;
    // How often each expert was selected by this rank's requests since the rank started, ordered by
    // set.
    std::function<absl::StatusOr<std::vector<std::int64_t>>()> read_counts;
    // The experts that the rank holds under the map in use.
    std::function<absl::StatusOr<rank_experts>()> read_experts;
    std::function<order_outcome(const engine_order&)> send_order;
};

using engine_connector = std::function<engine_interface(const address& engine)>;

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_ENGINE_INTERFACE_H_
