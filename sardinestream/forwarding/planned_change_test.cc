// Tests that requests that were taken are answered whole while a stop, a new desired state or a new
// list of servers comes in the middle of them.

#include <functional>

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr char last_chunk[] = "0\r\n\r\n";
constexpr milliseconds pause{300};

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: piece ", id, "\n\n");
}

class planned_change_test : public frontend_test {
protected:
    static void answer(scripted_connection& connection)
    {
        while (connection.read_request()) {
            connection.write(answer_to(connection, "served"));
        }
    }

    static void stream(scripted_connection& connection)
    {
        while (connection.read_request()) {
            connection.write(stream_head(connection) + chunk(event(1)));
            std::this_thread::sleep_for(pause);
            connection.write(chunk(event(2)) + last_chunk);
        }
    }

    static void wait_for(const std::function<bool()>& condition)
    {
        const steady_time end = soon();
        while (!condition() && steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        EXPECT_TRUE(condition());
    }

    // Brings a desired state without routes, and with limits that forbid any body.
    void change_everything()
    {
        auto changed = std::make_shared<desired_state>();
        changed->version = 2;
        changed->has_teams = true;
        changed->limits.body_bytes = 0;
        changed->limits.header_bytes = 1;
        changed->limits.idle_timeout = milliseconds(1);
        changed->limits.header_timeout = milliseconds(1);
        changed->index_routes();
        this->state = changed;
    }
};

// Guards against an upload that is cut by the limits of a later desired state.
TEST_F(planned_change_test, an_upload_is_read_by_the_limits_under_which_it_began)
{
    scripted_server server(answer);
    this->use({&server});
    tcp_socket socket = this->connect();
    message_reader reader(socket);
    const std::string request = request_text("/read/", "r1");
    ASSERT_TRUE(socket.write_all(request.substr(0, request.size() - 1), soon(), {}).ok());
    wait_for([this] { return this->in_progress.size() == 1; });
    const auto changed = make_state();
    changed->limits.body_bytes = 1;
    changed->limits.header_timeout = milliseconds(1);
    this->state = changed;
    ASSERT_TRUE(socket.write_all(request.substr(request.size() - 1), soon(), {}).ok());
    const caller_answer answer = read_answer(reader);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, "served");
    this->channels.close_stale({});
}

// Guards against a stream that is cut because its route, its service and its server are gone.
TEST_F(planned_change_test, a_stream_goes_on_without_its_route_and_its_server)
{
    scripted_server server(stream);
    this->use({&server});
    tcp_socket socket = this->connect();
    message_reader reader(socket);
    ASSERT_TRUE(socket.write_all(request_text("/tell/", "r1"), soon(), {}).ok());
    wait_for_input(socket.descriptor(), {}, soon());
    this->change_everything();
    this->servers.set_servers({});
    this->channels.close_stale({});
    const caller_answer answer = read_answer(reader);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, event(1) + event(2));
}

// Guards against a waiting request that is lost with the route by which it was admitted.
TEST_F(planned_change_test, a_request_that_waits_is_served_after_its_route_is_gone)
{
    scripted_server server([](scripted_connection& connection) {
        while (connection.read_request()) {
            std::this_thread::sleep_for(pause);
            connection.write(answer_to(connection, "served"));
        }
    });
    this->use({&server});
    backend_server busy;
    busy.id = "s0";
    busy.service = "service";
    busy.slots = 1;
    busy.born_ms = 1;
    busy.endpoint = server.local();
    this->servers.set_servers({busy});
    std::thread first([this] { EXPECT_EQ(this->call("/pay/", "r1").body, "served"); });
    wait_for([&server] { return server.connections() == 1; });
    std::thread second([this] { EXPECT_EQ(this->call("/pay/", "r2").body, "served"); });
    wait_for([this] { return this->servers.waiting() == 1; });
    this->change_everything();
    first.join();
    second.join();
    this->channels.close_stale({});
}

