#include "sardinestream/orders/order_executor.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream::orders {

using catalogue::engine_target;

std::optional<engine_target> target_of(const catalogue::catalogue_snapshot& snapshot,
                                       absl::string_view service)
{
    for (const catalogue::catalogue_entry& entry : snapshot.entries()) {
        if (entry.service == service && entry.engine.has_value()) {
            return entry.engine;
        }
    }
    return std::nullopt;
}

order_executor::order_executor(order_executor_dependencies needed) : dependencies(std::move(needed))
{
}

order_result order_executor::execute(absl::string_view service, std::uint64_t number,
                                     absl::Time deadline)
{
    const std::shared_ptr<const catalogue::catalogue_snapshot> snapshot =
        this->dependencies.wait_for_catalogue(number, deadline);
    const absl::MutexLock lock(&this->mutex);
    if (snapshot == nullptr || snapshot->number() < this->confirmed_number) {
        return {order_code::behind, this->confirmed_number};
    }
    const std::optional<engine_target> target = target_of(*snapshot, service);
    if (target.has_value() && target != this->confirmed) {
        const absl::Status status = this->apply(*target, snapshot->number(), deadline);
        if (!status.ok()) {
            count("sardine_engine_orders_total", {{"result", "error"}});
            log_failure("engine_order_failed", status, {{"number", snapshot->number()}});
            return {order_code::engine_error, this->confirmed_number};
        }
        count("sardine_engine_orders_total", {{"result", "applied"}});
        log_event("engine_order_applied", {{"service", service}, {"number", snapshot->number()}});
        this->confirmed = target;
    }
    this->confirmed_number = snapshot->number();
    return {order_code::applied, this->confirmed_number};
}

std::uint64_t order_executor::applied_number() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->confirmed_number;
}

absl::Status order_executor::apply(const engine_target& target, std::uint64_t number,
                                   absl::Time deadline)
{
    const engine_target known = this->confirmed.value_or(engine_target{});
    for (const std::string& adapter : target.adapters) {
        const bool loaded = std::find(known.adapters.begin(), known.adapters.end(), adapter) !=
                            known.adapters.end();
        if (!loaded) {
            SARDINE_RETURN_IF_ERROR(
                this->dependencies.send({"load_adapter", number, adapter}, deadline));
        }
    }
    const bool changes_version = target.version != known.version;
    const bool changes_role = target.role != known.role;
    if (!changes_version && !changes_role) {
        return absl::OkStatus();
    }
    // The model must not change during a running request.
    return this->dependencies.run_while_idle(
        [&]() -> absl::Status {
            if (changes_version) {
                SARDINE_RETURN_IF_ERROR(
                    this->dependencies.send({"load_model", number, target.version}, deadline));
                SARDINE_RETURN_IF_ERROR(
                    this->dependencies.send({"set_version", number, target.version}, deadline));
            }
            return changes_role
                       ? this->dependencies.send({"set_role", number, target.role}, deadline)
                       : absl::OkStatus();
        },
        deadline);
}

} // namespace sardinestream::orders
