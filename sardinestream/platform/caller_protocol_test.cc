#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/platform/caller_protocol.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/str_cat.h"

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
    EXPECT_EQ(request->time_limit, std::chrono::milliseconds(8000));
    EXPECT_EQ(request->prompt_tokens, 1460);
    EXPECT_EQ(request->max_response_tokens, 80);
}

double length_hint(const std::string& text)
{
    http_request_head head = make_head();
    head.headers.push_back({wire::length_hint, text});
    return make_caller_protocol().decode_request(head)->expected_response_tokens;
}

TEST(caller_protocol, decodes_the_expected_length_of_the_answer)
{
    EXPECT_EQ(length_hint("138"), 138);
    EXPECT_EQ(length_hint(" 138.5 "), 138.5);
    EXPECT_EQ(length_hint("36893488147419103232"), 36893488147419103232.0);
    for (const char* const none : {"", "-5", "0", "many", "12x", "nan", "inf", "-inf", "1e999"}) {
        EXPECT_EQ(length_hint(none), 0) << none;
    }
}

std::vector<std::string> parts_of(const std::string& list)
{
    http_request_head head = make_head();
    head.headers.push_back({wire::prompt_parts, list});
    return make_caller_protocol().decode_request(head)->prompt_parts;
}

TEST(caller_protocol, decodes_the_shared_parts_of_a_prompt)
{
    EXPECT_THAT(parts_of("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),
                testing::ElementsAre("5c1e07a2", "91bd3f06"));
    EXPECT_THAT(parts_of("a:1,a:1,b:2,a:1,c:3"), testing::ElementsAre("a", "b"));
}

TEST(caller_protocol, a_prompt_may_have_no_shared_parts)
{
    EXPECT_THAT(make_caller_protocol().decode_request(make_head())->prompt_parts,
                testing::IsEmpty());
    for (const char* const list : {"", "a:1", ",", ",,,a:1", ":5,:6,b:1"}) {
        EXPECT_THAT(parts_of(list), testing::IsEmpty()) << list;
    }
}

TEST(caller_protocol, bounds_the_number_of_parts_and_keeps_long_ids_whole)
{
    std::string many;
    for (int i = 0; i < 5000; ++i) {
        many += absl::StrCat("p", i, ":1,");
    }
    EXPECT_LT(parts_of(many + "own:1").size(), 100U);
    const std::string long_id(1000, 'f');
    EXPECT_THAT(parts_of(absl::StrCat(long_id, ":1,own:1")), testing::ElementsAre(long_id));
}

TEST(caller_protocol, sends_the_server_the_team_and_never_the_key)
{
    const wire_protocol protocol = make_caller_protocol();
    const caller_request request = *protocol.decode_request(make_head());
    attempt_details details;
    details.server_id = "i-1";
    details.team = "growers";
    details.remaining_time = std::chrono::milliseconds(7000);
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

TEST(caller_protocol, drops_a_forged_team_if_none_is_known)
{
    const wire_protocol protocol = make_caller_protocol();
    const http_headers headers =
        protocol.encode_headers(*protocol.decode_request(make_head()), attempt_details());
    EXPECT_FALSE(find_header(headers, wire::team).has_value());
}

TEST(caller_protocol, refuses_duplicate_headers)
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

TEST(caller_protocol, decodes_a_response)
{
    http_response_head head;
    head.status = 503;
    head.headers = {{wire::request_id, "r1"}, {wire::not_executed, "1"}};
    const response_marks marks = make_caller_protocol().decode_response(head);
    EXPECT_EQ(marks.request_id, "r1");
    EXPECT_TRUE(marks.not_executed);
    EXPECT_FALSE(marks.is_signed);
    head.status = 421;
    head.headers.push_back({wire::instance_id, "i-1"});
    const response_marks misdirected = make_caller_protocol().decode_response(head);
    EXPECT_TRUE(misdirected.misdirected);
    EXPECT_EQ(misdirected.instance_id, "i-1");
}

http_response_head answered(int status, const http_headers& headers)
{
    http_response_head head;
    head.status = status;
    head.headers = headers;
    return head;
}

response_marks marks_of(int status, const http_headers& headers)
{
    return make_caller_protocol().decode_response(answered(status, headers));
}

TEST(caller_protocol, reads_server_leaving_from_any_response)
{
    for (const int status : {200, 404, 429, 500, 503}) {
        EXPECT_TRUE(marks_of(status, {{"server-leaving", "1"}}).notice.is_leaving) << status;
    }
    EXPECT_TRUE(marks_of(200, {}).notice.is_empty());
}

TEST(caller_protocol, ignores_a_malformed_server_leaving_header)
{
    for (const char* const value : {"", "0", "true", "yes", "11", "1, 1", "1;now"}) {
        const response_marks marks = marks_of(200, {{wire::server_leaving, value}});
        EXPECT_FALSE(marks.notice.is_leaving) << value;
        EXPECT_TRUE(marks.invalid_leaving) << value;
    }
    const response_marks twice =
        marks_of(200, {{wire::server_leaving, "1"}, {wire::server_leaving, "0"}});
    EXPECT_FALSE(twice.notice.is_leaving);
    EXPECT_TRUE(twice.invalid_leaving);
    const response_marks repeated =
        marks_of(200, {{wire::server_leaving, "1"}, {wire::server_leaving, "1"}});
    EXPECT_TRUE(repeated.notice.is_leaving);
    EXPECT_FALSE(repeated.invalid_leaving);
}

TEST(caller_protocol, reads_the_hold_off_time)
{
    EXPECT_EQ(marks_of(503, {{"Retry-After", "2"}}).notice.hold_off,
              std::chrono::milliseconds(2000));
    EXPECT_EQ(marks_of(503, {{"Retry-After", "0.25"}}).notice.hold_off,
              std::chrono::milliseconds(250));
    const response_marks none = marks_of(503, {{"Retry-After", "0"}});
    EXPECT_TRUE(none.notice.is_empty());
    EXPECT_FALSE(none.invalid_hold_off);
}

TEST(caller_protocol, ignores_a_malformed_retry_after)
{
    for (const char* const value :
         {"", "-1", "soon", "nan", "inf", "1 s", "2, 3", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
        const response_marks marks = marks_of(503, {{"Retry-After", value}});
        EXPECT_FALSE(marks.notice.hold_off.has_value()) << value;
        EXPECT_TRUE(marks.invalid_hold_off) << value;
    }
    const response_marks twice = marks_of(503, {{"Retry-After", "1"}, {"Retry-After", "2"}});
    EXPECT_FALSE(twice.notice.hold_off.has_value());
    EXPECT_TRUE(twice.invalid_hold_off);
}

TEST(caller_protocol, ignores_retry_after_without_a_refusal)
{
    for (const int status : {200, 429, 500}) {
        const response_marks marks = marks_of(status, {{"Retry-After", "2"}});
        EXPECT_FALSE(marks.notice.hold_off.has_value()) << status;
        EXPECT_TRUE(marks.invalid_hold_off) << status;
    }
}

TEST(caller_protocol, limits_an_excessive_retry_after)
{
    for (const char* const value : {"301", "86400", "1e300"}) {
        const response_marks marks = marks_of(503, {{"Retry-After", value}});
        EXPECT_EQ(marks.notice.hold_off, std::chrono::minutes(5)) << value;
        EXPECT_TRUE(marks.invalid_hold_off) << value;
    }
}

response_marks marks_with_limit(const std::vector<std::string>& values)
{
    http_response_head head;
    head.status = 200;
    for (const std::string& value : values) {
        head.headers.push_back({wire::server_limit, value});
    }
    return make_caller_protocol().decode_response(head);
}

TEST(caller_protocol, decodes_the_rate_that_a_server_names)
{
    EXPECT_EQ(marks_with_limit({"2.5"}).max_rate, 2.5);
    EXPECT_EQ(marks_with_limit({"0"}).max_rate, 0);
    EXPECT_EQ(marks_with_limit({}).max_rate, std::nullopt);
    EXPECT_FALSE(marks_with_limit({}).invalid_max_rate);
    EXPECT_EQ(marks_with_limit({"2." + std::string(5000, '0')}).max_rate, 2);
}

TEST(caller_protocol, a_malformed_rate_is_invalid_and_no_limit)
{
    for (const std::string& value :
         {std::string("-1"), std::string("nan"), std::string("inf"), std::string("many"),
          std::string(), std::string("2 per s"), std::string(5000, '9')}) {
        EXPECT_EQ(marks_with_limit({value}).max_rate, std::nullopt) << value;
        EXPECT_TRUE(marks_with_limit({value}).invalid_max_rate) << value;
    }
    EXPECT_TRUE(marks_with_limit({"2", "3"}).invalid_max_rate);
}

} // namespace
} // namespace sardinestream::platform
