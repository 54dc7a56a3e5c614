// Reads the target of a request as a strict HTTP server does: it takes only the characters that a
// target may have, and decodes the parameters of the query.

#ifndef SARDINESTREAM_TESTING_EMULATOR_REQUEST_TARGET_H_
#define SARDINESTREAM_TESTING_EMULATOR_REQUEST_TARGET_H_

#include <map>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace sardinestream::testing {

struct request_target {
    // As sent.
    std::string path;
    // Names and values, decoded. A plus sign stands for a blank.
    std::map<std::string, std::string> parameters;
};

// Returns nothing if `text` is not a path with an optional query, such as one with a blank, a
// fragment or an incomplete escape.
[[nodiscard]] std::optional<request_target> parse_target(absl::string_view text);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_REQUEST_TARGET_H_
