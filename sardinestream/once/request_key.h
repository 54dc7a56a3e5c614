// Computes the digests that identify a request which must run at most once, so that repeated
// sendings of the same request are recognized.
//
// The digest of a key includes team and service, so no team can produce the key of another team.
// Keys chosen by callers and keys carried by tickets are in separate domains and cannot collide.

#ifndef SARDINESTREAM_ONCE_REQUEST_KEY_H_
#define SARDINESTREAM_ONCE_REQUEST_KEY_H_

#include "sardinestream/base/digest128.h"

#include "absl/strings/string_view.h"

namespace sardinestream::once {

// Returns the key for the value of an `Idempotency-Key` header.
[[nodiscard]] inline digest128 digest_of_caller_key(absl::string_view team,
                                                    absl::string_view service,
                                                    absl::string_view idempotency_key)
{
    return digest_of("caller_key", {team, service, idempotency_key});
}

// Returns the key of a ticket, where `random` is the random part of the ticket.
[[nodiscard]] inline digest128
digest_of_ticket_key(absl::string_view team, absl::string_view service, absl::string_view random)
{
    return digest_of("ticket_key", {team, service, random});
}

// Returns a digest that tells whether two sendings with the same key carry the same request.
// Headers are excluded, because proxies and client libraries change them between attempts.
[[nodiscard]] inline digest128 digest_of_request(absl::string_view method, absl::string_view path,
                                                 absl::string_view body)
{
    return digest_of("request", {method, path, body});
}

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_REQUEST_KEY_H_
