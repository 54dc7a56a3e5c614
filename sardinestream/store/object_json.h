// Converts platform objects to and from JSON, for the client of the object API and for the stand-in
// that replaces the platform in tests.
//
//     absl::StatusOr<object> read = parse_object("instances", body);

#ifndef SARDINESTREAM_STORE_OBJECT_JSON_H_
#define SARDINESTREAM_STORE_OBJECT_JSON_H_

#include <cstdint>
#include <string>

#include "sardinestream/store/object_store.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream::platform {

// Parses a body that describes an object. `version` is zero if the body does not state one. Parse
// errors of this and the following functions are kInternal.
[[nodiscard]] absl::StatusOr<object> parse_object(absl::string_view kind, absl::string_view body);

// Returns the JSON text of an object; `spec` and `status` must be JSON texts.
[[nodiscard]] std::string format_object(const object& written);

// Parses one page of a list. Objects that cannot be read are logged and left out.
[[nodiscard]] absl::StatusOr<object_list> parse_object_list(absl::string_view kind,
                                                            absl::string_view body);
[[nodiscard]] std::string format_object_list(absl::string_view kind, const object_list& written);

// Parses one line of a watch response, without its line feed. Returns kOutOfRange if the line
// states that changes since the requested version are no longer available, and kUnavailable for
// another error reported by the platform.
[[nodiscard]] absl::StatusOr<object_change> parse_change(absl::string_view kind,
                                                         absl::string_view line);
[[nodiscard]] std::string format_change(const object_change& written);

// Returns the body of an error response; `reason` is for example "AlreadyExists" or "Conflict".
[[nodiscard]] std::string format_error(int http_status, absl::string_view reason);
// Returns the reason in the body of an error response, or an empty string if there is none.
[[nodiscard]] std::string parse_error_reason(absl::string_view body);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_STORE_OBJECT_JSON_H_