// Guards against a request that is dropped because it came together with the one before it.
TEST_F(planned_change_test, a_pipelined_request_is_served_if_a_stop_begins_before_its_turn)
{
    scripted_server server(stream);
    this->use({&server});
    tcp_socket socket = this->connect();
    message_reader reader(socket);
    ASSERT_TRUE(
        socket.write_all(request_text("/tell/", "r1") + request_text("/tell/", "r2"), soon(), {})
            .ok());
    wait_for_input(socket.descriptor(), {}, soon());
    std::thread stopper([this] { this->stop(); });
    for (const bool keeps : {true, false}) {
        const caller_answer answer = read_answer(reader);
        EXPECT_TRUE(answer.end.ok()) << answer.end;
        EXPECT_EQ(answer.body, event(1) + event(2));
        EXPECT_EQ(answer.head.keeps_alive(), keeps);
    }
    stopper.join();
    this->channels.close_stale({});
}

// Guards against a caller that is asked to send its body to a process that ends before it.
TEST_F(planned_change_test, an_upload_that_was_asked_for_is_refused_whole_at_the_end_of_a_stop)
{
    scripted_server server(answer);
    this->use({&server});
    tcp_socket socket = this->connect();
    message_reader reader(socket);
    ASSERT_TRUE(socket
                    .write_all("POST /pay/ HTTP/1.1\r\nHost: shop\r\nKey: k\r\nId: r1\r\nExpect: "
                               "100-continue\r\nContent-Length: 9\r\n\r\n",
                               soon(), {})
                    .ok());
    const absl::StatusOr<http_response_head> interim =
        reader.read_response_head(message_limits(), false, soon(), {});
    ASSERT_TRUE(interim.ok()) << interim.status();
    EXPECT_EQ(interim->status, 100);
    this->ends_at = steady_clock::now() + pause;
    std::thread stopper([this] { this->stop(); });
    ASSERT_TRUE(socket.write_all("half", soon(), {}).ok());
    const caller_answer answer = read_answer(reader);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_EQ(answer.body, "{\"code\":\"shutting_down\"}");
    stopper.join();
    EXPECT_EQ(server.connections(), 0);
}

// Guards against a caller that gets no answer because only half of its head arrives before the end
// of a stop.
TEST_F(planned_change_test, a_head_that_outlasts_a_stop_is_refused)
{
    scripted_server server(answer);
    this->use({&server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket.write_all("POST /pay/ HTTP/1.1\r\nHost: shop\r\n", soon(), {}).ok());
    std::this_thread::sleep_for(pause);
    const steady_time ends = steady_clock::now() + pause;
    this->ends_at = ends;
    std::thread stopper([this] { this->stop(); });
    message_reader reader(socket);
    const caller_answer refused = read_answer(reader);
    EXPECT_TRUE(refused.end.ok()) << refused.end;
    EXPECT_EQ(refused.head.status, 503);
    EXPECT_LT(steady_clock::now(), ends + std::chrono::milliseconds(1000));
    stopper.join();
    EXPECT_EQ(server.connections(), 0);
}

// Guards against a chunked upload that is dropped because a stop begins between two of its chunks.
TEST_F(planned_change_test, a_chunked_upload_that_ends_during_a_stop_is_served)
{
    scripted_server server(answer);
    this->use({&server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket
                    .write_all("POST /pay/ HTTP/1.1\r\nHost: shop\r\nKey: k\r\nId: r1\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n" +
                                   chunk("first"),
                               soon(), {})
                    .ok());
    // More than the time of a route, so that the request may still be passed on.
    this->ends_at = steady_clock::now() + std::chrono::milliseconds(8000);
    std::thread stopper([this] { this->stop(); });
    std::this_thread::sleep_for(pause);
    ASSERT_TRUE(socket.write_all(chunk("second") + "0\r\n\r\n", soon(), {}).ok());
    message_reader reader(socket);
    const caller_answer answer = read_answer(reader);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, "served");
    stopper.join();
    this->channels.close_stale({});
}

} // namespace
} // namespace sardinestream
