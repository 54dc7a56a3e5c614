#include "sardinestream/platform/caller_protocol.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace sardinestream::platform {
namespace {

constexpr int misdirected = 421;
constexpr int unavailable = 503;
// Upper bound on a server's Retry-After: a server that states a longer time may have used the wrong
// unit.
constexpr std::chrono::seconds max_hold_off{300};

// Parts of a prompt that are kept; a longer list is cut off.
constexpr std::size_t max_prompt_parts = 64;

absl::Status bad_header(absl::string_view name)
{
    return make_error(absl::StatusCode::kInvalidArgument, "decode", "caller",
                      absl::StrCat("header ", name));
}

// Returns whether the header is set by this process or addressed to it, and must not be forwarded.
bool is_own_header(absl::string_view name)
{
    return absl::EqualsIgnoreCase(name, wire::authorization) ||
           absl::EqualsIgnoreCase(name, wire::team) ||
           absl::EqualsIgnoreCase(name, wire::expected_server) ||
           absl::EqualsIgnoreCase(name, wire::deadline_ms) ||
           absl::EqualsIgnoreCase(name, wire::last_event_id) ||
           absl::EqualsIgnoreCase(name, "expect");
}

std::string host_name(absl::string_view host)
{
    return std::string(host.substr(0, host.find(':')));
}

absl::Status decode_numeric_headers(const http_headers& headers, caller_request& request)
{
    if (const auto patience = find_header(headers, wire::deadline_ms); patience.has_value()) {
        double milliseconds = 0;
        if (!absl::SimpleAtod(*patience, &milliseconds) || milliseconds < 0) {
            return bad_header(wire::deadline_ms);
        }
        request.time_limit = std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
    }
    // Prompt tokens, then the maximum number of response tokens. Both are only placement hints, so
    // malformed values count as unknown.
    const std::pair<std::string, std::string> counts =
        absl::StrSplit(header_or_empty(headers, wire::token_counts), absl::MaxSplits(',', 1));
    if (!absl::SimpleAtoi(counts.first, &request.prompt_tokens) ||
        !absl::SimpleAtoi(counts.second, &request.max_response_tokens)) {
        request.prompt_tokens = 0;
        request.max_response_tokens = 0;
    }
    double hint = 0;
    if (absl::SimpleAtod(header_or_empty(headers, wire::length_hint), &hint) &&
        std::isfinite(hint) && hint > 0) {
        request.expected_response_tokens = hint;
    }
    return absl::OkStatus();
}

// Returns the ids of a list of ID:TOKENS, without the last, which belongs to the request alone.
std::vector<std::string> decode_prompt_parts(const http_headers& headers)
{
    const std::string list = header_or_empty(headers, wire::prompt_parts);
    absl::string_view shared = list;
    shared = shared.substr(0, shared.rfind(',') == absl::string_view::npos ? 0 : shared.rfind(','));
    std::vector<std::string> ids;
    for (absl::string_view entry : absl::StrSplit(shared, ',', absl::SkipWhitespace())) {
        if (ids.size() == max_prompt_parts) {
            break;
        }
        const absl::string_view id = absl::StripAsciiWhitespace(entry.substr(0, entry.find(':')));
        if (id.empty() || std::find(ids.begin(), ids.end(), id) != ids.end()) {
            continue;
        }
        ids.emplace_back(id);
    }
    return ids;
}

absl::StatusOr<caller_request> decode_request(const http_request_head& head)
{
    for (const char* const single :
         {"host", wire::request_id, wire::deadline_ms, wire::authorization, wire::last_event_id}) {
        if (count_header(head.headers, single) > 1) {
            return bad_header(single);
        }
    }
    const std::optional<absl::string_view> host = find_header(head.headers, "host");
    if (!host.has_value() || !absl::StartsWith(head.target, "/")) {
        return bad_header("host");
    }
    caller_request request;
    request.id = header_or_empty(head.headers, wire::request_id);
    if (request.id.empty()) {
        return bad_header(wire::request_id);
    }
    request.method = head.method;
    request.target = head.target;
    request.host = host_name(*host);
    absl::string_view authorization;
    const std::string credentials = header_or_empty(head.headers, wire::authorization);
    authorization = credentials;
    if (absl::ConsumePrefix(&authorization, wire::key_scheme)) {
        request.key = std::string(absl::StripAsciiWhitespace(authorization));
    }
    request.resume_after = header_or_empty(head.headers, wire::last_event_id);
    request.expects_version = find_header(head.headers, wire::expected_version).has_value();
    request.keep_alive = head.keeps_alive();
    request.accepts_chunked = head.version >= 11;
    SARDINE_RETURN_IF_ERROR(decode_numeric_headers(head.headers, request));
    request.prompt_parts = decode_prompt_parts(head.headers);
    for (http_header& header : end_to_end_headers(head.headers)) {
        if (!is_own_header(header.name)) {
            request.headers.push_back(std::move(header));
        }
    }
    return request;
}

http_headers encode_headers(const caller_request& request, const attempt_details& details)
{
    http_headers headers = request.headers;
    headers.push_back({wire::expected_server, details.server_id});
    if (!details.team.empty()) {
        headers.push_back({wire::team, details.team});
    }
    if (details.remaining_time.has_value()) {
        headers.push_back({wire::deadline_ms, absl::StrCat(details.remaining_time->count())});
    }
    if (!details.resume_after.empty()) {
        headers.push_back({wire::last_event_id, details.resume_after});
    }
    return headers;
}

// A malformed or contradictory header does not mark the server as leaving: its entry in the store
// states that as well.
void read_leaving(const http_response_head& head, response_marks& marks)
{
    const int header_count = count_header(head.headers, wire::server_leaving);
    if (header_count == 0) {
        return;
    }
    const auto leaving_count =
        std::count_if(head.headers.begin(), head.headers.end(), [](const http_header& header) {
            return absl::EqualsIgnoreCase(header.name, wire::server_leaving) && header.value == "1";
        });
    marks.notice.is_leaving = leaving_count == header_count;
    marks.invalid_leaving = leaving_count != header_count;
}

void read_hold_off(const http_response_head& head, response_marks& marks)
{
    const std::optional<absl::string_view> text = find_header(head.headers, wire::retry_after);
    if (!text.has_value()) {
        return;
    }
    double seconds = 0;
    if (head.status != unavailable || count_header(head.headers, wire::retry_after) > 1 ||
        !absl::SimpleAtod(*text, &seconds) || !std::isfinite(seconds) || seconds < 0) {
        marks.invalid_hold_off = true;
        return;
    }
    marks.invalid_hold_off = seconds > max_hold_off.count();
    const double bounded = std::min(seconds, static_cast<double>(max_hold_off.count()));
    const auto wait = std::chrono::milliseconds(static_cast<std::int64_t>(bounded * 1000));
    if (wait.count() > 0) {
        marks.notice.hold_off = wait;
    }
}

void read_max_rate(const http_response_head& head, response_marks& marks)
{
    const std::optional<absl::string_view> text = find_header(head.headers, wire::server_limit);
    if (!text.has_value()) {
        return;
    }
    double per_second = 0;
    if (count_header(head.headers, wire::server_limit) > 1 ||
        !absl::SimpleAtod(*text, &per_second) || !std::isfinite(per_second) || per_second < 0) {
        marks.invalid_max_rate = true;
        return;
    }
    marks.max_rate = per_second;
}

response_marks decode_response(const http_response_head& head)
{
    response_marks marks;
    marks.request_id = header_or_empty(head.headers, wire::request_id);
    marks.is_signed = find_header(head.headers, wire::signature).has_value();
    marks.not_executed = find_header(head.headers, wire::not_executed).has_value();
    marks.misdirected = head.status == misdirected;
    marks.instance_id = header_or_empty(head.headers, wire::instance_id);
    read_leaving(head, marks);
    read_hold_off(head, marks);
    read_max_rate(head, marks);
    return marks;
}

http_headers local_response_headers(const caller_request& request)
{
    if (request.id.empty()) {
        return {};
    }
    return {{wire::request_id, request.id}};
}

} // namespace

wire_protocol make_caller_protocol()
{
    return {decode_request, encode_headers, decode_response, local_response_headers};
}

} // namespace sardinestream::platform
