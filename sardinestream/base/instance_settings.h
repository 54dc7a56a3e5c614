// Defines the settings that every instance has: its name, location, ports and key, and its
// heartbeat, drain and log settings. Each binary adds its own.
//
//     struct agent_settings : instance_settings { ... };
//     SARDINE_RETURN_IF_ERROR(load_settings(argc, argv, with_instance_flags({"backend"})));
//     SARDINE_RETURN_IF_ERROR(read_instance_settings(settings));

#ifndef SARDINESTREAM_BASE_INSTANCE_SETTINGS_H_
#define SARDINESTREAM_BASE_INSTANCE_SETTINGS_H_

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "sardinestream/base/log.h"
#include "sardinestream/base/settings.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace sardinestream {

struct instance_settings {
    std::string id;
    std::string data_centre;
    address ops_listen;
    std::string fleet_key;
    absl::Duration heartbeat_interval;
    absl::Duration peer_timeout;
    absl::Duration drain_timeout;
    log_level log_minimum = log_level::info;
    bool check_only = false;
};

// Returns the flags that may come from the environment: those of every instance and `own`.
[[nodiscard]] std::vector<std::string> with_instance_flags(std::vector<std::string> own);

// Checks the flags of every instance and fills `settings`. Call after `load_settings`.
[[nodiscard]] absl::Status read_instance_settings(instance_settings& settings);

constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

// Implements the common part of `main`: reports invalid settings, or starts logging and calls
// `run`. Returns the exit status.
template <typename Settings>
[[nodiscard]] int run_instance(absl::string_view process, const absl::StatusOr<Settings>& settings,
                               const std::function<absl::Status(const Settings&)>& run)
{
    if (!settings.ok()) {
        std::fprintf(stderr, "%s\n", std::string(settings.status().message()).c_str());
        return exit_bad_settings;
    }
    if (settings->check_only) {
        return 0;
    }
    start_logging(settings->log_minimum, process, settings->id);
    const absl::Status status = run(*settings);
    if (!status.ok()) {
        log_failure("start_failed", status);
    }
    finish_logging(max_exit_log_wait);
    return status.ok() ? 0 : exit_failed;
}

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_INSTANCE_SETTINGS_H_
