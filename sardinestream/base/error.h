// Creates errors that carry their origin.
//
// Every fallible function in this project returns `absl::Status` or `absl::StatusOr`. A status made
// here carries two payloads: the protocol step that failed, and the peer involved.
//
//     return make_error(absl::StatusCode::kUnavailable, "bind_key", "platform", "connection
//     reset");
//
//     log_event("request_failed", {{"step", step_of(status)}, {"peer", peer_of(status)}});

#ifndef SARDINESTREAM_BASE_ERROR_H_
#define SARDINESTREAM_BASE_ERROR_H_

#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

// Returns a status with the given step and peer attached. `code` must not be `kOk`.
[[nodiscard]] absl::Status make_error(absl::StatusCode code, absl::string_view step,
                                      absl::string_view peer, absl::string_view message);

// Returns `status` with step and peer attached if it has none yet. An OK status is unchanged.
[[nodiscard]] absl::Status with_origin(absl::Status status, absl::string_view step,
                                       absl::string_view peer);

// Returns the step or the peer that the status carries, or the empty string.
[[nodiscard]] std::string step_of(const absl::Status& status);
[[nodiscard]] std::string peer_of(const absl::Status& status);

} // namespace sardinestream

// Returns from the enclosing function when `expression` yields a status that is not OK.
#define SARDINE_RETURN_IF_ERROR(expression)                                                        \
    do {                                                                                           \
        if (absl::Status sardine_status_ = (expression); !sardine_status_.ok()) {                  \
            return sardine_status_;                                                                \
        }                                                                                          \
    } while (false)

#endif // SARDINESTREAM_BASE_ERROR_H_
