// Issues and verifies tickets: authenticated keys that name the only agent incarnation that may run
// their requests.
//
// A caller asks for a ticket and then sends its request with it. This needs no write to the
// platform's store, so tickets work during outages of the store.
//
//     const ticket_signer signer = ticket_signer::create(fleet_key).value();
//     std::string token = signer.issue(new_ticket);
//     ticket_check checked = signer.verify(token, team, service, absl::Now());
//     if (checked.error == ticket_error::none) { route_to(checked.content.agent); }
//
// The expiry limits how long a ticket is accepted. At-most-once execution does not depend on it,
// because the agent keeps every key for its whole incarnation.

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
    address agent_address; // lets an entry that has no link to the agent connect to it
    std::string team;
    std::string service;
    std::string random; // the random part that makes the key unique
    absl::Time expiry;  // whole seconds

    // Returns the key of the ticket in the agent's run table.
    [[nodiscard]] digest128 key() const;
};

enum class ticket_error : std::uint8_t {
    none,
    forged, // malformed, too long, or not signed with the fleet's key
    expired,
    other_team,
    other_service,
};

// Returns the machine-readable name, such as "expired".
[[nodiscard]] absl::string_view to_string(ticket_error error);

struct ticket_check {
    ticket_error error = ticket_error::forged;
    ticket content; // set unless `error` is `forged`
};

// Signs and verifies tickets with a key derived from the fleet's key. Immutable and thread-safe.
class ticket_signer {
public:
    // Fails with `kInvalidArgument` if `fleet_key` is empty.
    [[nodiscard]] static absl::StatusOr<ticket_signer> create(absl::string_view fleet_key);

    // Returns the token to give to the caller.
    [[nodiscard]] std::string issue(const ticket& content) const;

    // Checks the signature of `token`, its team and service, and that it has not expired at `now`.
    [[nodiscard]] ticket_check verify(absl::string_view token, absl::string_view team,
                                      absl::string_view service, absl::Time now) const;

private:
    explicit ticket_signer(std::string derived_key) : key(std::move(derived_key)) {}

    [[nodiscard]] std::string sign(absl::string_view payload) const;

    std::string key;
};

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_TICKET_H_
