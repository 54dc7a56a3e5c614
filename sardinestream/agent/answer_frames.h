// The frames of an answer, from the agent to the entry.

#ifndef SARDINESTREAM_AGENT_ANSWER_FRAMES_H_
#define SARDINESTREAM_AGENT_ANSWER_FRAMES_H_

#include "sardinestream/base/outcome.h"
#include "sardinestream/once/run_table.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::agent {

// Sends the refusal, which ends the exchange, and counts it.
void send_refusal(wire::stream& exchange, const refusal& refused);

// Sends head, body and end of a plain service's answer.
void send_answer(wire::stream& exchange, const once::run_answer& answer, bool replayed);

// Says that a completion has been admitted.
[[nodiscard]] absl::Status send_admitted(wire::stream& exchange);

// Sends one token event.
[[nodiscard]] absl::Status send_token(wire::stream& exchange, std::uint32_t token_index,
                                      absl::string_view event_json);

// Ends a completion that is whole.
void send_end(wire::stream& exchange, std::uint32_t tokens);

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_ANSWER_FRAMES_H_
