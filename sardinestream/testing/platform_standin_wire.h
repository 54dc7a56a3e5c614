// Names and answers of the platform's HTTP interface, as its stand-in speaks it.

#ifndef SARDINESTREAM_TESTING_PLATFORM_STANDIN_WIRE_H_
#define SARDINESTREAM_TESTING_PLATFORM_STANDIN_WIRE_H_

#include <httplib.h>

#include "sardinestream/store/object_store.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream::testing {

inline constexpr char json_type[] = "application/json";
inline constexpr char entry_kind[] = "catalogueentries";

void answer_failure(httplib::Response& response, int http_status, absl::string_view reason);
void answer(httplib::Response& response, const absl::StatusOr<platform::object>& result);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_PLATFORM_STANDIN_WIRE_H_
