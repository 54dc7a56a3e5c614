// Maps the ways in which a non-repeatable request can fail to the refusals that its caller gets.
//
// All functions are pure. The outcome in a refusal covers every sending of the key: it is `not_run`
// only if no sending of the key is known to have run or may have run.

#ifndef SARDINESTREAM_ONCE_OUTCOME_RULES_H_
#define SARDINESTREAM_ONCE_OUTCOME_RULES_H_

#include <cstdint>
#include <optional>

#include "sardinestream/base/outcome.h"
#include "sardinestream/once/key_bindings.h"
#include "sardinestream/once/run_table.h"
#include "sardinestream/once/ticket.h"

#include "absl/status/status.h"

namespace sardinestream::once {

// What an entry knows about the agent that a key is bound to.
struct bound_agent_view {
    // The incarnation that the agent's slot reports now; empty while the slot does not answer.
    std::optional<std::uint64_t> live_incarnation;
    // True if the platform's instance list was read and no longer contains the agent.
    bool removed_by_platform = false;
};

enum class bound_agent_state : std::uint8_t {
    live,        // can be asked for the outcome
    unreachable, // may still be running; ask again later
    gone         // the bound incarnation will never answer again
};

[[nodiscard]] bound_agent_state state_of_bound_agent(const binding& bound,
                                                     const bound_agent_view& view);

// Returns the refusal for a key whose agent cannot be asked. Precondition: `state` is not `live`.
[[nodiscard]] refusal refusal_of_bound_agent(const binding& bound, bound_agent_state state);

// Returns the refusal for a key that could not be bound. `first_sending` is true if the caller
// guarantees that it has never sent the key before, which means that nothing has run.
[[nodiscard]] refusal refusal_of_failed_bind(const absl::Status& failure, bool first_sending);

// Returns the refusal for a request whose agent was lost after the request was sent to it.
[[nodiscard]] refusal refusal_of_lost_agent(const binding& bound);

// Returns the refusal for a key that an agent does not run. Precondition: `decision` is none of
// `run`, `join` and `replay`.
[[nodiscard]] refusal refusal_of_decision(run_decision decision);

// Returns the refusal for a ticket that is not accepted. Precondition: `error` is not `none`.
[[nodiscard]] refusal refusal_of_ticket(ticket_error error);

// Returns the refusal for a caller that waited for the run of another caller and got no answer
// from it. Precondition: `end` is not `answered`.
[[nodiscard]] refusal refusal_of_run_end(run_end end);

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_OUTCOME_RULES_H_
