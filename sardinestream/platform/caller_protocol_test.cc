#include <gtest/gtest.h>

#include "sardinestream/platform/caller_protocol.h"
#include "sardinestream/platform/wire_names.h"

namespace sardinestream::platform {
namespace {

http_request_head make_head()
{
    http_request_head head;
    head.method = "POST";
    head.target = "/a/b?c=1";
    head.headers = {{"Host", "shop.example:80"},       {wire::request_id, "r1"},
                    {wire::deadline_ms, "8000"},       {wire::token_counts, "1460,80"},
                    {"authorization", "Token key1"},   {wire::team, "forged"},
                    {wire::expected_server, "forged"}, {"X-Other", "kept"},
                    {"Connection", "keep-alive"}};
    return head;
}

TEST(caller_protocol, decodes_a_request)
{
    const absl::StatusOr<caller_request> request =
        make_caller_protocol().decode_request(make_head());
    ASSERT_TRUE(request.ok());
    EXPECT_EQ(request->id, "r1");
    EXPECT_EQ(request->host, "shop.example");
    EXPECT_EQ(request->path(), "/a/b");
    EXPECT_EQ(request->key, "key1");
    EXPECT_EQ(request->patience, std::chrono::milliseconds(8000));
    EXPECT_EQ(request->prompt_tokens, 1460);
    EXPECT_EQ(request->answer_tokens, 80);
}

TEST(caller_protocol, shows_the_server_the_team_and_never_the_key)
{
    const wire_protocol protocol = make_caller_protocol();
    const caller_request request = *protocol.decode_request(make_head());
    attempt_details details;
    details.server_id = "i-1";
    details.team = "growers";
    details.time_left = std::chrono::milliseconds(7000);
    const http_headers headers = protocol.encode_headers(request, details);
    EXPECT_FALSE(find_header(headers, wire::authorization).has_value());
    EXPECT_EQ(count_header(headers, wire::team), 1);
    EXPECT_EQ(find_header(headers, wire::team), "growers");
    EXPECT_EQ(count_header(headers, wire::expected_server), 1);
    EXPECT_EQ(find_header(headers, wire::expected_server), "i-1");
    EXPECT_EQ(find_header(headers, wire::deadline_ms), "7000");
    EXPECT_EQ(find_header(headers, wire::request_id), "r1");
    EXPECT_EQ(find_header(headers, wire::token_counts), "1460,80");
    EXPECT_EQ(find_header(headers, "X-Other"), "kept");
    EXPECT_FALSE(find_header(headers, "Connection").has_value());
}

TEST(caller_protocol, drops_a_forged_team_where_none_is_known)
{
    const wire_protocol protocol = make_caller_protocol();
    const http_headers headers =
        protocol.encode_headers(*protocol.decode_request(make_head()), attempt_details());
    EXPECT_FALSE(find_header(headers, wire::team).has_value());
}

TEST(caller_protocol, refuses_doubled_headers)
{
    for (const char* const name : {"host", wire::request_id, wire::authorization}) {
        http_request_head head = make_head();
        head.headers.push_back({name, "again"});
        EXPECT_FALSE(make_caller_protocol().decode_request(head).ok()) << name;
    }
}

TEST(caller_protocol, refuses_a_request_without_id)
{
    http_request_head head = make_head();
    head.headers.erase(head.headers.begin() + 1);
    EXPECT_FALSE(make_caller_protocol().decode_request(head).ok());
}

TEST(caller_protocol, reads_the_marks_of_an_answer)
{
    http_response_head head;
    head.status = 503;
    head.headers = {{wire::request_id, "r1"}, {wire::not_executed, "1"}};
    const answer_marks marks = make_caller_protocol().decode_answer(head);
    EXPECT_EQ(marks.request_id, "r1");
    EXPECT_TRUE(marks.never_ran);
    EXPECT_FALSE(marks.is_signed);
    head.status = 421;
    EXPECT_TRUE(make_caller_protocol().decode_answer(head).wrong_server);
}

} // namespace
} // namespace sardinestream::platform
