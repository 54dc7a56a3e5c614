// What a caller of a non-repeatable request is told when its request was not answered.
//
// Pure functions. The outcome speaks of the key, over all of its sendings: a refusal says `not_run`
// only where it is known that no sending of the key has run.

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

// What an entry knows of the agent that a key is bound to.
struct bound_agent_view {
    // The incarnation under which the agent's slot answers now; nothing while it does not answer.
    std::optional<std::uint64_t> live_incarnation;
    // The platform's instance list was read and no longer has the agent.
    bool removed_by_platform = false;
};

enum class bound_agent_state : std::uint8_t {
    live,        // may be asked
    unreachable, // may still be running; ask again later
    gone         // the bound incarnation can never answer again
};

[[nodiscard]] bound_agent_state state_of_bound_agent(const binding& bound,
                                                     const bound_agent_view& view);

// The refusal for a key whose agent cannot be asked. Precondition: `state` is not `live`.
[[nodiscard]] refusal refusal_of_bound_agent(const binding& bound, bound_agent_state state);

// The refusal for a key that could not be bound. `first_sending` is true where the caller vouches
// that it has never sent the key before: then nothing has run.
[[nodiscard]] refusal refusal_of_failed_bind(const absl::Status& failure, bool first_sending);

// The refusal for a request whose agent was lost after the request was handed to it.
[[nodiscard]] refusal refusal_of_lost_agent(const binding& bound);

// The refusal for a key that an agent will not run. Precondition: `decision` is neither `run`,
// `join` nor `replay`.
[[nodiscard]] refusal refusal_of_decision(run_decision decision);

// The refusal for a ticket that is not accepted. Precondition: `error` is not `none`.
[[nodiscard]] refusal refusal_of_ticket(ticket_error error);

// The refusal for a caller that waited for a run which gave it no answer.
// Precondition: `end` is not `answered`.
[[nodiscard]] refusal refusal_of_run_end(run_end end);

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_OUTCOME_RULES_H_
