#include "sardinestream/testing/emulator/request_target.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace sardinestream::testing {
namespace {

// Percent sign and two digits.
constexpr std::size_t escape_length = 3;

// Returns whether an escape begins at `position`, where a percent sign is.
bool is_escape(absl::string_view text, std::size_t position)
{
    return position + escape_length <= text.size() && absl::ascii_isxdigit(text[position + 1]) &&
           absl::ascii_isxdigit(text[position + 2]);
}

// RFC 3986, section 3.3 and 3.4.
bool is_allowed(char letter)
{
    return absl::ascii_isalnum(letter) || absl::StrContains("-._~!$&'()*+,;=:@/?%", letter);
}

bool is_target(absl::string_view text)
{
    if (text.empty() || text.front() != '/') {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (!is_allowed(text[i]) || (text[i] == '%' && !is_escape(text, i))) {
            return false;
        }
    }
    return true;
}

// `text` has no incomplete escapes.
std::string decode(absl::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%') {
            decoded += absl::HexStringToBytes(text.substr(i + 1, 2));
            i += escape_length - 1;
            continue;
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

} // namespace

std::optional<request_target> parse_target(absl::string_view text)
{
    if (!is_target(text)) {
        return std::nullopt;
    }
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(text, absl::MaxSplits('?', 1));
    request_target target;
    target.path = std::string(parts.first);
    for (const absl::string_view one : absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> named =
            absl::StrSplit(one, absl::MaxSplits('=', 1));
        target.parameters.emplace(decode(named.first), decode(named.second));
    }
    return target;
}

} // namespace sardinestream::testing
