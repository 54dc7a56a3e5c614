// Runs the command that the settings select: the program itself, the status page or the settings
// check. Shared by both main functions.

#ifndef SARDINESTREAM_PLATFORM_COMMAND_H_
#define SARDINESTREAM_PLATFORM_COMMAND_H_

#include <cstdio>
#include <string>

#include "sardinestream/base/shutdown_signal.h"
#include "sardinestream/programs/status_command.h"

#include "absl/status/statusor.h"

namespace sardinestream::platform {

inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_settings = 2;

// Calls `run` with `signal`, or prints the status or only checks the settings if these say so.
// Writes a settings error to stderr. Returns the exit status.
template <typename Settings>
[[nodiscard]] int run_command(const absl::StatusOr<Settings>& settings, shutdown_signal signal,
                              int (*run)(const Settings& settings, shutdown_signal& signal))
{
    if (!settings.ok()) {
        std::fprintf(stderr, "%s\n", std::string(settings.status().message()).c_str());
        return exit_bad_settings;
    }
    if (settings->print_status) {
        return print_status(settings->ops_listen);
    }
    return settings->check_only ? 0 : run(*settings, signal);
}

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_COMMAND_H_
