// Checks whether an address accepts TCP connections, without sending data.

#ifndef SARDINESTREAM_BASE_TCP_PROBE_H_
#define SARDINESTREAM_BASE_TCP_PROBE_H_

#include "sardinestream/base/settings.h"

#include "absl/time/time.h"

namespace sardinestream {

// Connects and closes the connection. Returns false if it is refused or not established within
// `timeout`. Thread-safe.
[[nodiscard]] bool accepts_tcp(const address& server, absl::Duration timeout);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_TCP_PROBE_H_
