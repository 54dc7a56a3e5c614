#include "sardinestream/once/outcome_rules.h"

#include <utility>

namespace sardinestream::once {
namespace {

constexpr absl::Duration unreachable_retry_after = absl::Seconds(2);
constexpr absl::Duration store_retry_after = absl::Seconds(2);
constexpr absl::Duration busy_retry_after = absl::Seconds(1);

refusal make_refusal(refusal_code code, run_outcome outcome, absl::Duration retry_after,
                     std::string message)
{
    return {code, outcome, retry_after, std::move(message), "run_once", ""};
}

} // namespace

bound_agent_state state_of_bound_agent(const binding& bound, const bound_agent_view& view)
{
    if (view.live_incarnation.has_value()) {
        return *view.live_incarnation == bound.incarnation ? bound_agent_state::live
                                                           : bound_agent_state::gone;
    }
    return view.removed_by_platform ? bound_agent_state::gone : bound_agent_state::unreachable;
}

refusal refusal_of_bound_agent(const binding& bound, bound_agent_state state)
{
    if (state == bound_agent_state::gone) {
        refusal gone =
            make_refusal(refusal_code::bound_agent_gone, run_outcome::unknown, absl::ZeroDuration(),
                         "the agent incarnation that may have run the request no longer "
                         "exists; its outcome stays unknown");
        gone.peer = bound.agent;
        return gone;
    }
    return refusal_of_lost_agent(bound);
}

refusal refusal_of_lost_agent(const binding& bound)
{
    refusal lost = make_refusal(
        refusal_code::bound_agent_unreachable, run_outcome::unknown, unreachable_retry_after,
        "the agent of the key cannot be reached; send the same key again to "
        "learn the outcome");
    lost.peer = bound.agent;
    return lost;
}

refusal refusal_of_failed_bind(const absl::Status& failure, bool first_sending)
{
    if (absl::IsFailedPrecondition(failure)) {
        return make_refusal(refusal_code::answer_expired, run_outcome::unknown,
                            absl::ZeroDuration(), std::string(failure.message()));
    }
    refusal failed = make_refusal(refusal_code::store_unavailable,
                                  first_sending ? run_outcome::not_run : run_outcome::unknown,
                                  store_retry_after, std::string(failure.message()));
    failed.step = "bind_key";
    failed.peer = "platform";
    return failed;
}

refusal refusal_of_decision(run_decision decision)
{
    switch (decision) {
    case run_decision::key_reused:
        return make_refusal(refusal_code::key_reused, run_outcome::not_run, absl::ZeroDuration(),
                            "the key was already used for a different request");
    case run_decision::answer_expired:
        return make_refusal(refusal_code::answer_expired, run_outcome::ran, absl::ZeroDuration(),
                            "the request ran, but its answer is no longer stored");
    case run_decision::table_full:
        return make_refusal(refusal_code::overloaded, run_outcome::not_run, busy_retry_after,
                            "the agent has no room for another key");
    case run_decision::not_found:
        return make_refusal(refusal_code::overloaded, run_outcome::not_run, busy_retry_after,
                            "the agent has never accepted the key");
    default:
        return make_refusal(
            refusal_code::backend_lost, run_outcome::unknown, absl::ZeroDuration(),
            "the request was sent to the backend server; its outcome stays unknown");
    }
}

refusal refusal_of_ticket(ticket_error error)
{
    // An expired ticket may have been used while it was valid. Other invalid tickets have never
    // been accepted.
    const run_outcome outcome =
        error == ticket_error::expired ? run_outcome::unknown : run_outcome::not_run;
    refusal refused = make_refusal(refusal_code::ticket_invalid, outcome, absl::ZeroDuration(),
                                   std::string(to_string(error)));
    refused.step = "verify_ticket";
    return refused;
}

refusal refusal_of_run_end(run_end end)
{
    switch (end) {
    case run_end::not_sent:
        return make_refusal(refusal_code::backend_lost, run_outcome::not_run, busy_retry_after,
                            "the run of the same key that this request waited for ended before "
                            "it was sent to the backend server");
    case run_end::deadline:
        return make_refusal(refusal_code::deadline_exceeded, run_outcome::unknown, busy_retry_after,
                            "the run is still in progress; send the same key again");
    case run_end::cancelled:
        return make_refusal(refusal_code::cancelled, run_outcome::unknown, busy_retry_after,
                            "the run is still in progress; send the same key again");
    default:
        return refusal_of_decision(run_decision::unknown);
    }
}

} // namespace sardinestream::once
