// The refusals that an agent answers: code, outcome, and when the caller may try again.

#ifndef SARDINESTREAM_AGENT_CALL_REFUSALS_H_
#define SARDINESTREAM_AGENT_CALL_REFUSALS_H_

#include <string>

#include "sardinestream/agent/backend_client.h"
#include "sardinestream/base/outcome.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace sardinestream::agent {

constexpr absl::Duration other_agent_retry_after = absl::Milliseconds(100);
constexpr absl::Duration lost_backend_retry_after = absl::Seconds(1);

[[nodiscard]] refusal make_refusal(refusal_code code, run_outcome outcome, absl::string_view step,
                                   absl::string_view message,
                                   absl::Duration retry_after = absl::ZeroDuration());

// Returns the refusal for new work while the agent drains.
[[nodiscard]] refusal draining_refusal();

// Returns the refusal for a call that ended without a response.
[[nodiscard]] refusal refusal_of(const backend_answer& answer);

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_CALL_REFUSALS_H_
