// Decodes callers' requests and servers' responses, and encodes requests to servers, in the
// platform's wire format.

#ifndef SARDINESTREAM_PLATFORM_CALLER_PROTOCOL_H_
#define SARDINESTREAM_PLATFORM_CALLER_PROTOCOL_H_

#include "sardinestream/forwarding/caller_request.h"

namespace sardinestream::platform {

// Returns the wire protocol of the platform. Its functions are stateless and thread-safe.
[[nodiscard]] wire_protocol make_caller_protocol();

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_CALLER_PROTOCOL_H_
