// One thing that an operator should know about a configuration before it is sent. A value type.

#ifndef SARDINESTREAM_CHECK_FINDING_H_
#define SARDINESTREAM_CHECK_FINDING_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace sardinestream::check {

enum class finding_kind {
    // The configuration is not what its fields allow.
    error,
    // The entry can never take effect.
    unreachable,
    // The limit contradicts another one, so that one of them has no effect.
    contradiction,
    // The entry differs from the one in force.
    difference,
};

struct finding {
    finding_kind kind = finding_kind::error;
    // Path of the entry, such as "routes[orders].timeout".
    std::string place;
    // Stable name of what was found, such as "unknown_service".
    std::string code;
    // The value found; for a difference also the one in force. Never a key of a team.
    std::string value;
    // The allowed values; empty for a difference.
    std::string allowed;

    friend bool operator==(const finding&, const finding&) = default;
};

using findings = std::vector<finding>;

[[nodiscard]] absl::string_view name_of(finding_kind kind);

// Returns the finding as one line of key=value pairs.
[[nodiscard]] std::string to_line(const finding& found);
// Returns the findings as a JSON array of objects.
[[nodiscard]] std::string to_json(const findings& all);

} // namespace sardinestream::check

#endif // SARDINESTREAM_CHECK_FINDING_H_
