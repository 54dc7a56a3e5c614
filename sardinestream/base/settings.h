// Reads settings from gflags and, if a flag is not given, from environment variables.
//
// The variable of `--peer_key` is `SARDINE_PEER_KEY`. Call `load_settings` first in main,
// with the flags that the binary owns; then check values with the `check_*` functions, each of
// which returns an error that names the flag, its value and the allowed range.

#ifndef SARDINESTREAM_BASE_SETTINGS_H_
#define SARDINESTREAM_BASE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

// A TCP address: an IPv4 number and a port (0 to 65535; 0 lets the system choose).
struct address {
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string to_string() const;
    friend bool operator==(const address&, const address&) = default;
    friend bool operator<(const address& left, const address& right)
    {
        return std::tie(left.ip, left.port) < std::tie(right.ip, right.port);
    }
};

// Parses "10.0.0.1:7000". Names are not resolved.
[[nodiscard]] absl::StatusOr<address> parse_address(absl::string_view text);

// Parses a comma-separated list of addresses; empty text gives an empty list.
[[nodiscard]] absl::StatusOr<std::vector<address>> parse_addresses(absl::string_view text);

// Parses the command line, then sets each flag in `flag_names` that was not given from its
// environment variable. Fails on an unknown flag value; exits on an unknown flag, as gflags does,
// and after `--help`, which lists only these flags.
[[nodiscard]] absl::Status load_settings(int* argc, char*** argv,
                                         const std::vector<std::string>& flag_names);

// Fails unless `minimum` <= `value` <= `maximum`.
[[nodiscard]] absl::Status check_range(absl::string_view flag, std::int64_t value,
                                       std::int64_t minimum, std::int64_t maximum);

// Fails when `value` is empty.
[[nodiscard]] absl::Status check_present(absl::string_view flag, absl::string_view value);

// Fails unless `value` is an address.
[[nodiscard]] absl::Status check_address(absl::string_view flag, absl::string_view value);

// Fails when `value` is too short for a key. The error does not show the value.
[[nodiscard]] absl::Status check_fleet_key(absl::string_view flag, absl::string_view value);

// Returns the error that every check uses.
[[nodiscard]] absl::Status setting_error(absl::string_view flag, absl::string_view value,
                                         absl::string_view allowed);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_SETTINGS_H_
