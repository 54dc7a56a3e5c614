// Calls to a model server on the platform: its report, the choices of experts, orders.

#ifndef SARDINESTREAM_PLATFORM_ENGINE_CALLS_H_
#define SARDINESTREAM_PLATFORM_ENGINE_CALLS_H_

#include "sardinestream/maps/engine_interface.h"

#include "absl/strings/string_view.h"

namespace sardinestream::platform {

// The returned port keeps one connection. Each call ends within a tenth of a second.
[[nodiscard]] engine_interface connect_engine(const address& engine);

// Decodes a server's report. kInvalidArgument, with the reason, for one that cannot be read.
[[nodiscard]] absl::StatusOr<engine_report> decode_engine_report(absl::string_view json_text);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_ENGINE_CALLS_H_
