// Reads the settings of both programs. They are flags in a settings file, which the platform
// renders from the templates in deploy/; the environment and the command line override them.
//
//     absl::StatusOr<entry_settings> settings = load_entry_settings(&argc, &argv);
//
// Each error names the setting, its value and the allowed values.

#ifndef SARDINESTREAM_PLATFORM_SETTINGS_H_
#define SARDINESTREAM_PLATFORM_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "sardinestream/base/log.h"
#include "sardinestream/base/settings.h"

#include "absl/status/statusor.h"

namespace sardinestream::platform {

// Settings of both programs.
struct common_settings {
    std::string id;
    std::string data_centre;
    // IPv4 address of this machine.
    std::string ip;
    address ops_listen;
    // Port for messages between the processes of the load balancer; the same on every machine.
    int gossip_port = 0;
    log_level log_minimum = log_level::info;
    bool check_only = false;
    bool print_status = false;
};

struct entry_settings : common_settings {
    address front_listen;
    address ready_listen;
    address store;
    std::vector<address> seeds;
    int max_connections = 0;
    // Memory that the process may use.
    std::size_t memory_bytes = 0;
    double retry_ratio = 0;
    double retry_slack = 0;
    // Time within which the store removes the entry of a silent server.
    std::chrono::milliseconds server_entry_lifetime{0};
    // Time between two writes of a server to the store.
    std::chrono::milliseconds server_heartbeat{0};
    std::chrono::milliseconds grace{8000};
    // A cold server may get its rate times `cold_overage`, plus `cold_slack` requests, in one
    // second; zero if the deployment does not limit cold servers.
    double cold_overage = 0;
    double cold_slack = 0;
    // Time within which an evacuation must be in force; zero if operators request none.
    std::chrono::milliseconds evacuation_time{0};
};

struct agent_settings : common_settings {
    // The backend server beside this process.
    address backend;
    std::string service;
    double skew_weight = 1;
    double rebalance_weight = 1;
};

[[nodiscard]] absl::StatusOr<entry_settings> load_entry_settings(int* argc, char*** argv);
[[nodiscard]] absl::StatusOr<agent_settings> load_agent_settings(int* argc, char*** argv);

// Reads the settings file again and returns the new settings. Does not read the command line or the
// environment again.
[[nodiscard]] absl::StatusOr<entry_settings> reload_entry_settings();
[[nodiscard]] absl::StatusOr<agent_settings> reload_agent_settings();

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_SETTINGS_H_
