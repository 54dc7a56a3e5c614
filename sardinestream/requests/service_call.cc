#include "sardinestream/requests/service_call.h"

#include <utility>

#include "sardinestream/base/metrics.h"
#include "sardinestream/requests/keyed_call.h"

namespace sardinestream::requests {
namespace {

constexpr int max_attempts = 3;
constexpr absl::Duration retry_when_none_is_up = absl::Seconds(1);

bool may_try_again(const caller_request& request, const refusal& why, int attempts)
{
    if (attempts >= max_attempts || has_passed(request.deadline)) {
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
        if (last.has_value() && services.try_acquire_retry &&
            !services.try_acquire_retry(request)) {
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
        call_result result =
            fetch_whole_answer(agent, message, request.deadline, request.caller_has_gone);
        if (std::holds_alternative<service_answer>(result)) {
            return result;
        }
        last = std::get<refusal>(std::move(result));
        history.tried.insert(agent->identity().id);
        if (last->code == refusal_code::backend_lost && services.record_backend_lost) {
            services.record_backend_lost(request, agent->identity().id);
        }
    }
}

} // namespace

call_result call_service(const caller_request& request, const request_services& services)
{
    const auto refuse = [&request, &services](refusal why) -> call_result {
        return request.repeatable() ? std::move(why)
                                    : refuse_at_most_once(request, services, std::move(why));
    };
    attempt_history history;
    if (services.check_suspect) {
        if (std::optional<refusal> refused = services.check_suspect(request, history.run_alone)) {
            return refuse(*std::move(refused));
        }
    }
    team_permit permit;
    if (services.acquire_permit) {
        std::variant<team_permit, refusal> acquired = services.acquire_permit(request);
        if (auto* refused = std::get_if<refusal>(&acquired)) {
            return refuse(std::move(*refused));
        }
        permit = std::get<team_permit>(std::move(acquired));
    }
    if (services.record_request) {
        services.record_request(request);
    }
    if (request.repeatable()) {
        return call_repeatable(request, services, std::move(history));
    }
    return call_at_most_once(request, services);
}

} // namespace sardinestream::requests
