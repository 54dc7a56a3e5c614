#include "sardinestream/requests/service_call.h"

#include <utility>

#include "sardinestream/base/metrics.h"
#include "sardinestream/once/request_key.h"

namespace sardinestream::requests {
namespace {

using call_result = std::variant<service_answer, refusal>;

constexpr int max_attempts = 3;
constexpr absl::Duration retry_when_none_is_up = absl::Seconds(1);

// Reads the whole answer of an admitted attempt.
call_result read_answer(attempt& admitted, absl::Time deadline)
{
    service_answer answer;
    answer.status = admitted.head().status;
    answer.replayed = admitted.head().replayed;
    for (const auto& passed : admitted.head().headers) {
        answer.headers.emplace_back(passed->name, passed->value);
    }
    while (true) {
        answer_part part = admitted.next(deadline);
        if (auto* chunk = std::get_if<response_chunkT>(&part)) {
            answer.body.append(chunk->data.begin(), chunk->data.end());
            continue;
        }
        if (auto* refused = std::get_if<refusal>(&part)) {
            return std::move(*refused);
        }
        if (std::holds_alternative<answer_end>(part)) {
            return answer;
        }
        refusal late;
        late.code = refusal_code::deadline_exceeded;
        late.step = "read_answer";
        late.peer = admitted.agent().identity().id;
        return late;
    }
}

call_result run_once(const std::shared_ptr<membership::peer>& agent, const request_openT& message,
                     absl::Time deadline)
{
    attempt_result started = attempt::start(agent, message, deadline);
    if (auto* refused = std::get_if<refusal>(&started)) {
        return std::move(*refused);
    }
    return read_answer(*std::get<std::unique_ptr<attempt>>(started), deadline);
}

bool may_try_again(const caller_request& request, const refusal& why, int attempts)
{
    if (attempts >= max_attempts || absl::Now() >= request.deadline) {
        return false;
    }
    switch (why.code) {
    case refusal_code::overloaded:
    case refusal_code::draining:
    case refusal_code::no_backend_server:
        return why.outcome == run_outcome::not_run;
    case refusal_code::backend_lost:
        return request.repeatable();
    default:
        return false;
    }
}

call_result call_repeatable(const caller_request& request, const request_services& services,
                            attempt_history history)
{
    std::optional<refusal> last;
    for (int attempts = 0;; ++attempts) {
        if (last.has_value() && !may_try_again(request, *last, attempts)) {
            return *std::move(last);
        }
        if (last.has_value() && services.may_retry && !services.may_retry(request)) {
            count("sardine_retries_denied_total", {{"reason", std::string(to_string(last->code))}});
            return *std::move(last);
        }
        std::shared_ptr<membership::peer> agent = services.choose_agent(request, history);
        if (agent == nullptr) {
            return last.has_value() ? *std::move(last)
                                    : refuse_not_run(refusal_code::no_backend_server,
                                                     "choose_agent", "", retry_when_none_is_up);
        }
        if (last.has_value()) {
            count("sardine_retries_total", {{"reason", std::string(to_string(last->code))}});
        }
        request_openT message = make_request_open(request);
        message.run_alone = history.run_alone;
        call_result result = run_once(agent, message, request.deadline);
        if (std::holds_alternative<service_answer>(result)) {
            return result;
        }
        last = std::get<refusal>(std::move(result));
        history.tried.insert(agent->identity().id);
        if (last->code == refusal_code::backend_lost && services.note_backend_lost) {
            services.note_backend_lost(request, agent->identity().id);
        }
    }
}

// Whom the request is bound to, and the key under which that agent records it.
struct bound_key {
    key_owner owner;
    digest128 key;
    // What the backend server gets as `Idempotency-Key`.
    std::string key_text;
};

std::variant<bound_key, refusal> find_binding(const caller_request& request,
                                              const request_services& services)
{
    bound_key bound;
    std::variant<key_owner, refusal> owner;
    if (!request.ticket.empty()) {
        owner = services.read_ticket(request, bound.key_text, bound.key);
    }
    else if (request.idempotency_key.empty()) {
        return refuse_not_run(refusal_code::idempotency_key_required, "read_headers",
                              "Idempotency-Key or Sardine-Ticket");
    }
    else {
        bound.key_text = request.idempotency_key;
        bound.key = once::digest_of_caller_key(request.entry->owner, request.entry->service,
                                               request.idempotency_key);
        // Where no agent is up, an earlier binding is still found.
        key_owner proposed;
        if (std::shared_ptr<membership::peer> agent = services.choose_agent(request, {})) {
            proposed.agent_id = agent->identity().id;
            proposed.agent_incarnation = agent->identity().incarnation;
        }
        owner = services.bind_key(request, bound.key, proposed);
    }
    if (auto* refused = std::get_if<refusal>(&owner)) {
        return std::move(*refused);
    }
    bound.owner = std::get<key_owner>(std::move(owner));
    return bound;
}

void set_header(request_openT& message, const std::string& name, const std::string& value)
{
    auto passed = std::make_unique<headerT>();
    passed->name = name;
    passed->value = value;
    message.headers.push_back(std::move(passed));
}

call_result call_at_most_once(const caller_request& request, const request_services& services)
{
    std::variant<bound_key, refusal> found = find_binding(request, services);
    if (auto* refused = std::get_if<refusal>(&found)) {
        return std::move(*refused);
    }
    const bound_key& bound = std::get<bound_key>(found);
    std::variant<std::shared_ptr<membership::peer>, refusal> agent =
        services.find_owner(bound.owner, request.deadline);
    if (auto* refused = std::get_if<refusal>(&agent)) {
        return std::move(*refused);
    }
    request_openT message = make_request_open(request);
    message.key_digest = bound.key.to_hex();
    message.request_digest =
        once::digest_of_request(request.method, request.path, request.body).to_hex();
    message.agent_incarnation = bound.owner.agent_incarnation;
    if (request.idempotency_key.empty()) {
        set_header(message, "Idempotency-Key", bound.key_text);
    }
    return run_once(std::get<std::shared_ptr<membership::peer>>(agent), message, request.deadline);
}

} // namespace

std::variant<service_answer, refusal> call_service(const caller_request& request,
                                                   const request_services& services)
{
    attempt_history history;
    if (services.check_suspect) {
        if (std::optional<refusal> refused = services.check_suspect(request, history.run_alone)) {
            return *std::move(refused);
        }
    }
    team_permit permit;
    if (services.acquire_permit) {
        std::variant<team_permit, refusal> acquired = services.acquire_permit(request);
        if (auto* refused = std::get_if<refusal>(&acquired)) {
            return std::move(*refused);
        }
        permit = std::get<team_permit>(std::move(acquired));
    }
    if (services.note_request) {
        services.note_request(request);
    }
    if (request.repeatable()) {
        return call_repeatable(request, services, std::move(history));
    }
    return call_at_most_once(request, services);
}

} // namespace sardinestream::requests
