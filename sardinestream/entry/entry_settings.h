// Settings of sardine-entry: flags, environment variables, and their checks.

#ifndef SARDINESTREAM_ENTRY_ENTRY_SETTINGS_H_
#define SARDINESTREAM_ENTRY_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "sardinestream/base/log.h"
#include "sardinestream/base/settings.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace sardinestream::entry {

struct entry_settings {
    std::string id;
    std::string data_centre;
    address listen;
    address link_listen;
    address ops_listen;
    std::vector<address> platform;
    std::vector<address> seeds;
    std::string fleet_key;
    std::string policy;
    int entry_slots = 3;
    int max_connections = 0;
    bool watch_catalogue = true;
    absl::Duration drain_delay;
    absl::Duration drain_timeout;
    log_level log_minimum = log_level::info;
    bool check_only = false;
};

// Reads and checks every setting. The error names the flag, its value and what is allowed.
[[nodiscard]] absl::StatusOr<entry_settings> load_entry_settings(int* argc, char*** argv);

} // namespace sardinestream::entry

#endif // SARDINESTREAM_ENTRY_ENTRY_SETTINGS_H_
