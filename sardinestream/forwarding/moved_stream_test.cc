// Tests that a stream that leaves its server for another one loses nothing by it: until the next
// server has sent an event, the first one can go on.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr char last_chunk[] = "0\r\n\r\n";
constexpr char first_ip[] = "127.0.0.1";
constexpr char second_ip[] = "127.0.0.2";
constexpr int last_event = 12;
constexpr milliseconds event_interval{50};
// Longer than the silence after which another server is looked for.
constexpr milliseconds long_silence{1700};
constexpr milliseconds endless_silence{5000};

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: piece ", id, "\n\n");
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

std::string refusal(const scripted_connection& connection, absl::string_view status_line)
{
    return absl::StrCat("HTTP/1.1 ", status_line,
                        "\r\nId: ", *find_header(connection.head.headers, "Id"),
                        "\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n");
}

struct next_server_failure {
    std::string name;
    scripted_server::script script;
};

std::vector<next_server_failure> next_server_failures()
{
    const auto answering = [](const std::string& status_line) {
        return [status_line](scripted_connection& connection) {
            while (connection.read_request()) {
                connection.write(refusal(connection, status_line));
            }
        };
    };
    return {{"refuses", answering("503 Busy")},
            {"is another one", answering("421 Misdirected")},
            {"is over its rate", answering("429 Too Many Requests")},
            {"fails",
             [](scripted_connection& connection) {
                 ASSERT_TRUE(connection.read_request());
                 connection.write(absl::StrCat(
                     "HTTP/1.1 500 Failed\r\nId: ", *find_header(connection.head.headers, "Id"),
                     "\r\nSigned: 1\r\nContent-Length: 4\r\n\r\noops"));
             }},
            {"sends no stream",
             [](scripted_connection& connection) {
                 ASSERT_TRUE(connection.read_request());
                 connection.write(answer_to(connection, "stock"));
             }},
            {"resets",
             [](scripted_connection& connection) {
                 ASSERT_TRUE(connection.read_request());
                 connection.reset();
             }},
            {"breaks off before its first event",
             [](scripted_connection& connection) {
                 ASSERT_TRUE(connection.read_request());
                 connection.write(stream_head(connection) + chunk("id: "));
                 connection.reset();
             }},
            {"is silent",
             [](scripted_connection& connection) {
                 ASSERT_TRUE(connection.read_request());
                 (void)connection.wait_for_end(endless_silence);
             }},
            {"is silent behind its head", [](scripted_connection& connection) {
                 ASSERT_TRUE(connection.read_request());
                 connection.write(stream_head(connection));
                 (void)connection.wait_for_end(endless_silence);
             }}};
}

class moved_stream_test : public frontend_test {
protected:
    moved_stream_test()
    {
        const std::shared_ptr<desired_state> changed = make_state();
        for (route& each : changed->routes) {
            each.timeout = milliseconds(4500);
        }
        changed->index_routes();
        this->state = changed;
    }

    // Sends the events at their interval; its rank delays its group from the first one on.
    scripted_server::script slow_rank()
    {
        return [this](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(stream_head(connection) + chunk(event(1)));
            for (int id = 2; id <= last_event; ++id) {
                std::this_thread::sleep_for(event_interval);
                this->report_slow_rank();
                connection.write(chunk(event(id)));
            }
            connection.write(last_chunk);
        };
    }

    void report_slow_rank()
    {
        this->report_rank(first_ip, 12);
        this->report_rank(second_ip, 1);
    }

    static scripted_server::script silent_for(milliseconds silence)
    {
        return [silence](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(stream_head(connection) + chunk(event(1)));
            std::this_thread::sleep_for(silence);
            connection.write(chunk(events(2, last_event)) + last_chunk);
        };
    }

