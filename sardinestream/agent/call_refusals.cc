#include "sardinestream/agent/call_refusals.h"

namespace sardinestream::agent {

refusal make_refusal(refusal_code code, run_outcome outcome, absl::string_view step,
                     absl::string_view message, absl::Duration retry_after)
{
    refusal refused;
    refused.code = code;
    refused.outcome = outcome;
    refused.step = std::string(step);
    refused.message = std::string(message);
    refused.retry_after = retry_after;
    return refused;
}

refusal draining_refusal()
{
    return make_refusal(refusal_code::draining, run_outcome::not_run, "admit", "",
                        other_agent_retry_after);
}

refusal refusal_of(const backend_answer& answer)
{
    switch (answer.outcome) {
    case backend_outcome::not_sent:
        return make_refusal(refusal_code::no_backend_server, run_outcome::not_run, "connect",
                            answer.message, lost_backend_retry_after);
    case backend_outcome::timeout:
        return make_refusal(refusal_code::deadline_exceeded, run_outcome::unknown, "call_backend",
                            answer.message);
    case backend_outcome::cancelled:
        return make_refusal(refusal_code::cancelled, run_outcome::unknown, "call_backend",
                            answer.message);
    default:
        return make_refusal(refusal_code::backend_lost, run_outcome::unknown, "call_backend",
                            answer.message, lost_backend_retry_after);
    }
}

} // namespace sardinestream::agent
