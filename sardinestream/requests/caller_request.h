// What a caller asked for, read from HTTP.
//
// Owns the caller's contract in headers: the bearer key, the remaining time, the priority, the
// idempotency key and the ticket. It never talks to another process.
//
//     Authorization: Bearer <key>          the team
//     Sardine-Timeout-Ms: <1..3600000>     how long the caller will wait
//     Sardine-Priority: interactive|batch  may only lower what the catalogue gives
//     Idempotency-Key: <1..200 characters>
//     Sardine-Ticket: <token from POST /v1/tickets>
//     Sardine-First-Send: true             the key or ticket has never been sent before

#ifndef SARDINESTREAM_REQUESTS_CALLER_REQUEST_H_
#define SARDINESTREAM_REQUESTS_CALLER_REQUEST_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sardinestream/base/digest128.h"
#include "sardinestream/base/outcome.h"
#include "sardinestream/catalogue/snapshot.h"

#include "absl/strings/string_view.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace httplib {
struct Request;
} // namespace httplib

namespace sardinestream::requests {

// Tells whether the caller has closed its connection. Asked on the thread that serves it.
using caller_check = std::function<bool()>;

using header_list = std::vector<std::pair<std::string, std::string>>;

struct caller_request {
    std::string request_id;
    // Keeps `entry` alive.
    std::shared_ptr<const catalogue::catalogue_snapshot> snapshot;
    const catalogue::catalogue_entry* entry = nullptr;
    std::string method;
    std::string path; // as the backend server will see it
    header_list headers;
    std::string body;
    absl::Time deadline;
    catalogue::priority_class priority = catalogue::priority_class::interactive;
    std::string idempotency_key; // empty where the caller gave none
    std::string ticket;          // empty where the caller gave none
    bool first_sending = false;  // the caller vouches that it never sent the key before
    bool stream = false;         // completions only: server-sent events
    bool chat = false;           // completions only
    std::string prompt;          // completions only: the text by which prefixes are compared
    std::uint32_t max_tokens = 0;
    caller_check caller_has_gone; // may be empty

    // True where the catalogue lets this request run again after an attempt of unknown outcome.
    [[nodiscard]] bool repeatable() const;

    // By which crashes are counted: team, service, method, path and body.
    [[nodiscard]] digest128 fingerprint() const;
};

using parsed_request = std::variant<caller_request, refusal>;

// Reads `POST /v1/completions` or `POST /v1/chat/completions`.
[[nodiscard]] parsed_request
parse_completion(const httplib::Request& http,
                 std::shared_ptr<const catalogue::catalogue_snapshot> snapshot);

// Reads a call of a plain service, `<any method> /services/<service>/<path>`.
[[nodiscard]] parsed_request
parse_service_call(const httplib::Request& http,
                   std::shared_ptr<const catalogue::catalogue_snapshot> snapshot);

// Reads `POST /v1/tickets` with `{"service": "<name>"}`; fills team and service alone.
[[nodiscard]] parsed_request
parse_ticket_call(const httplib::Request& http,
                  std::shared_ptr<const catalogue::catalogue_snapshot> snapshot);

// Returns a refusal that was decided before anything was handed on.
[[nodiscard]] refusal refuse_not_run(refusal_code code, absl::string_view step,
                                     absl::string_view message,
                                     absl::Duration retry_after = absl::ZeroDuration());

// Returns a refusal that was decided before the request was read. It was not run; but where it
// carries a key or a ticket, an earlier sending may have been, so the outcome is `unknown` unless
// the caller vouches for a first sending.
[[nodiscard]] refusal refuse_unread(const httplib::Request& http, refusal_code code,
                                    absl::string_view step, absl::Duration retry_after);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_CALLER_REQUEST_H_
