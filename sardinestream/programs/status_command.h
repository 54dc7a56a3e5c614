// What an operator asks of a running process: what it has in force.

#ifndef SARDINESTREAM_PROGRAMS_STATUS_COMMAND_H_
#define SARDINESTREAM_PROGRAMS_STATUS_COMMAND_H_

#include <string>

#include "sardinestream/base/settings.h"

#include "absl/status/statusor.h"

namespace sardinestream {

// Returns the status of the process whose metrics address is `ops`, as indented JSON.
[[nodiscard]] absl::StatusOr<std::string> read_status(const address& ops);

// Prints it, or what went wrong on standard error. Returns the exit status of the command.
[[nodiscard]] int print_status(const address& ops);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_STATUS_COMMAND_H_
