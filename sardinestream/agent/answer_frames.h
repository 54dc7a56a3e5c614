// Sends the frames of a response from the agent to the entry.

#ifndef SARDINESTREAM_AGENT_ANSWER_FRAMES_H_
#define SARDINESTREAM_AGENT_ANSWER_FRAMES_H_

#include "sardinestream/base/outcome.h"
#include "sardinestream/once/run_table.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::agent {

// Sends the refusal, finishes the exchange and increments the refusal metric.
void send_refusal(wire::stream& exchange, const refusal& refused);

// Sends the head, body and end frames of a plain service's response. Send errors are ignored.
void send_answer(wire::stream& exchange, const once::run_answer& answer, bool replayed);

// Sends the head frame that reports a completion as admitted.
[[nodiscard]] absl::Status send_admitted(wire::stream& exchange);

// Sends one token event.
[[nodiscard]] absl::Status send_token(wire::stream& exchange, std::uint32_t token_index,
                                      absl::string_view event_json);

// Sends the end frame of a complete response of `tokens` tokens and finishes the exchange.
void send_end(wire::stream& exchange, std::uint32_t tokens);

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_ANSWER_FRAMES_H_
