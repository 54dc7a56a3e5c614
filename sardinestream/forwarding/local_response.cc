#include "sardinestream/forwarding/local_response.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Assumed for a server that does not state how long it keeps an idle connection.
constexpr milliseconds default_idle_timeout{2000};

} // namespace

bool is_event_stream(const http_response_head& head)
{
    const std::optional<absl::string_view> type = find_header(head.headers, "content-type");
    return type.has_value() && absl::StartsWithIgnoreCase(*type, "text/event-stream");
}

milliseconds idle_timeout_of(const http_response_head& head)
{
    const std::optional<absl::string_view> value = find_header(head.headers, "keep-alive");
    if (!value.has_value()) {
        return default_idle_timeout;
    }
    for (absl::string_view part : absl::StrSplit(*value, ',')) {
        const std::pair<absl::string_view, absl::string_view> pair = absl::StrSplit(part, '=');
        int seconds = 0;
        if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(pair.first), "timeout") &&
            absl::SimpleAtoi(pair.second, &seconds)) {
            return std::chrono::seconds(seconds);
        }
    }
    return default_idle_timeout;
}

std::string encode_local_response(const http_headers& headers, const local_response& response)
{
    const std::string body = absl::StrCat("{\"code\":\"", response.code, "\"}");
    answer_head head = {response.status, "", headers, body.size(), false, response.keep};
    head.headers.push_back({"Content-Type", "application/json"});
    if (response.retry_after.count() > 0) {
        constexpr double ms_per_s = 1000.0;
        head.headers.push_back(
            {"Retry-After",
             absl::StrFormat("%.3f",
                             static_cast<double>(response.retry_after.count()) / ms_per_s)});
    }
    return encode_answer_head(head) + (has_body(response.method, response.status) ? body : "");
}

bool write_local_response(tcp_socket& caller, const http_headers& headers,
                          const local_response& response)
{
    const bool written =
        caller
            .write_all(encode_local_response(headers, response),
                       steady_clock::now() + local_response_timeout, hangup_watch())
            .ok();
    return written && response.keep;
}

} // namespace sardinestream
