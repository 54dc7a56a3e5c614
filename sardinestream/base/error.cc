#include "sardinestream/base/error.h"

#include "absl/strings/cord.h"

namespace sardinestream {
namespace {

constexpr char step_payload_url[] = "sardinestream/step";
constexpr char peer_payload_url[] = "sardinestream/peer";

std::string payload_of(const absl::Status& status, const char* url)
{
    auto payload = status.GetPayload(url);
    return payload.has_value() ? std::string(*payload) : std::string();
}

} // namespace

absl::Status make_error(absl::StatusCode code, absl::string_view step, absl::string_view peer,
                        absl::string_view message)
{
    absl::Status status(code, message);
    status.SetPayload(step_payload_url, absl::Cord(step));
    status.SetPayload(peer_payload_url, absl::Cord(peer));
    return status;
}

absl::Status with_origin(absl::Status status, absl::string_view step, absl::string_view peer)
{
    if (status.ok() || status.GetPayload(step_payload_url).has_value()) {
        return status;
    }
    status.SetPayload(step_payload_url, absl::Cord(step));
    status.SetPayload(peer_payload_url, absl::Cord(peer));
    return status;
}

std::string step_of(const absl::Status& status)
{
    return payload_of(status, step_payload_url);
}

std::string peer_of(const absl::Status& status)
{
    return payload_of(status, peer_payload_url);
}

} // namespace sardinestream
