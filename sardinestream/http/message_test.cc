#include <gtest/gtest.h>

#include "sardinestream/http/message.h"

namespace sardinestream {
namespace {

TEST(end_to_end_headers, drops_hop_by_hop_headers)
{
    const http_headers headers = {{"Host", "a"},          {"Connection", "close, X-Hop"},
                                  {"x-hop", "1"},         {"Transfer-Encoding", "chunked"},
                                  {"Keep-Alive", "5"},    {"X-Kept", "2"},
                                  {"Content-Length", "3"}};
    const http_headers kept = end_to_end_headers(headers);
    ASSERT_EQ(kept.size(), 2U);
    EXPECT_EQ(kept[0].name, "Host");
    EXPECT_EQ(kept[1].name, "X-Kept");
}

// Guards against text of other writers that begins another header.
TEST(append_header, a_value_begins_no_other_header)
{
    for (int byte = 0; byte < 256; ++byte) {
        const char letter = static_cast<char>(byte);
        const bool is_allowed = letter == '\t' || (byte >= ' ' && byte != 127);
        const std::string value = {'a', letter, 'b'};
        EXPECT_EQ(is_header_value(value), is_allowed) << byte;
        std::string text;
        append_header(text, "X-One", value);
        EXPECT_EQ(text, std::string("X-One: a") + (is_allowed ? letter : ' ') + "b\r\n") << byte;
    }
    EXPECT_FALSE(is_header_value(" a"));
    EXPECT_FALSE(is_header_value("a\t"));
    EXPECT_TRUE(is_header_value(""));
}

TEST(find_header, is_case_insensitive)
{
    const http_headers headers = {{"X-One", "1"}};
    EXPECT_EQ(find_header(headers, "x-ONE"), "1");
    EXPECT_FALSE(find_header(headers, "x-two").has_value());
}

TEST(keeps_alive, follows_version_and_connection_header)
{
    http_request_head head;
    EXPECT_TRUE(head.keeps_alive());
    head.version = 10;
    EXPECT_FALSE(head.keeps_alive());
    head.headers = {{"Connection", "keep-alive"}};
    EXPECT_TRUE(head.keeps_alive());
    head.headers = {{"Connection", "foo, Close"}};
    EXPECT_FALSE(head.keeps_alive());
}

// Guards against the end of a body in place of a chunk that happens to be empty.
TEST(encode_chunk, encodes_nothing_for_no_bytes)
{
    EXPECT_EQ(encode_chunk(""), "");
    EXPECT_EQ(encode_chunk("ab"), "2\r\nab\r\n");
}

} // namespace
} // namespace sardinestream
