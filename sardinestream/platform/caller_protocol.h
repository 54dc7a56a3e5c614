// How callers' requests and servers' answers look on the platform's wire.

#ifndef SARDINESTREAM_PLATFORM_CALLER_PROTOCOL_H_
#define SARDINESTREAM_PLATFORM_CALLER_PROTOCOL_H_

#include "sardinestream/forwarding/caller_request.h"

namespace sardinestream::platform {

// The returned functions hold no state and are thread-safe.
[[nodiscard]] wire_protocol make_caller_protocol();

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_CALLER_PROTOCOL_H_
