// Tests that the emulators of HTTP servers are as strict as a sound one: a lenient one would not
// notice text that a client puts into a target as it is.

#include <gtest/gtest.h>

#include "sardinestream/testing/emulator/connection_server.h"
#include "sardinestream/testing/emulator/request_target.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

TEST(parse_target, decodes_the_query)
{
    const auto target = parse_target("/v1/objects/servers?after=a+b%2Bc%26d%25&watch=5&empty");
    ASSERT_TRUE(target.has_value());
    EXPECT_EQ(target->path, "/v1/objects/servers");
    EXPECT_EQ(target->parameters.at("after"), "a b+c&d%");
    EXPECT_EQ(target->parameters.at("watch"), "5");
    EXPECT_EQ(target->parameters.at("empty"), "");
}

TEST(parse_target, takes_no_malformed_target)
{
    for (const char* const text :
         {"", "*", "v1", "/a b", "/a#b", "/a?b=%", "/a?b=%4", "/a?b=%zz", "/a\"", "/a\\b", "/a|b",
          "/a\r\nb", "/a\x01", "/caf\xc3\xa9", "/a?b=<c>"}) {
        EXPECT_FALSE(parse_target(text).has_value()) << text;
    }
}

TEST(served_connection, refuses_a_request_that_cannot_be_parsed)
{
    const auto server =
        *connection_server::start({"127.0.0.1", 0}, [](served_connection& connection) {
            emulated_request request;
            while (connection.read(request)) {
                connection.answer(200, {}, "");
            }
        });
    for (const char* const target : {"/a b", "/a#b", "/a%", "/a%zz"}) {
        const steady_time end = steady_clock::now() + std::chrono::seconds(5);
        auto socket = tcp_socket::connect(server->local(), end, hangup_watch());
        ASSERT_TRUE(socket.ok());
        ASSERT_TRUE(socket
                        ->write_all(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: a\r\n\r\n"),
                                    end, hangup_watch())
                        .ok());
        message_reader reader(*socket);
        const auto head = reader.read_response_head(message_limits(), false, end, hangup_watch());
        ASSERT_TRUE(head.ok()) << target << head.status();
        EXPECT_EQ(head->status, 400) << target;
    }
}

} // namespace
} // namespace sardinestream::testing
