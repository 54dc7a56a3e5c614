#include "sardinestream/requests/whole_answer.h"

#include <utility>

namespace sardinestream::requests {
namespace {

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

} // namespace

call_result fetch_whole_answer(const std::shared_ptr<membership::peer>& agent,
                               const request_openT& message, absl::Time deadline)
{
    attempt_result started = attempt::start(agent, message, deadline);
    if (auto* refused = std::get_if<refusal>(&started)) {
        return std::move(*refused);
    }
    return read_answer(*std::get<std::unique_ptr<attempt>>(started), deadline);
}

} // namespace sardinestream::requests
