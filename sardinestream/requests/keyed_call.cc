#include "sardinestream/requests/keyed_call.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "sardinestream/once/outcome_rules.h"
#include "sardinestream/once/request_key.h"

namespace sardinestream::requests {
namespace {

constexpr absl::Duration same_key_retry_after = absl::Seconds(1);

// The agent incarnation that a request is bound to, and the key under which that agent records it.
struct bound_key {
    key_owner owner;
    digest128 key;
    // The value of the `Idempotency-Key` header sent to the backend server.
    std::string key_text;
};

digest128 key_of(const caller_request& request)
{
    return once::digest_of_caller_key(request.entry->owner, request.entry->service,
                                      request.idempotency_key);
}

refusal key_missing()
{
    return refuse_not_run(refusal_code::idempotency_key_required, "read_headers",
                          "an Idempotency-Key or Sardine-Ticket header is required");
}

std::variant<bound_key, refusal> read_ticket(const caller_request& request,
                                             const request_services& services)
{
    bound_key bound;
    std::variant<key_owner, refusal> owner =
        services.read_ticket(request, bound.key_text, bound.key);
    if (auto* refused = std::get_if<refusal>(&owner)) {
        return std::move(*refused);
    }
    bound.owner = std::get<key_owner>(std::move(owner));
    return bound;
}

std::variant<bound_key, refusal> bind(const caller_request& request,
                                      const request_services& services)
{
    if (!request.ticket.empty()) {
        return read_ticket(request, services);
    }
    if (request.idempotency_key.empty()) {
        return key_missing();
    }
    bound_key bound{{}, key_of(request), request.idempotency_key};
    // If no agent is available, `proposed` stays empty; an earlier binding is still found.
    key_owner proposed;
    if (std::shared_ptr<membership::peer> agent = services.choose_agent(request, {})) {
        proposed.agent_id = agent->identity().id;
        proposed.agent_incarnation = agent->identity().incarnation;
    }
    std::variant<key_owner, refusal> owner = services.bind_key(request, bound.key, proposed);
    if (auto* refused = std::get_if<refusal>(&owner)) {
        return std::move(*refused);
    }
    bound.owner = std::get<key_owner>(std::move(owner));
    return bound;
}

// Returns the earlier binding of the key, empty if there is none, or a refusal if it cannot be
// determined.
std::variant<std::optional<bound_key>, refusal> find_bound(const caller_request& request,
                                                           const request_services& services)
{
    if (!request.ticket.empty()) {
        std::variant<bound_key, refusal> bound = read_ticket(request, services);
        if (auto* refused = std::get_if<refusal>(&bound)) {
            return std::move(*refused);
        }
        return std::get<bound_key>(std::move(bound));
    }
    const digest128 key = key_of(request);
    std::variant<std::optional<key_owner>, refusal> owner = services.find_binding(key);
    if (auto* refused = std::get_if<refusal>(&owner)) {
        return std::move(*refused);
    }
    const std::optional<key_owner>& found = std::get<std::optional<key_owner>>(owner);
    if (!found.has_value()) {
        return std::nullopt;
    }
    return bound_key{*found, key, request.idempotency_key};
}

request_openT make_keyed_open(const caller_request& request, const bound_key& bound)
{
    request_openT message = make_request_open(request);
    message.key_digest = bound.key.to_hex();
    message.request_digest =
        once::digest_of_request(request.method, request.path, request.body).to_hex();
    message.agent_incarnation = bound.owner.agent_incarnation;
    if (request.idempotency_key.empty()) {
        auto passed = std::make_unique<headerT>();
        passed->name = "Idempotency-Key";
        passed->value = bound.key_text;
        message.headers.push_back(std::move(passed));
    }
    return message;
}

// Sends the request to the agent that the key is bound to. If the agent gives no answer itself, the
// outcome is unknown until the caller retries with the same key.
call_result ask_owner(const caller_request& request, const request_services& services,
                      const bound_key& bound, const request_openT& message)
{
    std::variant<std::shared_ptr<membership::peer>, refusal> agent =
        services.find_owner(bound.owner, request.deadline);
    if (auto* refused = std::get_if<refusal>(&agent)) {
        return std::move(*refused);
    }
    call_result result = fetch_whole_answer(std::get<std::shared_ptr<membership::peer>>(agent),
                                            message, request.deadline, request.caller_has_gone);
    auto* refused = std::get_if<refusal>(&result);
    if (refused == nullptr) {
        return result;
    }
    const bool said_by_agent = !refused->peer.empty();
    if (!said_by_agent) {
        return once::refusal_of_lost_agent({bound.owner.agent_id, bound.owner.agent_incarnation});
    }
    if (refused->code == refusal_code::deadline_exceeded) {
        refused->retry_after = std::max(refused->retry_after, same_key_retry_after);
    }
    return result;
}

} // namespace

call_result call_at_most_once(const caller_request& request, const request_services& services)
{
    std::variant<bound_key, refusal> found = bind(request, services);
    if (auto* refused = std::get_if<refusal>(&found)) {
        return std::move(*refused);
    }
    const bound_key& bound = std::get<bound_key>(found);
    return ask_owner(request, services, bound, make_keyed_open(request, bound));
}

call_result refuse_at_most_once(const caller_request& request, const request_services& services,
                                refusal why)
{
    if (request.first_sending || (request.ticket.empty() && request.idempotency_key.empty())) {
        return why;
    }
    std::variant<std::optional<bound_key>, refusal> found = find_bound(request, services);
    if (auto* unknown = std::get_if<refusal>(&found)) {
        why.outcome = unknown->outcome;
        return why;
    }
    const std::optional<bound_key>& bound = std::get<std::optional<bound_key>>(found);
    if (!bound.has_value()) {
        return why;
    }
    request_openT message = make_keyed_open(request, *bound);
    message.look_up_only = true;
    call_result result = ask_owner(request, services, *bound, message);
    const auto* refused = std::get_if<refusal>(&result);
    const bool never_accepted = refused != nullptr && refused->outcome == run_outcome::not_run;
    if (never_accepted) {
        return why;
    }
    return result;
}

} // namespace sardinestream::requests
