#include "sardinestream/testing/platform_standin_wire.h"

#include "sardinestream/store/object_json.h"

namespace sardinestream::testing {

void answer_failure(httplib::Response& response, int http_status, absl::string_view reason)
{
    response.status = http_status;
    response.set_content(platform::format_error(http_status, reason), json_type);
}

void answer(httplib::Response& response, const absl::StatusOr<platform::object>& result)
{
    switch (result.status().code()) {
    case absl::StatusCode::kOk:
        response.status = 200;
        response.set_content(platform::format_object(*result), json_type);
        return;
    case absl::StatusCode::kNotFound:
        return answer_failure(response, 404, "NotFound");
    case absl::StatusCode::kAlreadyExists:
        return answer_failure(response, 409, "AlreadyExists");
    case absl::StatusCode::kAborted:
        return answer_failure(response, 409, "Conflict");
    case absl::StatusCode::kResourceExhausted:
        return answer_failure(response, 413, "RequestEntityTooLarge");
    default:
        return answer_failure(response, 422, "Invalid");
    }
}

} // namespace sardinestream::testing
