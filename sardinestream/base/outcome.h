// Defines the outcomes and reason codes that every unsuccessful response carries.
//
// Use `refusal` wherever a request ends without the backend server's own response.
// `docs/OPERATIONS.md` explains each code; codes never change their meaning.

#ifndef SARDINESTREAM_BASE_OUTCOME_H_
#define SARDINESTREAM_BASE_OUTCOME_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace sardinestream {

// States whether the request was run. Only a process that knows that no byte of the request was
// passed to a backend server reports `not_run`.
enum class run_outcome : std::uint8_t {
    not_run = 0,
    unknown = 1,
    failed = 2,
    // The request ran and the backend server answered, but the answer is no longer stored.
    ran = 3,
};

enum class refusal_code : std::uint16_t {
    none = 0,
    bad_request = 1,
    unauthorized = 2,
    unknown_service = 3,
    body_too_large = 4,
    idempotency_key_required = 5,
    key_reused = 6,
    ticket_invalid = 7,
    team_limit = 8,
    deadline_too_short = 9,
    no_backend_server = 10,
    overloaded = 11,
    retry_budget = 12,
    store_unavailable = 13,
    draining = 14,
    crash_suspect = 15,
    backend_lost = 16,
    bound_agent_gone = 17,
    bound_agent_unreachable = 18,
    backend_error = 19,
    deadline_exceeded = 20,
    too_many_connections = 21,
    not_ready = 22,
    stream_cut = 23,
    cancelled = 24,
    protocol_error = 25,
    answer_expired = 26,
};

// Describes why a request ended without a backend server's response.
struct refusal {
    refusal_code code = refusal_code::none;
    run_outcome outcome = run_outcome::unknown;
    // Time after which the caller may retry; zero if a retry would not help.
    absl::Duration retry_after = absl::ZeroDuration();
    // Human-readable explanation; no code depends on it.
    std::string message;
    // Protocol step and peer at which the request ended.
    std::string step;
    std::string peer;
};

// Returns the machine code, such as "team_limit".
[[nodiscard]] absl::string_view to_string(refusal_code code);

// Returns "not_run", "unknown", "failed" or "ran".
[[nodiscard]] absl::string_view to_string(run_outcome outcome);

// Returns the HTTP status for the code.
[[nodiscard]] int http_status_of(refusal_code code);

// Returns the code with the given number, or `protocol_error` if there is none.
[[nodiscard]] refusal_code refusal_code_from(std::uint16_t number);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_OUTCOME_H_
