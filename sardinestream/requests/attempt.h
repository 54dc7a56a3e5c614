// Makes one attempt to have one agent serve a request.
//
// `attempt::start` sends the request and blocks until the agent has admitted or refused it. The
// outcome in a refusal depends on how far the attempt got: `not_run` if nothing was sent, the
// outcome that the agent reports if the agent refuses, and `unknown` if the link is lost after
// sending.
//
//     attempt_result started = attempt::start(agent, message, deadline);
//     if (auto* refused = std::get_if<refusal>(&started)) { ... }

#ifndef SARDINESTREAM_REQUESTS_ATTEMPT_H_
#define SARDINESTREAM_REQUESTS_ATTEMPT_H_

#include <memory>
#include <variant>

#include "sardinestream/base/outcome.h"
#include "sardinestream/base/steady_deadline.h"
#include "sardinestream/membership/peer_directory.h"
#include "sardinestream/requests/caller_request.h"
#include "sardinestream/requests/requests_generated.h"

namespace sardinestream::requests {

class attempt;
using attempt_result = std::variant<std::unique_ptr<attempt>, refusal>;

// The answer is complete.
struct answer_end {
    std::uint32_t tokens = 0;
};

// No part of the answer arrived before the given time; the attempt continues.
struct nothing_yet {};

using answer_part = std::variant<response_chunkT, answer_end, nothing_yet, refusal>;

// Used by one thread at a time. Destroying it before the end of the answer cancels the work on the
// agent.
class attempt {
public:
    // Blocks until the agent admits or refuses the request, `deadline` passes, or the caller
    // disconnects.
    [[nodiscard]] static attempt_result start(std::shared_ptr<membership::peer> agent,
                                              const request_openT& message,
                                              steady_deadline deadline,
                                              const caller_check& caller_has_gone = nullptr);

    ~attempt();
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    // Returns the next part of the answer, or `nothing_yet` if none arrives before `until`. A
    // refusal is final; its outcome is `unknown` if the agent reported none.
    [[nodiscard]] answer_part next(absl::Time until);

    [[nodiscard]] const response_headT& head() const { return this->admitted_head; }
    [[nodiscard]] const membership::peer& agent() const { return *this->agent_peer; }

private:
    attempt(std::shared_ptr<membership::peer> agent, std::shared_ptr<wire::stream> opened);

    [[nodiscard]] std::optional<refusal> wait_until_admitted(steady_deadline deadline,
                                                             const caller_check& caller_has_gone);
    [[nodiscard]] refusal refusal_of_lost_agent(absl::string_view step,
                                                const absl::Status& why) const;
    [[nodiscard]] refusal decode_refusal(absl::string_view payload) const;

    const std::shared_ptr<membership::peer> agent_peer;
    const std::shared_ptr<wire::stream> agent_stream;
    response_headT admitted_head;
};

// Interval at which a wait checks whether the caller has disconnected.
constexpr absl::Duration caller_check_interval = absl::Milliseconds(20);

// Returns the refusal of a request whose caller has disconnected. No caller receives it.
[[nodiscard]] refusal refusal_of_gone_caller(absl::string_view step);

// Returns the message that opens `request` at an agent. `remaining_ms` is the time left until the
// deadline at the time of the call.
[[nodiscard]] request_openT make_request_open(const caller_request& request);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_ATTEMPT_H_
