// Implements engine_interface over the HTTP interface of a model engine: report, expert counts,
// expert placement and orders.

#ifndef SARDINESTREAM_PLATFORM_ENGINE_CALLS_H_
#define SARDINESTREAM_PLATFORM_ENGINE_CALLS_H_

#include "sardinestream/maps/engine_interface.h"

#include "absl/strings/string_view.h"

namespace sardinestream::platform {

// Returns an interface that uses one connection. Each call ends within 100 ms.
[[nodiscard]] engine_interface connect_engine(const address& engine);

// Decodes an engine's report. Returns kInvalidArgument, with the reason, if it is malformed.
[[nodiscard]] absl::StatusOr<engine_report> decode_engine_report(absl::string_view json_text);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_ENGINE_CALLS_H_