    // Lets a stream begin at the server at `first_ip`, which is made the only free one meanwhile.
    caller_answer stream_from(const scripted_server& first, const scripted_server& second)
    {
        this->use({&first});
        tcp_socket socket = this->connect();
        EXPECT_TRUE(socket.write_all(request_text("/tell/", "r1"), soon(), {}).ok());
        while (first.connections() == 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        this->use({&first, &second});
        message_reader reader(socket);
        return read_answer(reader);
    }

    void forget_servers()
    {
        this->servers.set_servers({});
        this->channels.close_stale({});
    }

    static void expect_whole(const caller_answer& answer, const std::string& name)
    {
        EXPECT_TRUE(answer.end.ok()) << name << answer.end;
        EXPECT_EQ(answer.body, events(1, last_event)) << name;
    }
};

// Guards against a stream that is cut because the server that it moves to does not take it.
TEST_F(moved_stream_test, a_stream_goes_on_at_its_slow_rank_if_the_next_server_fails)
{
    for (const next_server_failure& failure : next_server_failures()) {
        this->budget = 100;
        scripted_server first(this->slow_rank(), first_ip);
        scripted_server second(failure.script, second_ip);
        expect_whole(this->stream_from(first, second), failure.name);
        EXPECT_EQ(second.connections(), 1) << failure.name;
        EXPECT_EQ(this->budget, 99) << failure.name;
        this->forget_servers();
    }
}

// Guards against the same cut where the stop begins just behind the move.
TEST_F(moved_stream_test, a_stream_goes_on_at_its_slow_rank_if_a_stop_begins_as_it_moves)
{
    for (const next_server_failure& failure : next_server_failures()) {
        scripted_server first(this->slow_rank(), first_ip);
        scripted_server second(
            [&](scripted_connection& connection) {
                this->stopping = true;
                this->ends_at = steady_clock::now() + milliseconds(3000);
                failure.script(connection);
            },
            second_ip);
        expect_whole(this->stream_from(first, second), failure.name);
        this->stopping = false;
        this->ends_at = steady_time::max();
        this->forget_servers();
    }
}

// Guards against a stream that is cut because its silent server was left too soon.
TEST_F(moved_stream_test, a_stream_goes_on_at_its_silent_server_if_the_next_one_fails)
{
    for (const next_server_failure& failure : next_server_failures()) {
        scripted_server first(silent_for(long_silence), first_ip);
        scripted_server second(failure.script, second_ip);
        expect_whole(this->stream_from(first, second), failure.name);
        this->forget_servers();
    }
}

// Guards against the loss of an event of which the server that was left had sent a part.
TEST_F(moved_stream_test, an_event_that_was_half_read_at_the_move_is_whole_behind_the_return)
{
    scripted_server first(
        [](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(stream_head(connection) + chunk(event(1) + event(2).substr(0, 5)));
            std::this_thread::sleep_for(long_silence);
            connection.write(chunk(event(2).substr(5) + events(3, last_event)) + last_chunk);
        },
        first_ip);
    scripted_server second(next_server_failures().front().script, second_ip);
    expect_whole(this->stream_from(first, second), "");
    this->forget_servers();
}

// Guards against servers that work on a stream that has gone on elsewhere.
TEST_F(moved_stream_test, the_server_that_was_left_hears_of_it_once_the_next_one_has_sent_an_event)
{
    constexpr milliseconds notice_time{300};
    std::atomic<steady_time> resumed_at = steady_time::max();
    std::atomic<steady_time> closed_at = steady_time::max();
    scripted_server first(
        [&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(stream_head(connection) + chunk(event(1)));
            std::this_thread::sleep_for(event_interval);
            this->report_slow_rank();
            connection.write(chunk(event(2)));
            EXPECT_TRUE(connection.wait_for_end(endless_silence));
            closed_at = steady_clock::now();
        },
        first_ip);
    scripted_server second(
        [&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            std::this_thread::sleep_for(event_interval);
            resumed_at = steady_clock::now();
            connection.write(stream_head(connection) + chunk(event(3)));
            std::this_thread::sleep_for(2 * notice_time);
            connection.write(chunk(events(4, last_event)) + last_chunk);
        },
        second_ip);
    expect_whole(this->stream_from(first, second), "");
    EXPECT_GT(closed_at.load(), resumed_at.load());
    EXPECT_LT(closed_at.load(), resumed_at.load() + notice_time);
}

} // namespace
} // namespace sardinestream
