// Encodes text for the target of an HTTP request, so that it arrives as it is: whatever it holds,
// the text ends no parameter, path segment or request line and is decoded to the same bytes.
//
//     const std::string target = absl::StrCat("/objects?after=", percent_encode(name));

#ifndef SARDINESTREAM_BASE_PERCENT_ENCODING_H_
#define SARDINESTREAM_BASE_PERCENT_ENCODING_H_

#include <string>

#include "absl/strings/string_view.h"

namespace sardinestream {

// Returns `text` as a value of a query or as a segment of a path. Any bytes are allowed. The result
// has letters, digits, `-._*` and escapes `%XX`. It must not be encoded again.
[[nodiscard]] std::string percent_encode(absl::string_view text);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_PERCENT_ENCODING_H_
