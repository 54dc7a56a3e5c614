// Tells whether something accepts TCP connections at an address, without sending a byte.

#ifndef SARDINESTREAM_BASE_TCP_PROBE_H_
#define SARDINESTREAM_BASE_TCP_PROBE_H_

#include "sardinestream/base/settings.h"

#include "absl/time/time.h"

namespace sardinestream {

// Connects, then closes. Returns false on a refusal and after `timeout`. Thread-safe.
[[nodiscard]] bool accepts_tcp(const address& server, absl::Duration timeout);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_TCP_PROBE_H_
