// Checks a configuration before it is sent: reads it, compares it with the one in force if asked
// to, and writes the findings.
//
//     check_command command;
//     command.config = text;
//     const check_outcome outcome = run_check(command, platform::decode_desired_state);

#ifndef SARDINESTREAM_CHECK_CHECK_COMMAND_H_
#define SARDINESTREAM_CHECK_CHECK_COMMAND_H_

#include <optional>
#include <string>

#include "sardinestream/base/settings.h"
#include "sardinestream/check/desired_state_check.h"
#include "sardinestream/routes/current_state.h"

#include "absl/status/statusor.h"

namespace sardinestream::check {

// Exit statuses of the tool.
inline constexpr int exit_clean = 0;
inline constexpr int exit_findings = 1;
inline constexpr int exit_unreadable = 2;

struct check_command {
    // The configuration that is to be sent.
    std::string config;
    // The configuration in force; nothing to compare if empty.
    std::optional<std::string> in_force;
    fleet_facts fleet;
    // Write a JSON array instead of lines.
    bool as_json = false;
};

struct check_outcome {
    int exit_status = exit_clean;
    // What to write to standard output, or to standard error if the configuration is unreadable.
    std::string text;
};

// Returns the error as text that names the file, the process or the part that it is about.
[[nodiscard]] std::string describe(const absl::Status& error);

// Differences alone are no reason for `exit_findings`.
[[nodiscard]] check_outcome run_check(const check_command& command,
                                      const desired_state_decoder& decode);

// Checks a catalogue of the product's own interface: a JSON array of objects with `name` and
// `spec`, by the acceptor's rules for a single entry.
[[nodiscard]] check_outcome run_catalogue_check(const std::string& catalogue, bool as_json);

// Asks a running entry for the configuration that it has in force. `gossip` is the address of its
// messages to other processes.
[[nodiscard]] absl::StatusOr<std::string> fetch_in_force(const address& gossip);

} // namespace sardinestream::check

#endif // SARDINESTREAM_CHECK_CHECK_COMMAND_H_
