// Tickets: authenticated keys that name the one agent incarnation that may run them.
//
// A caller asks for a ticket, then sends its request with it. No write to the platform's store is
// needed, so tickets work through its outages.
//
//     const ticket_signer signer = ticket_signer::create(fleet_key).value();
//     std::string token = signer.issue(new_ticket);
//     ticket_check checked = signer.verify(token, team, service, absl::Now());
//     if (checked.error == ticket_error::none) { route_to(checked.content.agent); }
//
// Expiry bounds how long a ticket is accepted; it is no part of at-most-once, since the agent keeps
// every key for its whole incarnation.

#ifndef SARDINESTREAM_ONCE_TICKET_H_
#define SARDINESTREAM_ONCE_TICKET_H_

#include <cstdint>
#include <string>

#include "sardinestream/base/digest128.h"
#include "sardinestream/base/settings.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace sardinestream::once {

struct ticket {
    std::string agent;
    std::uint64_t incarnation = 0;
    address agent_address; // lets an entry without a link reach the agent
    std::string team;
    std::string service;
    std::string random; // makes the key
    absl::Time expiry;  // whole seconds

    // The key in the agent's run table.
    [[nodiscard]] digest128 key() const;
};

enum class ticket_error : std::uint8_t {
    none,
    forged, // malformed, or not signed with the fleet's key
    expired,
    other_team,
    other_service,
};

// Returns the machine code, such as "expired".
[[nodiscard]] absl::string_view to_string(ticket_error error);

struct ticket_check {
    ticket_error error = ticket_error::forged;
    ticket content; // set unless `error` is `forged`
};

// Immutable, thread-safe.
class ticket_signer {
public:
    // Fails on an empty key.
    [[nodiscard]] static absl::StatusOr<ticket_signer> create(absl::string_view fleet_key);

    // Returns the token that callers carry.
    [[nodiscard]] std::string issue(const ticket& content) const;

    [[nodiscard]] ticket_check verify(absl::string_view token, absl::string_view team,
                                      absl::string_view service, absl::Time now) const;

private:
    explicit ticket_signer(std::string derived_key) : key(std::move(derived_key)) {}

    [[nodiscard]] std::string sign(absl::string_view payload) const;

    std::string key;
};

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_TICKET_H_
