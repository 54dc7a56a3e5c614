#include "sardinestream/entry/key_router.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/once/outcome_rules.h"

namespace sardinestream::entry {
namespace {

using membership::peer;
using requests::caller_request;
using requests::key_owner;

constexpr absl::Duration ticket_lifetime = absl::Hours(1);
constexpr int ticket_random_bytes = 16;
// Maximum wait for a bound agent whose link is being re-established.
constexpr absl::Duration reconnect_wait = absl::Milliseconds(500);

once::binding to_binding(const key_owner& owner)
{
    return {owner.agent_id, owner.agent_incarnation};
}

} // namespace

absl::StatusOr<std::unique_ptr<key_router>>
key_router::create(platform::object_store* store, const membership::peer_directory* directory,
                   absl::string_view fleet_key,
                   std::function<bool(const std::string& agent_id)> is_removed)
{
    absl::StatusOr<once::ticket_signer> signer = once::ticket_signer::create(fleet_key);
    if (!signer.ok()) {
        return signer.status();
    }
    return std::unique_ptr<key_router>(
        new key_router(store, directory, *std::move(signer), std::move(is_removed)));
}

key_router::key_router(platform::object_store* store, const membership::peer_directory* known,
                       once::ticket_signer ticket_signer,
                       std::function<bool(const std::string& agent_id)> removed)
    : directory(known), signer(std::move(ticket_signer)), is_removed(std::move(removed)),
      bindings(once::key_bindings::create(store))
{
}

void key_router::install_hooks(requests::request_services& services)
{
    services.bind_key = [this](const caller_request& request, digest128 key,
                               const key_owner& proposed) {
        return this->bind(request, key, proposed);
    };
    services.find_binding = [this](digest128 key) { return this->find(key); };
    services.read_ticket = [this](const caller_request& request, std::string& key_text,
                                  digest128& key) {
        return this->read_ticket(request, key_text, key);
    };
    services.make_ticket = [this](const caller_request& request, const peer& agent) {
        return this->make_ticket(request, agent);
    };
    services.find_owner = [this](const key_owner& owner, steady_deadline deadline) {
        return this->find_owner(owner, deadline);
    };
}

std::variant<key_owner, refusal> key_router::bind(const caller_request& request, digest128 key,
                                                  const key_owner& proposed)
{
    absl::StatusOr<once::binding> bound =
        proposed.agent_id.empty()
            ? this->bindings->find(key)
            : this->bindings->bind(key, to_binding(proposed), to_time_of_day(request.deadline));
    if (bound.ok()) {
        return key_owner{bound->agent, bound->incarnation};
    }
    if (proposed.agent_id.empty() && absl::IsNotFound(bound.status())) {
        return requests::refuse_not_run(refusal_code::no_backend_server, "choose_agent", "",
                                        absl::Seconds(1));
    }
    return once::refusal_of_failed_bind(bound.status(), request.first_sending);
}

std::variant<std::optional<key_owner>, refusal> key_router::find(digest128 key)
{
    const absl::StatusOr<once::binding> bound = this->bindings->find(key);
    if (bound.ok()) {
        return key_owner{bound->agent, bound->incarnation};
    }
    if (absl::IsNotFound(bound.status())) {
        return std::nullopt;
    }
    return once::refusal_of_failed_bind(bound.status(), false);
}

std::variant<key_owner, refusal> key_router::read_ticket(const caller_request& request,
                                                         std::string& key_text, digest128& key)
{
    const once::ticket_check checked = this->signer.verify(request.ticket, request.entry->owner,
                                                           request.entry->service, absl::Now());
    if (checked.error != once::ticket_error::none) {
        count("sardine_tickets_refused_total",
              {{"reason", std::string(once::to_string(checked.error))}});
        return once::refusal_of_ticket(checked.error);
    }
    key_text = checked.content.random;
    key = checked.content.key();
    return key_owner{checked.content.agent, checked.content.incarnation};
}

std::string key_router::make_ticket(const caller_request& request, const peer& agent)
{
    once::ticket issued;
    issued.agent = agent.identity().id;
    issued.incarnation = agent.identity().incarnation;
    absl::StatusOr<address> reachable = parse_address(agent.identity().address);
    issued.agent_address = reachable.ok() ? *reachable : address{};
    issued.team = request.entry->owner;
    issued.service = request.entry->service;
    issued.random = random_hex(ticket_random_bytes);
    issued.expiry = absl::Now() + ticket_lifetime;
    return this->signer.issue(issued);
}

std::variant<std::shared_ptr<peer>, refusal> key_router::find_owner(const key_owner& owner,
                                                                    steady_deadline deadline)
{
    std::shared_ptr<peer> agent = this->directory->wait_for(
        owner.agent_id, absl::Now() + std::min(time_left(deadline), reconnect_wait));
    if (agent != nullptr) {
        // Its hello may be outdated, so the agent itself checks that it is still the bound
        // incarnation.
        return agent;
    }
    once::bound_agent_view view;
    view.removed_by_platform = this->is_removed(owner.agent_id);
    return once::refusal_of_bound_agent(to_binding(owner),
                                        once::state_of_bound_agent(to_binding(owner), view));
}

} // namespace sardinestream::entry
