#include <gtest/gtest.h>

#include "sardinestream/base/percent_encoding.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"

namespace sardinestream {
namespace {

std::string decode(absl::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        decoded += text[i] == '%' ? absl::HexStringToBytes(text.substr(i + 1, 2))
                                  : std::string(1, text[i]);
        i += text[i] == '%' ? 2 : 0;
    }
    return decoded;
}

// Guards against characters that end a parameter or a request line, or are decoded to others.
TEST(percent_encode, any_byte_arrives_as_it_is)
{
    for (int byte = 0; byte < 256; ++byte) {
        const std::string text = {'a', static_cast<char>(byte), 'b'};
        const std::string encoded = percent_encode(text);
        EXPECT_EQ(decode(encoded), text) << byte;
        for (const char letter : encoded) {
            EXPECT_TRUE(absl::ascii_isalnum(letter) || absl::StrContains("-._*%", letter)) << byte;
        }
    }
}

TEST(percent_encode, text_that_looks_encoded_is_encoded_once)
{
    EXPECT_EQ(percent_encode("a%20b"), "a%2520b");
    EXPECT_EQ(percent_encode("a b"), "a%20b");
}

TEST(percent_encode, keeps_plain_text)
{
    EXPECT_EQ(percent_encode("i-7f3a91c2"), "i-7f3a91c2");
    EXPECT_EQ(percent_encode(""), "");
    EXPECT_EQ(percent_encode(absl::string_view("\0", 1)), "%00");
    EXPECT_EQ(percent_encode(absl::string_view("a\0\0b", 4)), "a%00%00b");
}

} // namespace
} // namespace sardinestream
