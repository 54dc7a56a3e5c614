// Tests which responses of a back end count as answers.

#include <gtest/gtest.h>

#include "sardinestream/agent/backend_client.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::agent {
namespace {

backend_answer call(const scripted_server& server, const byte_receiver& on_bytes)
{
    backend_client client(server.local());
    backend_request request;
    request.method = "POST";
    request.path = "/run";
    request.deadline = absl::Now() + absl::Seconds(5);
    return client.call(
        request, on_bytes, [](const std::function<void()>&) {}, [] { return false; });
}

// The server may have run the request; nobody waits for the rest of the response.
TEST(backend_client, an_invalid_status_is_a_lost_answer)
{
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        scripted_server server([&status](scripted_connection& connection) {
            while (connection.read_request()) {
                connection.write(
                    absl::StrCat("HTTP/1.1 ", status, " Odd\r\nContent-Length: 9\r\n\r\nodd"));
            }
        });
        EXPECT_EQ(call(server, nullptr).outcome, backend_outcome::lost) << status;
        EXPECT_EQ(call(server, [](absl::string_view) { return true; }).outcome,
                  backend_outcome::lost)
            << status;
        EXPECT_FALSE(backend_client(server.local()).is_responding()) << status;
    }
}

TEST(backend_client, any_other_status_is_an_answer)
{
    for (const std::string status : {"200", "404", "599"}) {
        scripted_server server([&status](scripted_connection& connection) {
            while (connection.read_request()) {
                connection.write(
                    absl::StrCat("HTTP/1.1 ", status, " Some\r\nContent-Length: 3\r\n\r\nany"));
            }
        });
        const backend_answer answer = call(server, nullptr);
        EXPECT_EQ(answer.outcome, backend_outcome::complete) << status;
        EXPECT_EQ(absl::StrCat(answer.status), status);
        EXPECT_EQ(answer.body, "any");
    }
}

// What the server gets is recorded as it comes.
class request_text_test : public ::testing::Test {
protected:
    void send(const std::string& path, const std::vector<std::pair<std::string, std::string>>& more)
    {
        scripted_server server([this](scripted_connection& connection) {
            while (connection.read_request()) {
                this->head = connection.head;
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        });
        backend_client client(server.local());
        backend_request request;
        request.method = "POST";
        request.path = path;
        request.headers = more;
        request.deadline = absl::Now() + absl::Seconds(5);
        const backend_answer answer = client.call(
            request, nullptr, [](const std::function<void()>&) {}, [] { return false; });
        EXPECT_EQ(answer.outcome, backend_outcome::complete) << answer.message;
    }

    http_request_head head;
};

// Guards against a library that encodes a target once more: a plus sign in a query means a blank.
TEST_F(request_text_test, a_target_arrives_as_the_caller_sent_it)
{
    for (const std::string path :
         {"/a+b?q=x+y&z=%2B", "/a%20b%26c", "/a?b='c',(d);e*~", "/a?%zz", "/a//b/../c"}) {
        this->send(path, {});
        EXPECT_EQ(this->head.target, path);
    }
}

// Guards against a target that is another request line to the server.
TEST_F(request_text_test, what_no_target_may_have_is_escaped)
{
    const std::pair<std::string, std::string> cases[] = {{"/a\rb", "/a%0db"},
                                                         {"/a\x01", "/a%01"},
                                                         {"/caf\xc3\xa9", "/caf%c3%a9"},
                                                         {"/a b", "/a%20b"}};
    for (const auto& [path, sent] : cases) {
        this->send(path, {});
        EXPECT_EQ(this->head.target, sent);
    }
}

// Guards against a header that adds another: a library decodes escapes in the headers of callers.
TEST_F(request_text_test, a_header_adds_no_other)
{
    this->send("/run", {{"X-Note", "one\r\nX-Added: 1"},
                        {"X-Other", std::string("a\0b\x7f", 4)},
                        {"X-Plain", "caf\xc3\xa9 \tb%41"}});
    EXPECT_EQ(header_or_empty(this->head.headers, "X-Note"), "one%0d%0aX-Added: 1");
    EXPECT_EQ(header_or_empty(this->head.headers, "X-Other"), "a%00b%7f");
    EXPECT_EQ(header_or_empty(this->head.headers, "X-Plain"), "caf\xc3\xa9 \tb%41");
    EXPECT_EQ(count_header(this->head.headers, "X-Added"), 0);
}

} // namespace
} // namespace sardinestream::agent
