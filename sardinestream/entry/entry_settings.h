// Settings of sardine-entry, read from flags and environment variables and validated.

#ifndef SARDINESTREAM_ENTRY_ENTRY_SETTINGS_H_
#define SARDINESTREAM_ENTRY_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "sardinestream/base/instance_settings.h"
#include "sardinestream/base/settings.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace sardinestream::entry {

struct entry_settings : instance_settings {
    address listen;
    address link_listen;
    std::vector<address> platform;
    std::vector<address> seeds;
    std::string policy;
    int entry_slots = 3;
    int max_connections = 0;
    bool watch_catalogue = true;
    absl::Duration drain_delay;
};

// Reads and validates all settings. The error names the flag, its value and the allowed values.
[[nodiscard]] absl::StatusOr<entry_settings> load_entry_settings(int* argc, char*** argv);

} // namespace sardinestream::entry

#endif // SARDINESTREAM_ENTRY_ENTRY_SETTINGS_H_
