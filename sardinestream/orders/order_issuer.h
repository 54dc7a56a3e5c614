// The entry's side of engine orders: gives the agents their turns.
//
// One agent of a service at a time brings its engine to the catalogue, so that the others go on
// serving and the weight store is not asked by all at once. Every entry with a complete view may
// issue; by default the live entry with the lowest id does. Two that issue at once cost a turn,
// never correctness: orders are idempotent, and the agent takes the target from its own catalogue.
//
//     auto issuer = order_issuer::create({.directory = ..., .current = ..., .is_issuer = ...});

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
    std::function<std::shared_ptr<const catalogue::catalogue_snapshot>()> current;
    // Whether this process issues now.
    std::function<bool()> is_issuer;
    // Between two looks at catalogue and agents.
    absl::Duration interval = absl::Milliseconds(500);
    // How long one agent may take for its turn: a model has to be loaded.
    absl::Duration turn = absl::Minutes(2);
};

// Thread-safe.
class order_issuer {
public:
    [[nodiscard]] static std::unique_ptr<order_issuer> create(order_issuer_options options);

    // Waits for the turn that is in progress to end or be given up.
    ~order_issuer();
    order_issuer(const order_issuer&) = delete;
    order_issuer& operator=(const order_issuer&) = delete;

private:
    explicit order_issuer(order_issuer_options given) : options(std::move(given)) {}

    void issue_orders();
    void issue_for_service(const std::string& service, std::uint64_t number);
    // Returns false where the agent did not take its turn.
    [[nodiscard]] bool give_turn(membership::peer& agent, const std::string& service,
                                 std::uint64_t number);
    [[nodiscard]] bool is_stopping() const;

    const order_issuer_options options;
    // The content that each agent incarnation has confirmed, by incarnation. Issuing thread only.
    std::map<std::uint64_t, catalogue::engine_target> confirmed;
    mutable absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread issuing;
};

} // namespace sardinestream::orders

#endif // SARDINESTREAM_ORDERS_ORDER_ISSUER_H_
