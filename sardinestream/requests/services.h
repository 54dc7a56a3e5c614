// Declares the hooks through which the request path uses routing, limits and the other parts of an
// entry.
//
// The entry program sets the hooks; tests set plain functions instead. `acquire_permit`,
// `try_acquire_retry`, `check_suspect` and the `record_...` hooks may be empty; then there is no
// limit on requests, none on retries, no check, and nothing is recorded.

#ifndef SARDINESTREAM_REQUESTS_SERVICES_H_
#define SARDINESTREAM_REQUESTS_SERVICES_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "sardinestream/base/digest128.h"
#include "sardinestream/base/steady_deadline.h"
#include "sardinestream/membership/peer_directory.h"
#include "sardinestream/requests/caller_request.h"

namespace sardinestream::requests {

// Held while a request counts against the limits of its team; destroying it releases the share.
using team_permit = std::shared_ptr<void>;

// The only agent incarnation that may run the request of a key.
struct key_owner {
    std::string agent_id;
    std::uint64_t agent_incarnation = 0;
};

// The attempts of a request so far, used to choose the next agent.
struct attempt_history {
    // Agents that have failed or refused this request.
    std::set<std::string> tried;
    // Length of the text that the next agent must process again to resume a completion.
    std::size_t resumed_bytes = 0;
    bool run_alone = false;
};

struct request_services {
    std::function<std::variant<team_permit, refusal>(const caller_request&)> acquire_permit;
    // Returns the agent for the next attempt, or null if no agent can take it.
    std::function<std::shared_ptr<membership::peer>(const caller_request&, const attempt_history&)>
        choose_agent;
    // Takes one retry from the retry budget. Returns false if the budget is exhausted.
    std::function<bool(const caller_request&)> try_acquire_retry;
    // Called once for every request, before its first attempt; the retry budget grows with each
    // call.
    std::function<void(const caller_request&)> record_request;
    // Binds the key of the caller to the agent incarnation `proposed`. Returns the binding in
    // force, which may be an earlier one, or a refusal if there is none.
    std::function<std::variant<key_owner, refusal>(const caller_request&, digest128 key,
                                                   const key_owner& proposed)>
        bind_key;
    // Returns the agent incarnation that the key is bound to, empty if it has no binding, or a
    // refusal if the binding cannot be determined.
    std::function<std::variant<std::optional<key_owner>, refusal>(digest128 key)> find_binding;
    // Returns the agent incarnation that the ticket names, or a refusal if the ticket is not valid.
    // `key_text` and `key` receive the key of the ticket.
    std::function<std::variant<key_owner, refusal>(const caller_request&, std::string& key_text,
                                                   digest128& key)>
        read_ticket;
    // Returns a ticket that names the given agent.
    std::function<std::string(const caller_request&, const membership::peer&)> make_ticket;
    // Finds the agent that a key is bound to. If it is gone or cannot be reached, returns a refusal
    // whose outcome is `unknown`.
    std::function<std::variant<std::shared_ptr<membership::peer>, refusal>(
        const key_owner&, steady_deadline deadline)>
        find_owner;
    // Refuses a request whose fingerprint has crashed too many backend servers; sets `run_alone`.
    std::function<std::optional<refusal>(const caller_request&, bool& run_alone)> check_suspect;
    // Called when an attempt ended because the backend server was lost.
    std::function<void(const caller_request&, const std::string& agent_id)> record_backend_lost;
    // Called when an attempt ended successfully.
    std::function<void(const caller_request&, const membership::peer&, absl::Duration first_part,
                       absl::Duration total, std::uint32_t tokens)>
        record_completed;
};

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_SERVICES_H_
