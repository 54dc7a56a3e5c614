// Settings of sardine-agent, read from flags and environment variables and validated.

#ifndef SARDINESTREAM_AGENT_AGENT_SETTINGS_H_
#define SARDINESTREAM_AGENT_AGENT_SETTINGS_H_

#include <string>
#include <vector>

#include "sardinestream/base/instance_settings.h"
#include "sardinestream/base/settings.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace sardinestream::agent {

struct agent_settings : instance_settings {
    address listen;
    address backend;
    std::vector<std::string> serves;
    int slots = 8;
    int reserved_slots = 0;
    absl::Duration max_wait;
    // The rank group that the backend server belongs to; empty if it belongs to none. The fields
    // below are set only with a rank group.
    std::string rank_group;
    int rank = 0;
    std::vector<address> group_agents; // indexed by rank
    address rank_engine;
    std::vector<address> platform;
    int model_layers = 1;
    int experts_per_layer = 1;
    std::string rebalance;
};

// Reads and validates all settings. The error names the flag, its value and the allowed values.
[[nodiscard]] absl::StatusOr<agent_settings> load_agent_settings(int* argc, char*** argv);

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_AGENT_SETTINGS_H_
