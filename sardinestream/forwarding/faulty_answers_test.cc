// Tests answers of faulty servers that could be mistaken for sound ones: a refusal that is written
// twice, an error in place of the rest of a stream, and a head that ends in its middle.

#include <gmock/gmock.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr char first_event[] = "id: 1\ndata: a\n\n";
constexpr char second_event[] = "id: 2\ndata: b\n\n";

std::string refusal_to(const scripted_connection& connection)
{
    return absl::StrCat("HTTP/1.1 503 Busy\r\nNever-Ran: 1\r\nId: ",
                        find_header(connection.head.headers, "Id").value_or(""),
                        "\r\nContent-Length: 0\r\n\r\n");
}

class faulty_answers_test : public frontend_test {
protected:
    // Serves the beginning of a stream, which breaks off, and then this answer of the next server.
    // Returns what the caller received of the body.
    caller_answer stream_continued_with(const std::string& next_answer)
    {
        std::atomic<int> asked = 0;
        const auto script = [&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            if (asked++ == 0) {
                connection.write(stream_head(connection) + chunk(first_event));
                connection.reset();
                return;
            }
            connection.write(next_answer);
        };
        scripted_server first(script);
        scripted_server second(script);
        this->use({&first, &second});
        caller_answer answer = this->call("/tell/", "r1");
        EXPECT_GE(asked, 2);
        this->stop();
        return answer;
    }

    // Both servers stream without length or chunks, and end the connection. Expects that both are
    // asked, and returns what the caller received.
    caller_answer streams_of_two_servers(const std::string& first_body,
                                         const std::string& second_body)
    {
        std::atomic<int> asked = 0;
        const auto script = [&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\nContent-Type: "
                                          "text/event-stream\r\n\r\n",
                                          asked++ == 0 ? first_body : second_body));
        };
        scripted_server first(script);
        scripted_server second(script);
        this->use({&first, &second});
        caller_answer answer = this->call("/tell/", "r1");
        EXPECT_EQ(asked, 2);
        return answer;
    }
};

TEST_F(faulty_answers_test, a_refusal_that_is_written_twice_never_stands_for_a_run)
{
    std::atomic<int> runs = 0;
    scripted_server server([&](scripted_connection& connection) {
        int arrivals = 0;
        while (connection.read_request()) {
            if (find_header(connection.head.headers, "Id") == "r0") {
                connection.write(answer_to(connection, "kept"));
                continue;
            }
            connection.write(refusal_to(connection));
            if (arrivals++ > 0) {
                ++runs;
                connection.write(answer_to(connection, "run"));
            }
        }
    });
    this->use({&server});
    EXPECT_EQ(this->call("/read/", "r0").head.status, 200);
    const caller_answer answer = this->call("/read/", "r1");
    this->stop();
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_EQ(runs, 0);
}

TEST_F(faulty_answers_test, an_error_of_the_next_server_does_not_enter_a_stream_that_has_begun)
{
    for (const std::string& next :
         {std::string("HTTP/1.1 500 Oops\r\nSigned: 1\r\nId: r1\r\nContent-Length: 9\r\n\r\n"
                      "the error"),
          std::string(
              "HTTP/1.1 503 Busy\r\nNever-Ran: 1\r\nId: r1\r\nContent-Length: 4\r\n\r\nbusy"),
          std::string("HTTP/1.1 404 Gone\r\nSigned: 1\r\nId: r1\r\nContent-Length: 4\r\n\r\ngone"),
          std::string("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\nContent-Length: 5\r\n\r\nplain"),
          std::string("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Ty")}) {
        this->stopping = false;
        this->open();
        const caller_answer answer = this->stream_continued_with(next);
        EXPECT_EQ(answer.head.status, 200) << next;
        EXPECT_EQ(answer.body, first_event) << next;
        EXPECT_FALSE(answer.end.ok()) << next;
    }
}

TEST_F(faulty_answers_test, a_stream_without_event_ids_is_not_begun_again)
{
    std::atomic<int> asked = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++asked;
        connection.write(stream_head(connection) + chunk("data: a\n\n"));
        connection.reset();
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_EQ(answer.body, "data: a\n\n");
    EXPECT_FALSE(answer.end.ok());
    EXPECT_EQ(asked, 1);
}

TEST_F(faulty_answers_test, a_stream_to_a_caller_without_chunks_that_breaks_off_ends_with_a_reset)
{
    this->state = make_state();
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection) + chunk(first_event) + chunk("id: 2\nda"));
        connection.reset();
    });
    this->use({&server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket
                    .write_all("POST /tell/ HTTP/1.0\r\nHost: shop\r\nId: r1\r\nKey: "
                               "k\r\nContent-Length: 2\r\n\r\n{}",
                               soon(), {})
                    .ok());
    message_reader reader(socket);
    const caller_answer answer = read_answer(reader);
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, first_event);
    EXPECT_TRUE(absl::IsUnavailable(answer.end)) << answer.end;
}

TEST_F(faulty_answers_test, a_stream_that_ends_with_its_connection_inside_an_event_is_broken_off)
{
    const caller_answer answer =
        this->streams_of_two_servers(absl::StrCat(first_event, "id: 2\nda"), second_event);
    EXPECT_EQ(answer.body, absl::StrCat(first_event, second_event));
    EXPECT_TRUE(answer.end.ok());
}

TEST_F(faulty_answers_test, a_stream_that_ends_with_its_connection_before_any_event_is_broken_off)
{
    const caller_answer answer =
        this->streams_of_two_servers("", absl::StrCat(first_event, second_event));
    EXPECT_EQ(answer.body, absl::StrCat(first_event, second_event));
    EXPECT_TRUE(answer.end.ok());
}

TEST_F(faulty_answers_test, a_head_that_ends_in_its_middle_is_no_answer)
{
    for (const char* const cut :
         {"HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\nContent-Length: 0",
          "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200"}) {
        scripted_server server([&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(cut);
        });
        this->use({&server});
        EXPECT_EQ(this->call("/pay/", "r1").head.status, 502) << cut;
    }
}

} // namespace
} // namespace sardinestream
