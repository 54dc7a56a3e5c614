#include "sardinestream/http/message.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace sardinestream {
namespace {

constexpr std::array<absl::string_view, 9> hop_by_hop_headers = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length"};

bool is_forbidden_in_header(char letter)
{
    return absl::ascii_iscntrl(letter) && letter != '\t';
}

bool is_hop_by_hop_header(absl::string_view name)
{
    for (const absl::string_view hop : hop_by_hop_headers) {
        if (absl::EqualsIgnoreCase(hop, name)) {
            return true;
        }
    }
    return absl::EqualsIgnoreCase(name, "proxy-connection");
}

bool keeps_alive_in(int version, const http_headers& headers)
{
    if (has_connection_token(headers, "close")) {
        return false;
    }
    return version >= 11 || has_connection_token(headers, "keep-alive");
}

} // namespace

std::optional<absl::string_view> find_header(const http_headers& headers, absl::string_view name)
{
    for (const http_header& header : headers) {
        if (absl::EqualsIgnoreCase(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

std::string header_or_empty(const http_headers& headers, absl::string_view name)
{
    const std::optional<absl::string_view> value = find_header(headers, name);
    return value.has_value() ? std::string(*value) : "";
}

int count_header(const http_headers& headers, absl::string_view name)
{
    int found = 0;
    for (const http_header& header : headers) {
        found += absl::EqualsIgnoreCase(header.name, name) ? 1 : 0;
    }
    return found;
}

bool has_connection_token(const http_headers& headers, absl::string_view token)
{
    for (const http_header& header : headers) {
        if (!absl::EqualsIgnoreCase(header.name, "connection")) {
            continue;
        }
        for (const absl::string_view part : absl::StrSplit(header.value, ',')) {
            if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part), token)) {
                return true;
            }
        }
    }
    return false;
}

http_headers end_to_end_headers(const http_headers& headers)
{
    http_headers kept;
    kept.reserve(headers.size());
    for (const http_header& header : headers) {
        if (is_hop_by_hop_header(header.name) || has_connection_token(headers, header.name)) {
            continue;
        }
        kept.push_back(header);
    }
    return kept;
}

bool http_request_head::keeps_alive() const
{
    return keeps_alive_in(this->version, this->headers);
}

bool http_response_head::keeps_alive() const
{
    return this->framing != body_framing::until_close &&
           keeps_alive_in(this->version, this->headers);
}

bool is_header_value(absl::string_view value)
{
    return absl::StripAsciiWhitespace(value) == value &&
           std::none_of(value.begin(), value.end(), is_forbidden_in_header);
}

void append_header(std::string& text, absl::string_view name, absl::string_view value)
{
    absl::StrAppend(&text, name, ": ");
    const auto begin = static_cast<std::ptrdiff_t>(text.size());
    absl::StrAppend(&text, value);
    std::replace_if(text.begin() + begin, text.end(), is_forbidden_in_header, ' ');
    text += "\r\n";
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool has_body(absl::string_view method, int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return method != "HEAD" && status != no_content && status != not_modified;
}

absl::string_view reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string encode_answer_head(const answer_head& head)
{
    const absl::string_view reason =
        head.reason.empty() ? reason_phrase(head.status) : absl::string_view(head.reason);
    std::string text = absl::StrCat("HTTP/1.1 ", head.status, " ", reason, "\r\n");
    for (const http_header& header : head.headers) {
        append_header(text, header.name, header.value);
    }
    if (head.content_length.has_value()) {
        append_header(text, "Content-Length", absl::StrCat(*head.content_length));
    }
    if (head.chunked) {
        append_header(text, "Transfer-Encoding", "chunked");
    }
    if (!head.keeps_connection) {
        append_header(text, "Connection", "close");
    }
    return text + "\r\n";
}

std::string encode_chunk(absl::string_view bytes)
{
    return bytes.empty() ? "" : absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

} // namespace sardinestream
