#include "sardinestream/backends/refusal.h"

#include <cstdint>

#include "sardinestream/base/error.h"

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/types/optional.h"

namespace sardinestream {
namespace {

constexpr char retry_after_payload[] = "sardinestream/retry-after-ms";

} // namespace

absl::Status refuse(absl::StatusCode code, const std::string& service, absl::string_view reason,
                    std::chrono::milliseconds retry_after)
{
    absl::Status status = make_error(code, "place", service, reason);
    status.SetPayload(retry_after_payload, absl::Cord(absl::StrCat(retry_after.count())));
    return status;
}

std::chrono::milliseconds retry_after_of(const absl::Status& refusal)
{
    const absl::optional<absl::Cord> payload = refusal.GetPayload(retry_after_payload);
    std::int64_t milliseconds = 0;
    if (!payload.has_value() || !absl::SimpleAtoi(std::string(*payload), &milliseconds)) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::milliseconds(milliseconds);
}

} // namespace sardinestream
