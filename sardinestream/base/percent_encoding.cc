#include "sardinestream/base/percent_encoding.h"

#include <vector>

#include <apr_escape.h>

#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

namespace sardinestream {
namespace {

// `text` has no zero byte, at which the library's function ends.
std::string encode_part(absl::string_view text)
{
    const auto length = static_cast<apr_ssize_t>(text.size());
    apr_size_t size = 0;
    apr_escape_urlencoded(nullptr, text.data(), length, &size);
    std::string encoded(size, '\0');
    apr_escape_urlencoded(encoded.data(), text.data(), length, &size);
    // The library counts the zero byte that it adds.
    encoded.resize(size - 1);
    return encoded;
}

} // namespace

std::string percent_encode(absl::string_view text)
{
    std::vector<std::string> parts;
    for (const absl::string_view part : absl::StrSplit(text, '\0')) {
        parts.push_back(part.empty() ? "" : encode_part(part));
    }
    // The library writes a blank as a plus sign, which only forms decode.
    return absl::StrReplaceAll(absl::StrJoin(parts, "%00"), {{"+", "%20"}});
}

} // namespace sardinestream
