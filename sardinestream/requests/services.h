// What the request path asks of other slices, as hooks.
//
// The entry's main fills these; tests put plain functions in their place. An empty hook means that
// the decision is not made: no limit, no retry bound, random choice.

#ifndef SARDINESTREAM_REQUESTS_SERVICES_H_
#define SARDINESTREAM_REQUESTS_SERVICES_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "sardinestream/base/digest128.h"
#include "sardinestream/membership/peer_directory.h"
#include "sardinestream/requests/caller_request.h"

namespace sardinestream::requests {

// Held while a request counts against its team's limits; released by dropping it.
using team_permit = std::shared_ptr<void>;

// The agent incarnation that alone may run a key.
struct key_owner {
    std::string agent_id;
    std::uint64_t agent_incarnation = 0;
};

// What is known of a request's attempts so far, for the choice of the next agent.
struct attempt_history {
    // Agents that have failed or refused this request.
    std::set<std::string> tried;
    // Text that a resumed completion must read again.
    std::size_t resumed_bytes = 0;
    bool run_alone = false;
};

struct request_services {
    std::function<std::variant<team_permit, refusal>(const caller_request&)> acquire_permit;
    // Returns the agent for the next attempt, or null where none can take it.
    std::function<std::shared_ptr<membership::peer>(const caller_request&, const attempt_history&)>
        choose_agent;
    // True where the retry budget has room for one more attempt; takes the room.
    std::function<bool(const caller_request&)> try_acquire_retry;
    // Every request calls this once, before its first attempt: the retry budget grows with it.
    std::function<void(const caller_request&)> record_request;
    // Binds the caller's key to the agent incarnation that `proposed` names, or returns the earlier
    // binding, or why there is none.
    std::function<std::variant<key_owner, refusal>(const caller_request&, digest128 key,
                                                   const key_owner& proposed)>
        bind_key;
    // Returns whom the key is bound to, nothing where it is bound to nobody, or why that is not
    // known.
    std::function<std::variant<std::optional<key_owner>, refusal>(digest128 key)> find_binding;
    // Returns whom a ticket names, or why it is not valid; `key_text` and `key` receive the
    // ticket's own key.
    std::function<std::variant<key_owner, refusal>(const caller_request&, std::string& key_text,
                                                   digest128& key)>
        read_ticket;
    // Returns a ticket for this agent.
    std::function<std::string(const caller_request&, const membership::peer&)> make_ticket;
    // Finds a bound agent. `unknown` outcomes where it is gone or cannot be reached.
    std::function<std::variant<std::shared_ptr<membership::peer>, refusal>(const key_owner&,
                                                                           absl::Time deadline)>
        find_owner;
    // Refuses a request whose fingerprint has crashed too many servers; sets `run_alone`.
    std::function<std::optional<refusal>(const caller_request&, bool& run_alone)> check_suspect;
    // An attempt ended because the backend server was lost.
    std::function<void(const caller_request&, const std::string& agent_id)> record_backend_lost;
    // An attempt ended well.
    std::function<void(const caller_request&, const membership::peer&, absl::Duration first_part,
                       absl::Duration total, std::uint32_t tokens)>
        record_completed;
};

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_SERVICES_H_
