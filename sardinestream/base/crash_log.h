// Logs that a process is ended by a fatal signal, such as a segmentation fault.

#ifndef SARDINESTREAM_BASE_CRASH_LOG_H_
#define SARDINESTREAM_BASE_CRASH_LOG_H_

#include "absl/strings/string_view.h"

namespace sardinestream {

// From now on a fatal signal writes one line, `event=crashed signal=N`, in the form of the log's
// lines to standard output before it ends the process as it always does. Lines that are queued at
// that moment are lost. `process` and `instance` are cut to `max_crash_name` characters.
void log_fatal_signals(absl::string_view process, absl::string_view instance);

inline constexpr int max_crash_name = 100;

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_CRASH_LOG_H_
