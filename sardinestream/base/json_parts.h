// Splits JSON text into the raw texts of its parts without interpreting them.
//
// A part that a parser cannot read, such as a value nested too deeply, a number out of range or a
// malformed string, leaves the other parts readable. Works without recursion, in one pass.
//
//     absl::StatusOr<std::vector<json_member>> page = split_json_object(body);
//     for (absl::string_view item : split_json_array(find_member(*page, "items")).value()) { ... }

#ifndef SARDINESTREAM_BASE_JSON_PARTS_H_
#define SARDINESTREAM_BASE_JSON_PARTS_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace sardinestream {

struct json_member {
    // As written between the quotes: escape sequences are kept.
    absl::string_view name;
    // The raw text of the value, without surrounding space.
    absl::string_view value;
};

// The parts of one object or array may be this many, which bounds what the result takes.
inline constexpr std::size_t max_json_parts = 20'000;

// Both fail with kInvalidArgument if `text` is not a single object or array, or has more parts than
// max_json_parts. The results refer to `text`.
[[nodiscard]] absl::StatusOr<std::vector<json_member>> split_json_object(absl::string_view text);
[[nodiscard]] absl::StatusOr<std::vector<absl::string_view>>
split_json_array(absl::string_view text);

// Returns the value of the first member called `name`, or an empty text.
[[nodiscard]] absl::string_view find_member(absl::Span<const json_member> members,
                                            absl::string_view name);

// Returns an upper estimate of the memory that `text` takes when it is parsed, in bytes: its values
// take many times the length of their text, such as in a long list of empty objects.
[[nodiscard]] std::size_t parsed_json_bytes(absl::string_view text);

// Returns how deeply objects and arrays are nested in `text`; zero for a scalar.
[[nodiscard]] int json_depth(absl::string_view text);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_JSON_PARTS_H_
