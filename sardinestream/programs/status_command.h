// Implements the command that prints the status of a running process.

#ifndef SARDINESTREAM_PROGRAMS_STATUS_COMMAND_H_
#define SARDINESTREAM_PROGRAMS_STATUS_COMMAND_H_

#include <string>

#include "sardinestream/base/settings.h"

#include "absl/status/statusor.h"

namespace sardinestream {

// Returns the status of the process whose metrics address is `ops`, as indented JSON.
[[nodiscard]] absl::StatusOr<std::string> read_status(const address& ops);

// Prints the status to standard output, or the error to standard error. Returns the exit status of
// the command.
[[nodiscard]] int print_status(const address& ops);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_STATUS_COMMAND_H_
