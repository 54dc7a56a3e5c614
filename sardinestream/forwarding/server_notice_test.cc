// Tests the complete request path with servers that announce in their responses that they are
// leaving or holding off.

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

class server_notice_test : public frontend_test {
protected:
    // Applies the server list again, as the store still reports it.
    void list_again(const std::vector<const scripted_server*>& scripted) { this->use(scripted); }

    static std::string with_header(const std::string& answer, absl::string_view header)
    {
        const std::size_t end_of_line = answer.find("\r\n") + 2;
        return absl::StrCat(answer.substr(0, end_of_line), header, "\r\n",
                            answer.substr(end_of_line));
    }

    static std::string refusal_of(const scripted_connection& connection, absl::string_view header)
    {
        return absl::StrCat(
            "HTTP/1.1 503 Busy\r\nId: ", *find_header(connection.head.headers, "Id"),
            "\r\nNever-Ran: 1\r\n", header, "\r\nContent-Length: 0\r\n\r\n");
    }
};

// During a store outage, the server list still shows the server as ready.
TEST_F(server_notice_test, a_leaving_server_gets_no_more_requests_even_if_listed_as_ready)
{
    std::atomic<int> asked = 0;
    scripted_server leaves([&](scripted_connection& connection) {
        while (connection.read_request()) {
            ++asked;
            connection.write(with_header(answer_to(connection, "last"), "Leaving: 1"));
        }
    });
    this->use({&leaves});
    EXPECT_EQ(this->call("/read/", "r1").body, "last");
    this->list_again({&leaves});
    EXPECT_EQ(this->call("/read/", "r2").head.status, 503);
    EXPECT_EQ(asked, 1);
}

TEST_F(server_notice_test, detects_leaving_in_a_refusal_and_uses_another_server)
{
    std::atomic<int> asked = 0;
    scripted_server leaves([&](scripted_connection& connection) {
        while (connection.read_request()) {
            ++asked;
            connection.write(refusal_of(connection, "Leaving: 1"));
        }
    });
    scripted_server stays([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(answer_to(connection, "served"));
        }
    });
    this->use({&leaves, &stays});
    for (int i = 0; i < 12; ++i) {
        EXPECT_EQ(this->call("/pay/", absl::StrCat("r", i)).body, "served");
    }
    EXPECT_LE(asked, 1);
}

TEST_F(server_notice_test, detects_leaving_in_a_truncated_response)
{
    std::atomic<int> asked = 0;
    scripted_server leaves([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++asked;
        connection.write(with_header(answer_to(connection, "broken"), "Leaving: 1").substr(0, 70));
        connection.reset();
    });
    this->use({&leaves});
    this->budget = 0;
    EXPECT_EQ(this->call("/pay/", "r1").head.status, 502);
    EXPECT_EQ(this->call("/pay/", "r2").head.status, 503);
    EXPECT_EQ(asked, 1);
}

TEST_F(server_notice_test, a_stream_of_a_leaving_server_continues_to_its_end)
{
    scripted_server leaves([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(with_header(stream_head(connection), "Leaving: 1"));
        connection.write(chunk("id: 1\ndata: a\n\n"));
        std::this_thread::sleep_for(milliseconds(200));
        connection.write(absl::StrCat(chunk("id: 2\ndata: b\n\n"), "0\r\n\r\n"));
    });
    this->use({&leaves});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_TRUE(absl::StrContains(answer.body, "data: b"));
    EXPECT_EQ(this->call("/tell/", "r2").head.status, 503);
}

TEST_F(server_notice_test, ignores_notices_in_responses_that_may_belong_to_another_request)
{
    std::atomic<int> asked = 0;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        switch (asked++) {
        case 0: // No request id.
            connection.write("HTTP/1.1 200 OK\r\nSigned: 1\r\nLeaving: 1\r\n"
                             "Content-Length: 2\r\n\r\nok");
            return;
        case 1: // Response to another request precedes the right one.
            connection.write("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: other\r\nLeaving: 1\r\n"
                             "Content-Length: 2\r\n\r\nno");
            break;
        case 2: // Interim response.
            connection.write("HTTP/1.1 103 Hints\r\nId: r3\r\nLeaving: 1\r\n\r\n");
            break;
        default:
            break;
        }
        connection.write(answer_to(connection, "ok"));
    });
    this->use({&server});
    for (int i = 1; i <= 4; ++i) {
        EXPECT_EQ(this->call("/read/", absl::StrCat("r", i)).body, "ok") << i;
    }
    EXPECT_EQ(asked, 4);
}

TEST_F(server_notice_test, a_server_that_holds_off_is_skipped_and_another_one_used)
{
    std::atomic<int> asked = 0;
    scripted_server holds([&](scripted_connection& connection) {
        while (connection.read_request()) {
            ++asked;
            connection.write(refusal_of(connection, "Retry-After: 60000"));
        }
    });
    scripted_server sound([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(answer_to(connection, "served"));
        }
    });
    this->use({&holds, &sound});
    for (int i = 0; i < 12; ++i) {
        EXPECT_EQ(this->call("/pay/", absl::StrCat("r", i)).body, "served");
    }
    EXPECT_LE(asked, 1);
}

TEST_F(server_notice_test, refuses_at_once_with_retry_after_if_all_servers_hold_off)
{
    scripted_server holds([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(refusal_of(connection, "Retry-After: 20000"));
        }
    });
    this->use({&holds});
    for (const char* const id : {"r1", "r2"}) {
        const steady_time begun = steady_clock::now();
        const caller_answer answer = this->call("/pay/", id);
        EXPECT_EQ(answer.head.status, 503);
        EXPECT_LT(steady_clock::now() - begun, milliseconds(200));
        EXPECT_TRUE(absl::StrContains(answer.body, "not_run"));
        double seconds = 0;
        ASSERT_TRUE(absl::SimpleAtod(*find_header(answer.head.headers, "Retry-After"), &seconds));
        EXPECT_GE(seconds, 19.0);
        EXPECT_LE(seconds, 26.0);
    }
    EXPECT_EQ(holds.connections(), 1);
}

TEST_F(server_notice_test, waits_for_a_server_that_returns_in_time)
{
    std::atomic<int> asked = 0;
    scripted_server holds([&](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(asked++ == 0 ? refusal_of(connection, "Retry-After: 400")
                                          : answer_to(connection, "served"));
        }
    });
    this->use({&holds});
    EXPECT_EQ(this->call("/pay/", "r1").body, "served");
    EXPECT_EQ(asked, 2);
}

TEST_F(server_notice_test, does_not_relay_a_servers_retry_after)
{
    scripted_server fails([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(absl::StrCat("HTTP/1.1 503 Busy\r\nSigned: 1\r\nId: ",
                                          *find_header(connection.head.headers, "Id"),
                                          "\r\nRetry-After: 7777\r\nContent-Length: 0\r\n\r\n"));
        }
    });
    this->use({&fails});
    this->budget = 0;
    const caller_answer answer = this->call("/pay/", "r1");
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_NE(find_header(answer.head.headers, "Retry-After").value_or(""), "7777");
}

} // namespace
} // namespace sardinestream
