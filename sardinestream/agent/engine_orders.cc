#include "sardinestream/agent/engine_orders.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/orders/orders_generated.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::agent {
namespace {

constexpr absl::Duration order_timeout = absl::Minutes(2);
constexpr int http_ok = 200;

absl::Status send_to_engine(backend_client& engine, const orders::engine_call& call,
                            absl::Time deadline)
{
    backend_request request;
    request.method = "POST";
    request.path = absl::StrCat("/orders/", call.name);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = nlohmann::json({{"fencing", call.fencing_number}, {"value", call.value}}).dump();
    request.deadline = deadline;
    const backend_answer answer = engine.call(
        request, nullptr, [](const std::function<void()>&) {}, [] { return false; });
    if (answer.outcome == backend_outcome::complete && answer.status == http_ok) {
        return absl::OkStatus();
    }
    return make_error(absl::StatusCode::kUnavailable, call.name, engine.server().to_string(),
                      absl::StrCat("status ", answer.status, " ", answer.message));
}

// Runs `change` while no request runs on the engine, with the exclusive admission that a suspected
// crash request also uses.
absl::Status change_while_idle(routing::admission_controller& admission,
                               const std::function<absl::Status()>& change, absl::Time deadline)
{
    routing::admission_request exclusive_request;
    exclusive_request.priority = catalogue::priority_class::reserved;
    exclusive_request.remaining_time = deadline - absl::Now();
    exclusive_request.exclusive = true;
    routing::admission_result admitted = admission.admit(exclusive_request);
    if (!admitted.ok()) {
        return make_error(absl::StatusCode::kUnavailable, "wait_until_idle", "",
                          to_string(admitted.refusal_reason().code));
    }
    return change();
}

orders::order_executor_dependencies make_dependencies(catalogue::catalogue_state* state,
                                                      backend_client* engine,
                                                      routing::admission_controller* admission)
{
    orders::order_executor_dependencies dependencies;
    dependencies.wait_for_catalogue = [state](std::uint64_t number, absl::Time deadline) {
        return state->wait_until_number(number, deadline) ? state->current() : nullptr;
    };
    dependencies.send = [engine](const orders::engine_call& call, absl::Time deadline) {
        return send_to_engine(*engine, call, deadline);
    };
    dependencies.run_while_idle = [admission](const std::function<absl::Status()>& change,
                                              absl::Time deadline) {
        return change_while_idle(*admission, change, deadline);
    };
    return dependencies;
}

} // namespace

engine_orders::engine_orders(catalogue::catalogue_state* state, backend_client* engine,
                             routing::admission_controller* admission)
    : executor(make_dependencies(state, engine, admission))
{
}

void engine_orders::serve(const std::shared_ptr<wire::stream>& exchange, const wire::frame& first)
{
    absl::StatusOr<orders::engine_orderT> order = wire::decode<orders::engine_order>(first.payload);
    if (!order.ok()) {
        return;
    }
    // If no thread can be started, dropping the exchange makes the entry retry.
    (void)this->threads.spawn(
        [this, exchange, service = order->service, number = order->catalogue_number] {
            this->answer(*exchange, service, number);
        });
}

void engine_orders::answer(wire::stream& exchange, const std::string& service, std::uint64_t number)
{
    const orders::order_result result =
        this->executor.execute(service, number, absl::Now() + order_timeout);
    orders::engine_order_resultT message;
    message.code = static_cast<std::uint8_t>(result.code);
    message.applied_number = result.applied_number;
    exchange
        .send(wire::frame_type::engine_order_result,
              wire::encode<orders::engine_order_result>(message))
        .IgnoreError();
    exchange.finish();
}

} // namespace sardinestream::agent
