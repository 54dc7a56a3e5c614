#include "sardinestream/requests/whole_answer.h"

#include <algorithm>
#include <utility>

namespace sardinestream::requests {
namespace {

// Reads the complete answer of an admitted attempt.
call_result read_answer(attempt& admitted, steady_deadline deadline,
                        const caller_check& caller_has_gone)
{
    service_answer answer;
    answer.status = admitted.head().status;
    answer.replayed = admitted.head().replayed;
    for (const auto& passed : admitted.head().headers) {
        answer.headers.emplace_back(passed->name, passed->value);
    }
    while (true) {
        answer_part part =
            admitted.next(absl::Now() + std::min(time_left(deadline), caller_check_interval));
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
        if (caller_has_gone && caller_has_gone()) {
            return refusal_of_gone_caller("read_answer");
        }
        if (!has_passed(deadline)) {
            continue;
        }
        refusal late;
        late.code = refusal_code::deadline_exceeded;
        late.step = "read_answer";
        late.peer = admitted.agent().identity().id;
        return late;
    }
}

} // namespace

call_result fetch_whole_answer(const std::shared_ptr<membership::peer>& agent,
                               const request_openT& message, steady_deadline deadline,
                               const caller_check& caller_has_gone)
{
    attempt_result started = attempt::start(agent, message, deadline, caller_has_gone);
    if (auto* refused = std::get_if<refusal>(&started)) {
        return std::move(*refused);
    }
    return read_answer(*std::get<std::unique_ptr<attempt>>(started), deadline, caller_has_gone);
}

} // namespace sardinestream::requests
