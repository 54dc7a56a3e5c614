#include "sardinestream/requests/service_call.h"

#include <utility>

#include "sardinestream/base/metrics.h"

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
            return *std::move(refused);
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
        return *std::move(refused);
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

// Returns whom the key or the ticket binds the request to; `key` receives the key itself.
std::variant<key_owner, refusal> find_binding(const caller_request& request,
                                              const request_services& services, std::string& key)
{
    if (!request.ticket.empty()) {
        if (!services.read_ticket) {
            return refuse_not_run(refusal_code::ticket_invalid, "read_ticket", "");
        }
        return services.read_ticket(request, key);
    }
    key = request.idempotency_key;
    if (key.empty()) {
        return refuse_not_run(refusal_code::idempotency_key_required, "read_headers",
                              "Idempotency-Key or Sardine-Ticket");
    }
    if (!services.bind_key) {
        return refuse_not_run(refusal_code::store_unavailable, "bind_key", "");
    }
    // Where no agent is up, an earlier binding is still found.
    key_owner proposed;
    if (std::shared_ptr<membership::peer> agent = services.choose_agent(request, {})) {
        proposed.agent_id = agent->identity().id;
        proposed.agent_incarnation = agent->identity().incarnation;
    }
    return services.bind_key(request, proposed);
}

call_result call_at_most_once(const caller_request& request, const request_services& services)
{
    std::string key;
    std::variant<key_owner, refusal> bound = find_binding(request, services, key);
    if (auto* refused = std::get_if<refusal>(&bound)) {
        return *std::move(refused);
    }
    const key_owner& owner = std::get<key_owner>(bound);
    std::variant<std::shared_ptr<membership::peer>, refusal> agent =
        services.find_owner(owner, request.deadline);
    if (auto* refused = std::get_if<refusal>(&agent)) {
        return *std::move(refused);
    }
    request_openT message = make_request_open(request);
    message.key_digest = request.key_digest(key);
    message.request_digest = request.request_digest();
    message.agent_incarnation = owner.agent_incarnation;
    if (!request.idempotency_key.empty()) {
        return run_once(std::get<std::shared_ptr<membership::peer>>(agent), message,
                        request.deadline);
    }
    auto key_header = std::make_unique<headerT>();
    key_header->name = "Idempotency-Key";
    key_header->value = key;
    message.headers.push_back(std::move(key_header));
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
            return *std::move(refused);
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
