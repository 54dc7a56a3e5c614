// Issues engine orders from an entry to the agents, one agent of a service at a time.
//
// While one agent updates its engine to match the catalogue, the others continue to serve, and the
// weight store is not read by all of them at once. Every entry with a complete view may issue
// orders; by default the live entry with the lowest id does. If two entries issue at the same time,
// a turn may be wasted, but the result is correct: orders are idempotent, and the agent takes the
// target from its own catalogue.
//
//     auto issuer = order_issuer::create(
//         {.directory = ..., .read_catalogue = ..., .is_issuer = ...});

#ifndef SARDINESTREAM_ORDERS_ORDER_ISSUER_H_
#define SARDINESTREAM_ORDERS_ORDER_ISSUER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "sardinestream/catalogue/snapshot.h"
#include "sardinestream/membership/peer_directory.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::orders {

struct order_issuer_options {
    // Must outlive the issuer.
    const membership::peer_directory* directory = nullptr;
    std::function<std::shared_ptr<const catalogue::catalogue_snapshot>()> read_catalogue;
    // Returns whether this process issues orders at present.
    std::function<bool()> is_issuer;
    // Interval between checks of the catalogue and the agents.
    absl::Duration interval = absl::Milliseconds(500);
    // Maximum duration of one agent's turn, which may include loading a model.
    absl::Duration turn_timeout = absl::Minutes(2);
};

// Thread-safe.
class order_issuer {
public:
    [[nodiscard]] static std::unique_ptr<order_issuer> create(order_issuer_options options);

    // Waits until the turn in progress has ended or been abandoned.
    ~order_issuer();
    order_issuer(const order_issuer&) = delete;
    order_issuer& operator=(const order_issuer&) = delete;

private:
    explicit order_issuer(order_issuer_options chosen) : options(std::move(chosen)) {}

    void issue_orders();
    void issue_for_service(const std::string& service, std::uint64_t number);
    // Sends an order and waits for its result. Returns false if the agent did not apply it.
    [[nodiscard]] bool run_turn(membership::peer& agent, const std::string& service,
                                std::uint64_t number);
    [[nodiscard]] bool is_stopping() const;

    const order_issuer_options options;
    // The target that each agent incarnation has confirmed. Used by the issuing thread only.
    std::map<std::uint64_t, catalogue::engine_target> confirmed;
    mutable absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread issuing_thread;
};

} // namespace sardinestream::orders

#endif // SARDINESTREAM_ORDERS_ORDER_ISSUER_H_
