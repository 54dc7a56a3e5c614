// Identity of a request that may not be repeated: what makes two sendings the same request.
//
// The key covers team and service, so no team can name another team's key. Keys that callers chose
// and keys that tickets carry live in separate domains.

#ifndef SARDINESTREAM_ONCE_REQUEST_KEY_H_
#define SARDINESTREAM_ONCE_REQUEST_KEY_H_

#include "sardinestream/base/digest128.h"

#include "absl/strings/string_view.h"

namespace sardinestream::once {

// The key of an `Idempotency-Key` header.
[[nodiscard]] inline digest128 digest_of_caller_key(absl::string_view team,
                                                    absl::string_view service,
                                                    absl::string_view idempotency_key)
{
    return digest_of("caller_key", {team, service, idempotency_key});
}

// The key of a ticket; `random` is the ticket's own random part.
[[nodiscard]] inline digest128
digest_of_ticket_key(absl::string_view team, absl::string_view service, absl::string_view random)
{
    return digest_of("ticket_key", {team, service, random});
}

// Tells whether two sendings under one key carry the same request. Headers are left out: proxies
// and client libraries change them between attempts.
[[nodiscard]] inline digest128 digest_of_request(absl::string_view method, absl::string_view path,
                                                 absl::string_view body)
{
    return digest_of("request", {method, path, body});
}

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_REQUEST_KEY_H_
