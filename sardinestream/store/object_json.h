// The JSON form of platform objects, shared by the client of the object API and its stand-in.
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

// What a body that describes an object says; `version` is zero where it names none.
[[nodiscard]] absl::StatusOr<object> parse_object(absl::string_view kind, absl::string_view body);

// Returns the JSON text of an object; `spec` and `status` must be JSON texts.
[[nodiscard]] std::string format_object(const object& written);

[[nodiscard]] absl::StatusOr<object_list> parse_object_list(absl::string_view kind,
                                                            absl::string_view body);
[[nodiscard]] std::string format_object_list(absl::string_view kind, const object_list& written);

// One line of a watch, without its line feed. Parsing fails with `kOutOfRange` where the line says
// that the versions in between are gone.
[[nodiscard]] absl::StatusOr<object_change> parse_change(absl::string_view kind,
                                                         absl::string_view line);
[[nodiscard]] std::string format_change(const object_change& written);

// The body of an error answer; `reason` is such as "AlreadyExists" or "Conflict".
[[nodiscard]] std::string format_error(int http_status, absl::string_view reason);
[[nodiscard]] std::string parse_error_reason(absl::string_view body);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_STORE_OBJECT_JSON_H_
