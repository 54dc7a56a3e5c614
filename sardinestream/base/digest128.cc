#include "sardinestream/base/digest128.h"

#include "sardinestream/base/digest.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace sardinestream {
namespace {

constexpr std::size_t half_digits = 16;

bool is_lower_hex(absl::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == absl::string_view::npos;
}

} // namespace

std::string digest128::to_hex() const
{
    return absl::StrFormat("%016x%016x", this->high, this->low);
}

digest128 digest_of(absl::string_view domain, std::initializer_list<absl::string_view> fields)
{
    std::string encoded = absl::StrCat(domain.size(), ":", domain);
    for (absl::string_view field : fields) {
        absl::StrAppend(&encoded, field.size(), ":", field);
    }
    const std::string hex = sha256_hex(encoded);
    return parse_digest(absl::string_view(hex).substr(0, 2 * half_digits)).value_or(digest128{});
}

std::optional<digest128> parse_digest(absl::string_view hex)
{
    digest128 digest;
    if (hex.size() != 2 * half_digits || !is_lower_hex(hex) ||
        !absl::SimpleHexAtoi(hex.substr(0, half_digits), &digest.high) ||
        !absl::SimpleHexAtoi(hex.substr(half_digits), &digest.low)) {
        return std::nullopt;
    }
    return digest;
}

} // namespace sardinestream
