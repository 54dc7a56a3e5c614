#include "sardinestream/orders/order_issuer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/orders/order_executor.h"
#include "sardinestream/orders/orders_generated.h"

namespace sardinestream::orders {
namespace {

// While waiting for an agent, the interval between checks whether the process is stopping.
constexpr absl::Duration stop_check_interval = absl::Milliseconds(200);

} // namespace

std::unique_ptr<order_issuer> order_issuer::create(order_issuer_options options)
{
    std::unique_ptr<order_issuer> issuer(new order_issuer(std::move(options)));
    issuer->issuing_thread = std::thread([running = issuer.get()] { running->issue_orders(); });
    return issuer;
}

order_issuer::~order_issuer()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->issuing_thread.join();
}

bool order_issuer::is_stopping() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->stopping;
}

void order_issuer::issue_orders()
{
    while (true) {
        {
            const absl::MutexLock lock(&this->mutex);
            if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                             this->options.interval)) {
                return;
            }
        }
        const auto snapshot = this->options.read_catalogue();
        if (snapshot == nullptr || !this->options.is_issuer()) {
            continue;
        }
        std::set<std::string> services;
        for (const catalogue::catalogue_entry& entry : snapshot->entries()) {
            if (entry.engine.has_value()) {
                services.insert(entry.service);
            }
        }
        for (const std::string& service : services) {
            this->issue_for_service(service, snapshot->number());
        }
    }
}

void order_issuer::issue_for_service(const std::string& service, std::uint64_t number)
{
    const auto snapshot = this->options.read_catalogue();
    const std::optional<catalogue::engine_target> target = target_of(*snapshot, service);
    if (!target.has_value()) {
        return;
    }
    for (const std::shared_ptr<membership::peer>& agent :
         this->options.directory->serving(service)) {
        if (!agent->usable() || this->is_stopping()) {
            continue;
        }
        auto known = this->confirmed.find(agent->identity().incarnation);
        if (known != this->confirmed.end() && known->second == *target) {
            continue;
        }
        if (this->run_turn(*agent, service, number)) {
            this->confirmed[agent->identity().incarnation] = *target;
        }
    }
}

bool order_issuer::run_turn(membership::peer& agent, const std::string& service,
                            std::uint64_t number)
{
    engine_orderT order;
    order.service = service;
    order.catalogue_number = number;
    std::shared_ptr<wire::stream> exchange = agent.link->open_stream();
    if (!exchange->send(wire::frame_type::engine_order, wire::encode<engine_order>(order)).ok()) {
        return false;
    }
    const absl::Time deadline = absl::Now() + this->options.turn_timeout;
    while (absl::Now() < deadline && !this->is_stopping()) {
        absl::StatusOr<wire::frame> answer =
            exchange->receive(std::min(deadline, absl::Now() + stop_check_interval));
        if (absl::IsDeadlineExceeded(answer.status())) {
            continue;
        }
        if (!answer.ok()) {
            return false;
        }
        exchange->finish();
        absl::StatusOr<engine_order_resultT> result =
            wire::decode<engine_order_result>(answer->payload);
        const bool applied =
            result.ok() && result->code == static_cast<std::uint8_t>(order_code::applied);
        log_event("engine_turn", {{"agent", agent.identity().id},
                                  {"service", service},
                                  {"number", number},
                                  {"applied", applied ? "true" : "false"}});
        return applied;
    }
    return false;
}

} // namespace sardinestream::orders
