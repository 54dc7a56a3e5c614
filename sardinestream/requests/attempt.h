// One attempt to have one agent serve a request.
//
// `attempt::start` sends the request and waits until the agent has admitted or refused it. What is
// said of the outcome follows from how far it came: nothing sent is `not_run`, an agent's refusal
// is what the agent says, and a lost link after sending is `unknown`.
//
//     attempt_result started = attempt::start(agent, message, deadline);
//     if (auto* refused = std::get_if<refusal>(&started)) { ... }

#ifndef SARDINESTREAM_REQUESTS_ATTEMPT_H_
#define SARDINESTREAM_REQUESTS_ATTEMPT_H_

#include <memory>
#include <variant>

#include "sardinestream/base/outcome.h"
#include "sardinestream/membership/peer_directory.h"
#include "sardinestream/requests/caller_request.h"
#include "sardinestream/requests/requests_generated.h"

namespace sardinestream::requests {

class attempt;
using attempt_result = std::variant<std::unique_ptr<attempt>, refusal>;

// The answer has ended as it should.
struct answer_end {
    std::uint32_t tokens = 0;
};

// Nothing came before the given time; the attempt goes on.
struct nothing_yet {};

using answer_part = std::variant<response_chunkT, answer_end, nothing_yet, refusal>;

// Owned by one thread at a time. Dropping it before the end cancels the work at the agent.
class attempt {
public:
    // Blocks until the agent answers, at most until `deadline` or until the caller has gone.
    [[nodiscard]] static attempt_result start(std::shared_ptr<membership::peer> agent,
                                              const request_openT& message, absl::Time deadline,
                                              const caller_check& caller_has_gone = nullptr);

    ~attempt();
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    // Returns the next part of the answer. A refusal is final; its outcome is `unknown` where the
    // agent did not say.
    [[nodiscard]] answer_part next(absl::Time until);

    [[nodiscard]] const response_headT& head() const { return this->admitted_head; }
    [[nodiscard]] const membership::peer& agent() const { return *this->agent_peer; }

private:
    attempt(std::shared_ptr<membership::peer> agent, std::shared_ptr<wire::stream> opened);

    [[nodiscard]] std::optional<refusal> wait_until_admitted(absl::Time deadline,
                                                             const caller_check& caller_has_gone);
    [[nodiscard]] refusal refusal_of_lost_agent(absl::string_view step,
                                                const absl::Status& why) const;
    [[nodiscard]] refusal decode_refusal(absl::string_view payload) const;

    const std::shared_ptr<membership::peer> agent_peer;
    const std::shared_ptr<wire::stream> agent_stream;
    response_headT admitted_head;
};

// How often a wait asks whether the caller is still there.
constexpr absl::Duration caller_check_interval = absl::Milliseconds(20);

// The end of a request whose caller has gone; nobody reads it.
[[nodiscard]] refusal refusal_of_gone_caller(absl::string_view step);

// Returns the message for `request`. `remaining_ms` is filled at the time of the call.
[[nodiscard]] request_openT make_request_open(const caller_request& request);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_ATTEMPT_H_
