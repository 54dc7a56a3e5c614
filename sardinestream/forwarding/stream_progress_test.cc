// Tests that a stream is resumed behind the last event that the caller received, whatever ends an
// attempt: whole events that came with the failure reach the caller, and none that follows a
// malformed one does.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr char head_end[] = "Content-Type: text/event-stream\r\n";
constexpr std::size_t over_max_event_bytes = (1U << 20U) + 1024;

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: piece ", id, "\n\n");
}

// Returns the events `first` to `last`.
std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

std::string head_of(const scripted_connection& connection, absl::string_view framing)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: ",
                        find_header(connection.head.headers, "Id").value_or(""), "\r\n", head_end,
                        framing, "\r\n");
}

class stream_progress_test : public frontend_test {
protected:
    // The first server asked writes `broken` behind the head with `framing` and ends; the next one
    // sends the events up to `last_event` from where it is asked to resume. Returns the caller's
    // answer.
    caller_answer stream_that_breaks_off(const std::string& framing, const std::string& broken,
                                         absl::string_view version = "1.1")
    {
        const auto script = [&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            if (this->asked++ == 0) {
                connection.write(head_of(connection, framing) + broken);
                return;
            }
            this->resumed_after =
                std::string(find_header(connection.head.headers, "After").value_or(""));
            int last = 0;
            (void)absl::SimpleAtoi(this->resumed_after, &last);
            connection.write(stream_head(connection) + chunk(events(last + 1, last_event)) +
                             "0\r\n\r\n");
        };
        scripted_server first(script);
        scripted_server second(script);
        this->use({&first, &second});
        caller_answer answer = this->ask(version);
        this->stop();
        return answer;
    }

    caller_answer ask(absl::string_view version, absl::string_view headers = "")
    {
        tcp_socket socket = this->connect();
        EXPECT_TRUE(socket
                        .write_all(absl::StrCat("POST /tell/ HTTP/", version,
                                                "\r\nHost: shop\r\nId: r1\r\nKey: k\r\n", headers,
                                                "Content-Length: 2\r\n\r\n{}"),
                                   soon(), {})
                        .ok());
        message_reader reader(socket);
        return read_answer(reader);
    }

    // Makes the stream's route one whose requests are not resumed.
    void forbid_resumption()
    {
        const std::shared_ptr<desired_state> changed = make_state();
        for (route& each : changed->routes) {
            each.resumable = false;
        }
        changed->index_routes();
        this->state = changed;
    }

    static constexpr int last_event = 5;
    std::atomic<int> asked = 0;
    std::string resumed_after;
};

// Guards against a resumed stream that lacks the events that came with a truncated one.
TEST_F(stream_progress_test, whole_events_before_a_truncated_one_reach_the_caller_in_all_framings)
{
    const std::string broken = events(1, 2) + event(3).substr(0, 9);
    for (const auto& [framing, body] :
         {std::pair<std::string, std::string>{"Transfer-Encoding: chunked\r\n",
                                              chunk(broken) + "0\r\n\r\n"},
          {"Transfer-Encoding: chunked\r\n", chunk(broken)},
          {absl::StrCat("Content-Length: ", broken.size(), "\r\n"), broken},
          {absl::StrCat("Content-Length: ", broken.size() + 9, "\r\n"), broken},
          {"", broken}}) {
        this->stopping = false;
        this->asked = 0;
        this->open();
        const caller_answer answer = this->stream_that_breaks_off(framing, body);
        EXPECT_EQ(answer.body, events(1, last_event)) << framing;
        EXPECT_TRUE(answer.end.ok()) << framing << answer.end;
        EXPECT_EQ(this->resumed_after, "2") << framing;
    }
}

// Guards against the loss of events that were read with a later, malformed part of the body.
TEST_F(stream_progress_test, whole_events_before_bytes_that_are_no_answer_reach_the_caller)
{
    for (const std::string& garbage :
         {std::string("xyz\r\n"), std::string("5\r\nabcdefg\r\n"), std::string(80000, '1')}) {
        this->stopping = false;
        this->asked = 0;
        this->open();
        const caller_answer answer = this->stream_that_breaks_off("Transfer-Encoding: chunked\r\n",
                                                                  chunk(events(1, 2)) + garbage);
        EXPECT_EQ(answer.body, events(1, last_event)) << garbage.substr(0, 8);
        EXPECT_EQ(this->resumed_after, "2") << garbage.substr(0, 8);
    }
}

