// Parses and validates the HTTP requests of callers.
//
// Owns the headers of the interface to callers: the bearer key, the remaining time, the priority,
// the idempotency key and the ticket. It does not communicate with other processes.
//
//     Authorization: Bearer <key>          identifies the team
//     Sardine-Timeout-Ms: <1..3600000>     how long the caller will wait
//     Sardine-Priority: interactive|batch  may only lower the priority set in the catalogue
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
#include "sardinestream/base/steady_deadline.h"
#include "sardinestream/catalogue/snapshot.h"

#include "absl/strings/string_view.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace httplib {
struct Request;
} // namespace httplib

namespace sardinestream::requests {

// Returns true if the caller has closed its connection. Called on the thread that serves the
// caller.
using caller_check = std::function<bool()>;

using header_list = std::vector<std::pair<std::string, std::string>>;

struct caller_request {
    std::string request_id;
    // Owns what `entry` points to.
    std::shared_ptr<const catalogue::catalogue_snapshot> snapshot;
    const catalogue::catalogue_entry* entry = nullptr;
    std::string method;
    std::string path; // as sent to the backend server
    header_list headers;
    std::string body;
    steady_deadline deadline;
    catalogue::priority_class priority = catalogue::priority_class::interactive;
    std::string idempotency_key; // empty if the caller gave none
    std::string ticket;          // empty if the caller gave none
    bool first_sending = false;  // the caller guarantees that it never sent the key before
    bool stream = false;         // completions only: server-sent events
    bool chat = false;           // completions only
    std::string prompt;          // completions only: the text used to compare prefixes
    std::uint32_t max_tokens = 0;
    caller_check caller_has_gone; // may be empty

    // Returns true if the catalogue allows this request to run again after an attempt whose outcome
    // is unknown.
    [[nodiscard]] bool repeatable() const;

    // Returns the digest by which crashes are counted. It covers team, service, method, path and
    // body.
    [[nodiscard]] digest128 fingerprint() const;
};

using parsed_request = std::variant<caller_request, refusal>;

// Parses `POST /v1/completions` or `POST /v1/chat/completions`.
[[nodiscard]] parsed_request
parse_completion(const httplib::Request& http,
                 std::shared_ptr<const catalogue::catalogue_snapshot> snapshot);

// Parses a call of a plain service, `<any method> /services/<service>/<path>`.
[[nodiscard]] parsed_request
parse_service_call(const httplib::Request& http,
                   std::shared_ptr<const catalogue::catalogue_snapshot> snapshot);

// Parses `POST /v1/tickets` with `{"service": "<name>"}`. Fills the common headers and the
// catalogue entry, but no path or body.
[[nodiscard]] parsed_request
parse_ticket_call(const httplib::Request& http,
                  std::shared_ptr<const catalogue::catalogue_snapshot> snapshot);

// Returns a refusal of a request of which nothing has been sent to an agent.
[[nodiscard]] refusal refuse_not_run(refusal_code code, absl::string_view step,
                                     absl::string_view message,
                                     absl::Duration retry_after = absl::ZeroDuration());

// Returns a refusal that was decided before the request was parsed. This sending was not run; but
// if it carries a key or a ticket, an earlier sending may have run, so the outcome is `unknown`
// unless the caller guarantees that this is the first sending.
[[nodiscard]] refusal refuse_unread(const httplib::Request& http, refusal_code code,
                                    absl::string_view step, absl::Duration retry_after);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_CALLER_REQUEST_H_
