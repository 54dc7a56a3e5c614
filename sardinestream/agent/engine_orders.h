// Executes engine orders that entries send, using this agent's engine, catalogue and admission.

#ifndef SARDINESTREAM_AGENT_ENGINE_ORDERS_H_
#define SARDINESTREAM_AGENT_ENGINE_ORDERS_H_

#include <memory>

#include "sardinestream/agent/backend_client.h"
#include "sardinestream/base/thread_group.h"
#include "sardinestream/catalogue/catalogue_state.h"
#include "sardinestream/orders/order_executor.h"
#include "sardinestream/routing/admission.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::agent {

// Thread-safe.
class engine_orders {
public:
    // All three arguments must outlive this object.
    engine_orders(catalogue::catalogue_state* state, backend_client* engine,
                  routing::admission_controller* admission);

    // Executes an `engine_order` frame on its own thread and sends the result.
    void serve(const std::shared_ptr<wire::stream>& exchange, const wire::frame& first);

    [[nodiscard]] std::uint64_t applied_number() const { return this->executor.applied_number(); }

private:
    void answer(wire::stream& exchange, const std::string& service, std::uint64_t number);

    orders::order_executor executor;
    thread_group threads; // declared last, so that it is destroyed first
};

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_ENGINE_ORDERS_H_