// Guards against the loss of events that end in the same read as an event beyond the size limit.
TEST_F(stream_progress_test, whole_events_before_one_that_is_too_long_reach_the_caller)
{
    const caller_answer answer = this->stream_that_breaks_off(
        "Transfer-Encoding: chunked\r\n",
        chunk(events(1, 2) + "id: 3\ndata: " + std::string(over_max_event_bytes, 'x')));
    EXPECT_EQ(answer.body, events(1, last_event));
    EXPECT_EQ(this->resumed_after, "2");
}

// Guards against a caller that gets events of another run, or too many or too few: ids that go
// back, come again for another event, or stand in one event are found.
TEST_F(stream_progress_test, a_stream_with_a_malformed_event_is_resumed_before_it)
{
    const std::string again = "id: 2\ndata: another piece\n\n";
    const std::string merged = "id: 3\ndata: piece 3\n" + event(4);
    for (const std::string& malformed : {event(4) + event(3), again, merged}) {
        this->stopping = false;
        this->asked = 0;
        this->open();
        const caller_answer answer =
            this->stream_that_breaks_off("Transfer-Encoding: chunked\r\n",
                                         chunk(events(1, 2) + malformed + event(5)) + "0\r\n\r\n");
        EXPECT_EQ(answer.body, events(1, last_event)) << malformed;
        EXPECT_TRUE(answer.end.ok()) << malformed;
        EXPECT_EQ(this->resumed_after, "2") << malformed;
    }
}

// Guards against events that reach the caller twice where a server sends a part of its stream
// again.
TEST_F(stream_progress_test, events_that_come_again_are_left_out)
{
    this->forbid_resumption();
    const caller_answer answer = this->stream_that_breaks_off(
        "Transfer-Encoding: chunked\r\n",
        chunk(events(1, 3) + events(2, 3) + events(4, 5)) + "0\r\n\r\n");
    EXPECT_EQ(answer.body, events(1, last_event));
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(this->asked, 1);
}

// Guards against a stream that lacks an event and ends as if it were whole: the event came after a
// later one that the caller had got, at the same server or at the next one.
TEST_F(stream_progress_test, a_stream_that_lacks_an_event_does_not_look_whole)
{
    const std::string late = event(20) + event(40);
    for (const bool is_resumed : {false, true}) {
        this->stopping = false;
        this->asked = 0;
        this->open();
        const auto script = [&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            if (this->asked++ == 0) {
                connection.write(stream_head(connection) + chunk(event(10) + event(30)));
                std::this_thread::sleep_for(milliseconds(100));
                if (is_resumed) {
                    connection.reset();
                    return;
                }
                connection.write(chunk(late) + "0\r\n\r\n");
                return;
            }
            connection.write(stream_head(connection) + chunk(late) + "0\r\n\r\n");
        };
        scripted_server first(script);
        scripted_server second(script);
        this->use({&first, &second});
        const caller_answer answer = this->ask("1.1");
        EXPECT_EQ(answer.body, event(10) + event(30)) << is_resumed;
        EXPECT_FALSE(answer.end.ok()) << is_resumed;
        EXPECT_EQ(this->asked, is_resumed ? 2 : 1);
        this->stop();
    }
}

// Guards against sound streams that are broken off because their ids leave gaps (review 14), in all
// framings, with and without chunks for the caller, and where no server may resume them.
TEST_F(stream_progress_test, a_stream_whose_ids_leave_gaps_is_whole)
{
    const std::string whole = event(10) + event(20) + event(21) + event(500);
    this->forbid_resumption();
    const std::string with_length = absl::StrCat("Content-Length: ", whole.size(), "\r\n");
    for (const char* const version : {"1.1", "1.0"}) {
        for (const auto& [framing, body] :
             {std::pair<std::string, std::string>{"Transfer-Encoding: chunked\r\n",
                                                  chunk(whole) + "0\r\n\r\n"},
              {with_length, whole},
              {"", whole}}) {
            this->stopping = false;
            this->asked = 0;
            this->open();
            const caller_answer answer = this->stream_that_breaks_off(framing, body, version);
            EXPECT_EQ(answer.body, whole) << version << framing;
            EXPECT_TRUE(answer.end.ok()) << version << framing << answer.end;
            EXPECT_EQ(this->asked, 1) << version << framing;
        }
    }
}

