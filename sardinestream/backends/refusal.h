// A request that gets no server, as an error that says when its caller should come back.

#ifndef SARDINESTREAM_BACKENDS_REFUSAL_H_
#define SARDINESTREAM_BACKENDS_REFUSAL_H_

#include <chrono>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

// `service` has no server for the request; `reason` goes to the log.
[[nodiscard]] absl::Status refuse(absl::StatusCode code, const std::string& service,
                                  absl::string_view reason, std::chrono::milliseconds come_back);

// Returns when a refused caller should come back, or zero where the error does not say.
[[nodiscard]] std::chrono::milliseconds retry_after_of(const absl::Status& refusal);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_REFUSAL_H_
