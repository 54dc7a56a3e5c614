// Represents the refusal of a request as an error that carries the time after which to retry.

#ifndef SARDINESTREAM_BACKENDS_REFUSAL_H_
#define SARDINESTREAM_BACKENDS_REFUSAL_H_

#include <chrono>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

// Returns the error for a request that gets no server of `service`. `reason` is logged;
// `retry_after` is the time after which the caller should retry.
[[nodiscard]] absl::Status refuse(absl::StatusCode code, const std::string& service,
                                  absl::string_view reason, std::chrono::milliseconds retry_after);

// Returns the time after which a refused caller should retry, or zero if the error carries none.
[[nodiscard]] std::chrono::milliseconds retry_after_of(const absl::Status& refusal);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_REFUSAL_H_