// Guards against a stream with gaps that is not resumed, or at the wrong place.
TEST_F(stream_progress_test, a_stream_whose_ids_leave_gaps_is_resumed_behind_the_last_one)
{
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (this->asked++ == 0) {
            connection.write(stream_head(connection) + chunk(event(10) + event(20) + "id: 3"));
            connection.reset();
            return;
        }
        this->resumed_after =
            std::string(find_header(connection.head.headers, "After").value_or(""));
        connection.write(stream_head(connection) + chunk(event(20) + event(35) + event(36)) +
                         "0\r\n\r\n");
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->ask("1.1");
    EXPECT_EQ(answer.body, event(10) + event(20) + event(35) + event(36));
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(this->resumed_after, "20");
}

// Guards against the loss of the first events where no other server may resume the stream.
TEST_F(stream_progress_test, whole_events_reach_the_caller_of_a_stream_that_cannot_be_resumed)
{
    this->forbid_resumption();
    const caller_answer answer =
        this->stream_that_breaks_off("Transfer-Encoding: chunked\r\n",
                                     chunk(events(1, 2) + event(3).substr(0, 9)) + "0\r\n\r\n");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, events(1, 2));
    EXPECT_FALSE(answer.end.ok());
    EXPECT_EQ(this->asked, 1);
}

// Guards against the same loss for a caller whose answer ends with its connection.
TEST_F(stream_progress_test, whole_events_reach_a_caller_without_chunks)
{
    this->forbid_resumption();
    const caller_answer answer = this->stream_that_breaks_off(
        "Transfer-Encoding: chunked\r\n", chunk(events(1, 2) + event(3).substr(0, 9)) + "0\r\n\r\n",
        "1.0");
    EXPECT_EQ(answer.body, events(1, 2));
    EXPECT_TRUE(absl::IsUnavailable(answer.end)) << answer.end;
}

// Guards against a caller that resumes and is refused because ids leave a gap behind its position,
// or gets events that it has.
TEST_F(stream_progress_test, a_caller_that_resumes_gets_what_follows_its_position)
{
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++this->asked;
        connection.write(stream_head(connection) + chunk(event(2) + event(4) + event(9)) +
                         "0\r\n\r\n");
    });
    this->use({&server});
    const caller_answer answer = this->ask("1.1", "After: 2\r\n");
    EXPECT_EQ(answer.body, event(4) + event(9));
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(this->asked, 1);
}

// Guards against events behind one that goes back, for a caller that resumes.
TEST_F(stream_progress_test, a_caller_that_resumes_gets_no_event_behind_one_that_goes_back)
{
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++this->asked;
        connection.write(stream_head(connection) + chunk(event(2) + event(1) + event(5)) +
                         "0\r\n\r\n");
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->ask("1.1", "After: 2\r\n");
    EXPECT_EQ(answer.body, "{\"code\":\"outcome_unknown\"}");
    EXPECT_EQ(answer.head.status, 502);
    EXPECT_EQ(this->asked, 2);
}

// Guards against events that are lost because the request's time ends while they are written.
TEST_F(stream_progress_test, events_that_came_in_time_reach_a_caller_that_reads_late)
{
    constexpr std::size_t long_event_bytes = 900U << 10U;
    constexpr int long_events = 8;
    std::string body;
    for (int id = 1; id <= long_events; ++id) {
        body += absl::StrCat("id: ", id, "\ndata: ", std::string(long_event_bytes, 'x'), "\n\n");
    }
    const std::shared_ptr<desired_state> changed = make_state();
    for (route& each : changed->routes) {
        each.timeout = milliseconds(400);
    }
    changed->index_routes();
    this->state = changed;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection) + chunk(body) + "0\r\n\r\n");
    });
    this->use({&server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket.write_all(request_text("/tell/", "r1"), soon(), {}).ok());
    std::this_thread::sleep_for(milliseconds(500));
    message_reader reader(socket);
    absl::StatusOr<http_response_head> head =
        reader.read_response_head(message_limits(), false, soon(), {});
    ASSERT_TRUE(head.ok());
    std::string received;
    (void)reader.read_body(16U << 20U, received, soon(), {});
    // Every event that is there is whole.
    EXPECT_FALSE(received.empty());
    EXPECT_EQ(received.substr(received.size() - 2), "\n\n");
}

} // namespace
} // namespace sardinestream
