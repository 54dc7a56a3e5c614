// Tests what a 421 of a server means: another server has its address, or the server itself cannot
// serve this one request because its weights have another version.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

// The id of the first server that the fixture registers.
constexpr char own_id[] = "s0";

class misdirected_test : public frontend_test {
protected:
    // Answers 421 with these headers to requests for a version of the weights, or to all; others
    // are served.
    scripted_server::script misdirecting(const std::string& headers, bool all = false)
    {
        return [this, headers, all](scripted_connection& connection) {
            if (connection.read_request()) {
                if (all || find_header(connection.head.headers, "Version").has_value()) {
                    ++this->misdirected;
                    connection.write(
                        absl::StrCat("HTTP/1.1 421 Misdirected Request\r\nId: ",
                                     find_header(connection.head.headers, "Id").value_or(""),
                                     "\r\n", headers, "Content-Length: 0\r\n\r\n"));
                    return;
                }
                connection.write(answer_to(connection, "served"));
            }
        };
    }

    caller_answer ask(absl::string_view id, absl::string_view headers = "")
    {
        tcp_socket socket = this->connect();
        EXPECT_TRUE(
            socket
                .write_all(absl::StrCat("POST /pay/ HTTP/1.1\r\nHost: shop\r\nId: ", id,
                                        "\r\nKey: k\r\n", headers, "Content-Length: 2\r\n\r\n{}"),
                           soon(), {})
                .ok());
        message_reader reader(socket);
        return read_answer(reader);
    }

    std::atomic<int> misdirected = 0;
};

// Guards against a caller with a wrong version that takes a sound server out of use.
TEST_F(misdirected_test, a_server_without_the_version_asked_for_serves_other_requests)
{
    for (const std::string& headers : {absl::StrCat("Instance: ", own_id, "\r\n"), std::string()}) {
        scripted_server server(this->misdirecting(headers));
        this->use({&server});
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(this->ask(absl::StrCat("p", i), "Version: 2\r\n").head.status, 503);
            EXPECT_EQ(this->ask(absl::StrCat("r", i)).body, "served") << headers;
        }
        this->stop();
        this->stopping = false;
        this->open();
    }
}

TEST_F(misdirected_test, a_request_for_a_version_is_served_by_a_server_that_has_it)
{
    scripted_server older(this->misdirecting(absl::StrCat("Instance: ", own_id, "\r\n")));
    scripted_server newer([](scripted_connection& connection) {
        if (connection.read_request()) {
            connection.write(answer_to(connection, "newer"));
        }
    });
    this->use({&older, &newer});
    for (int i = 0; i < 12; ++i) {
        EXPECT_EQ(this->ask(absl::StrCat("p", i), "Version: 2\r\n").body, "newer");
    }
    EXPECT_GT(this->misdirected, 0);
    EXPECT_EQ(this->replaced, 0);
}

TEST_F(misdirected_test, an_address_that_another_server_has_is_not_used_again)
{
    for (const std::string& headers : {std::string("Instance: other\r\n"), std::string()}) {
        this->misdirected = 0;
        this->replaced = 0;
        scripted_server gone(this->misdirecting(headers, true));
        scripted_server stays(this->misdirecting(""));
        this->servers.set_servers({});
        this->use({&gone, &stays});
        for (int i = 0; i < 12; ++i) {
            EXPECT_EQ(this->ask(absl::StrCat("r", i)).body, "served");
        }
        EXPECT_LE(this->misdirected, 1) << headers;
        // Whoever knows the servers is told of each.
        EXPECT_EQ(this->replaced, this->misdirected) << headers;
        this->stop();
        this->stopping = false;
        this->open();
    }
}

} // namespace
} // namespace sardinestream
