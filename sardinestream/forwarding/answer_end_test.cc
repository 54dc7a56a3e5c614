// Tests that nothing follows the end of an answer on a kept connection: the next answer begins
// there.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

constexpr char first_event[] = "id: 1\ndata: a\n\n";

class answer_end_test : public frontend_test {
protected:
    static std::string stream_head_with(const scripted_connection& connection,
                                        absl::string_view framing)
    {
        return absl::StrCat("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: ",
                            find_header(connection.head.headers, "Id").value_or(""),
                            "\r\nContent-Type: text/event-stream\r\n", framing, "\r\n");
    }

    // Sends `request`, then another request on the same connection. Returns the first answer, and
    // expects that the second one begins where the first one ends.
    caller_answer expect_sound_next_answer(const std::string& request)
    {
        tcp_socket socket = this->connect();
        message_reader reader(socket);
        EXPECT_TRUE(socket.write_all(request, soon(), {}).ok());
        const bool to_head = absl::StartsWith(request, "HEAD");
        caller_answer answer;
        const absl::StatusOr<http_response_head> head =
            reader.read_response_head(message_limits(), to_head, soon(), {});
        answer.end = head.status();
        if (!head.ok()) {
            return answer;
        }
        answer.head = *head;
        answer.end = reader.read_body(max_body_bytes, answer.body, soon(), {});
        EXPECT_TRUE(head->keeps_alive());
        EXPECT_TRUE(socket.write_all(request_text("/read/", "next"), soon(), {}).ok());
        const caller_answer next = read_answer(reader);
        EXPECT_TRUE(next.end.ok()) << next.end;
        EXPECT_EQ(next.body, "next");
        EXPECT_FALSE(reader.has_surplus());
        return answer;
    }

    // Serves streams by `stream`, and other requests with a short answer.
    static scripted_server::script serve(const std::function<void(scripted_connection&)>& stream)
    {
        return [stream](scripted_connection& connection) {
            while (connection.read_request()) {
                if (connection.head.target == "/read/") {
                    connection.write(answer_to(connection, "next"));
                    continue;
                }
                stream(connection);
            }
        };
    }

    // Ends the connections to the servers, too, whose scripts wait for another request.
    void close_all()
    {
        this->stop();
        this->channels.close_stale({});
    }

    static std::string bodiless_request(absl::string_view method, absl::string_view target,
                                        absl::string_view key = "k")
    {
        return absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: shop\r\nId: r1\r\nKey: ", key,
                            "\r\n\r\n");
    }

    static constexpr std::size_t max_body_bytes = 1U << 20U;
};

// Guards against a second last chunk behind a stream that has no event, whatever frames it.
TEST_F(answer_end_test, a_stream_without_events_ends_once)
{
    for (const bool chunked : {true, false}) {
        for (const char* const resumed : {"", "After: 26\r\n"}) {
            this->stopping = false;
            this->open();
            scripted_server server(serve([chunked](scripted_connection& connection) {
                const std::string framing =
                    chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 0\r\n";
                connection.write(stream_head_with(connection, framing) +
                                 (chunked ? std::string(last_chunk) : ""));
            }));
            this->use({&server});
            const caller_answer answer = this->expect_sound_next_answer(
                absl::StrCat("POST /tell/ HTTP/1.1\r\nHost: shop\r\nId: r1\r\nKey: k\r\n", resumed,
                             "Content-Length: 2\r\n\r\n{}"));
            EXPECT_TRUE(answer.end.ok()) << answer.end;
            EXPECT_EQ(answer.body, "");
            this->close_all();
        }
    }
}

// Guards against a second end of a stream of which another server adds nothing but the end.
TEST_F(answer_end_test, a_stream_whose_rest_at_the_next_server_is_empty_ends_once)
{
    std::atomic<int> asked = 0;
    const auto script = serve([&](scripted_connection& connection) {
        if (asked++ == 0) {
            connection.write(stream_head(connection) + chunk(first_event));
            connection.reset();
            return;
        }
        connection.write(stream_head(connection) + std::string(last_chunk));
    });
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->expect_sound_next_answer(request_text("/tell/", "r1"));
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, first_event);
    EXPECT_EQ(asked, 2);
    this->close_all();
}

// Guards against an empty stream that a caller without chunks takes for one that broke off.
TEST_F(answer_end_test, a_stream_without_events_ends_with_the_connection_of_an_old_caller)
{
    scripted_server server(serve([&](scripted_connection& connection) {
        connection.write(stream_head(connection) + std::string(last_chunk));
    }));
    this->use({&server});
    tcp_socket socket = this->connect();
    EXPECT_TRUE(socket
                    .write_all("POST /tell/ HTTP/1.0\r\nHost: shop\r\nId: r1\r\nKey: k\r\n"
                               "Content-Length: 2\r\n\r\n{}",
                               soon(), {})
                    .ok());
    message_reader reader(socket);
    const caller_answer answer = read_answer(reader);
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, "");
    this->close_all();
}

// Guards against chunks behind the head of an answer that has no body.
TEST_F(answer_end_test, a_stream_that_is_answered_without_a_body_ends_with_its_head)
{
    scripted_server server(serve([&](scripted_connection& connection) {
        const bool to_head = connection.head.method == "HEAD";
        connection.write(absl::StrCat("HTTP/1.1 ", to_head ? "200 OK" : "204 No Content",
                                      "\r\nSigned: 1\r\nId: r1\r\n",
                                      to_head ? "Transfer-Encoding: chunked\r\n" : "",
                                      "Content-Type: text/event-stream\r\n\r\n"));
    }));
    this->use({&server});
    EXPECT_EQ(this->expect_sound_next_answer(bodiless_request("HEAD", "/tell/")).head.status, 200);
    EXPECT_EQ(this->expect_sound_next_answer(bodiless_request("GET", "/tell/")).head.status, 204);
    this->close_all();
}

// Guards against the body of a refusal behind the answer to a HEAD request.
TEST_F(answer_end_test, a_refusal_of_a_head_request_ends_with_its_head)
{
    scripted_server server(serve([](scripted_connection& connection) {
        connection.write(
            "HTTP/1.1 503 Busy\r\nNever-Ran: 1\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
    }));
    this->use({&server});
    EXPECT_EQ(this->expect_sound_next_answer(bodiless_request("HEAD", "/none/")).head.status, 404);
    EXPECT_EQ(
        this->expect_sound_next_answer(bodiless_request("HEAD", "/read/x", "bad")).head.status,
        401);
    EXPECT_EQ(this->expect_sound_next_answer(bodiless_request("HEAD", "/pay/")).head.status, 503);
    this->close_all();
}

} // namespace
} // namespace sardinestream
