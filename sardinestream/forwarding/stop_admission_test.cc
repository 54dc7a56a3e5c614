// Tests what a process that stops passes on: what it can answer by the pace of the service.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr char one_event[] = "id: 1\ndata: piece 1\n\n";
constexpr char second_event[] = "id: 2\ndata: piece 2\n\n";
constexpr char last_chunk[] = "0\r\n\r\n";
constexpr char server_ip[] = "127.0.0.1";
// More than it takes to know the pace of a service.
constexpr int enough_answers = 12;
// Of each server of `use`.
constexpr int server_slots = 4;
constexpr milliseconds form_time{1000};

class stop_admission_test : public frontend_test {
protected:
    stop_admission_test()
    {
        const std::shared_ptr<desired_state> changed = make_state();
        for (route& each : changed->routes) {
            each.timeout = milliseconds(8000);
        }
        changed->index_routes();
        this->state = changed;
    }

    // Ends the idle connections first, since the server waits for their ends.
    void TearDown() override
    {
        this->stop();
        this->channels.close_stale({});
        this->server.reset();
        this->second_server.reset();
    }

    void serve(scripted_server::script script)
    {
        this->server = std::make_unique<scripted_server>(std::move(script), server_ip);
        this->use({this->server.get()});
    }

    void serve_with_two(const scripted_server::script& script)
    {
        this->server = std::make_unique<scripted_server>(script, server_ip);
        this->second_server = std::make_unique<scripted_server>(script, server_ip);
        this->use({this->server.get(), this->second_server.get()});
    }

    // Answers each request; streams last for `duration`, with an event halfway.
    scripted_server::script answering(milliseconds duration)
    {
        return [this, duration](scripted_connection& connection) {
            while (connection.read_request()) {
                ++this->asked;
                if (connection.head.target != "/tell/") {
                    while (this->occupied) {
                        std::this_thread::sleep_for(milliseconds(1));
                    }
                    connection.write(answer_to(connection, "stock"));
                    continue;
                }
                connection.write(stream_head(connection) + chunk(one_event));
                std::this_thread::sleep_for(duration / 2);
                connection.write(chunk(second_event));
                std::this_thread::sleep_for(duration / 2);
                connection.write(last_chunk);
            }
        };
    }

    void call_often(absl::string_view target)
    {
        for (int i = 0; i < enough_answers; ++i) {
            EXPECT_EQ(this->call(target, absl::StrCat("w", i)).head.status, 200);
        }
        this->asked = 0;
    }

    std::atomic<int> asked = 0;
    std::atomic<bool> stalled = false;
    // Lookups get their answer once it is over.
    std::atomic<bool> occupied = false;
    std::unique_ptr<scripted_server> server;
    std::unique_ptr<scripted_server> second_server;
};

// Guards against a stream that is passed on to a service too slow to end it before the stop.
TEST_F(stop_admission_test, a_stream_of_a_slow_service_is_refused_early_in_a_stop)
{
    this->serve(this->answering(milliseconds(5200)));
    EXPECT_EQ(this->call("/tell/", "r1").body, absl::StrCat(one_event, second_event));
    this->asked = 0;
    this->ends_at = steady_clock::now() + milliseconds(5000);
    const caller_answer refused = this->call("/tell/", "r2");
    EXPECT_TRUE(refused.end.ok()) << refused.end;
    EXPECT_EQ(refused.head.status, 503);
    EXPECT_TRUE(find_header(refused.head.headers, "Retry-After").has_value());
    EXPECT_EQ(this->asked, 0);
}

// Guards against streams that a quick service is denied although they would be whole.
TEST_F(stop_admission_test, a_stream_of_a_quick_service_is_served_late_in_a_stop)
{
    this->serve(this->answering(milliseconds(20)));
    this->call_often("/tell/");
    this->ends_at = steady_clock::now() + milliseconds(2500);
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, absl::StrCat(one_event, second_event));
}

// Guards against a stream that is cut because its service pauses, though other entries were at
// hand.
TEST_F(stop_admission_test, a_stream_after_the_deregistration_is_refused_if_no_pause_fits)
{
    this->serve(this->answering(milliseconds(20)));
    this->call_often("/tell/");
    this->deregistered_at = steady_clock::now();
    this->ends_at = steady_clock::now() + milliseconds(4000);
    const caller_answer refused = this->call("/tell/", "r1");
    EXPECT_TRUE(refused.end.ok()) << refused.end;
    EXPECT_EQ(refused.head.status, 503);
    EXPECT_TRUE(find_header(refused.head.headers, "Retry-After").has_value());
    EXPECT_EQ(this->asked, 0);
}

// Guards against a late upload that is judged by its first byte, when a pause still fitted.
TEST_F(stop_admission_test, a_stream_is_judged_by_the_time_at_which_its_upload_ends)
{
    this->serve(this->answering(milliseconds(20)));
    this->call_often("/tell/");
    this->deregistered_at = steady_clock::now() + milliseconds(100);
    this->ends_at = steady_clock::now() + milliseconds(3600);
    tcp_socket socket = this->connect();
    const std::string text = request_text("/tell/", "r1");
    ASSERT_TRUE(socket.write_all(text.substr(0, text.size() - 1), soon(), {}).ok());
    std::this_thread::sleep_for(milliseconds(700));
    ASSERT_TRUE(socket.write_all(text.substr(text.size() - 1), soon(), {}).ok());
    message_reader reader(socket);
    EXPECT_EQ(read_answer(reader).head.status, 503);
    EXPECT_EQ(this->asked, 0);
}

// Guards against a stream that waited for a server until no pause fits any more.
TEST_F(stop_admission_test, a_stream_is_judged_by_the_time_at_which_it_gets_a_server)
{
    this->serve(this->answering(milliseconds(20)));
    this->call_often("/tell/");
    this->occupied = true;
    std::vector<std::thread> others;
    others.reserve(server_slots);
    for (int i = 0; i < server_slots; ++i) {
        others.emplace_back([this, i] { (void)this->call("/read/", absl::StrCat("o", i)); });
    }
    while (this->asked < server_slots) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    this->deregistered_at = steady_clock::now() + milliseconds(100);
    this->ends_at = steady_clock::now() + milliseconds(3600);
    std::thread end([this] {
        std::this_thread::sleep_for(milliseconds(700));
        this->occupied = false;
    });
    EXPECT_EQ(this->call("/tell/", "r1").head.status, 503);
    EXPECT_EQ(this->asked, server_slots);
    end.join();
    for (std::thread& other : others) {
        other.join();
    }
}

// Guards against a stream that is refused for want of time for a pause although its server may
// have run it, so that it cannot be refused any more.
TEST_F(stop_admission_test, a_stream_that_may_have_run_is_repeated_late_in_a_stop)
{
    std::atomic<bool> loses_next = false;
    this->serve_with_two([&](scripted_connection& connection) {
        while (connection.read_request()) {
            ++this->asked;
            if (loses_next.exchange(false)) {
                this->deregistered_at = steady_clock::now();
                connection.reset();
                return;
            }
            connection.write(stream_head(connection) + chunk(one_event) + last_chunk);
        }
    });
    this->call_often("/tell/");
    this->ends_at = steady_clock::now() + milliseconds(4000);
    loses_next = true;
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, one_event);
    EXPECT_EQ(this->asked, 2);
}

// Guards against a repetition, close to the end of a stop, that could only be cut.
TEST_F(stop_admission_test, a_stream_that_may_have_run_is_not_repeated_if_no_answer_fits)
{
    std::atomic<bool> loses_next = false;
    this->serve_with_two([&](scripted_connection& connection) {
        while (connection.read_request()) {
            ++this->asked;
            if (loses_next.exchange(false)) {
                this->deregistered_at = steady_clock::now();
                this->ends_at = steady_clock::now() + milliseconds(150);
                connection.reset();
                return;
            }
            connection.write(stream_head(connection) + chunk(one_event) + last_chunk);
        }
    });
    this->call_often("/tell/");
    this->ends_at = steady_clock::now() + milliseconds(4000);
    loses_next = true;
    EXPECT_EQ(this->call("/tell/", "r1").head.status, 502);
    EXPECT_EQ(this->asked, 1);
}

// Guards against refusals in a long grace, in which streams survive a pause.
TEST_F(stop_admission_test, a_stream_after_the_deregistration_is_served_if_a_pause_fits)
{
    this->serve(this->answering(milliseconds(20)));
    this->call_often("/tell/");
    this->deregistered_at = steady_clock::now();
    this->ends_at = steady_clock::now() + milliseconds(6000);
    EXPECT_EQ(this->call("/tell/", "r1").body, absl::StrCat(one_event, second_event));
}

// Guards against lookups that a quick service is denied after the deregistration.
TEST_F(stop_admission_test, a_lookup_after_the_deregistration_needs_no_time_for_a_pause)
{
    this->serve(this->answering(milliseconds(20)));
    this->call_often("/read/");
    this->deregistered_at = steady_clock::now();
    this->ends_at = steady_clock::now() + milliseconds(1500);
    EXPECT_EQ(this->call("/read/", "r1").body, "stock");
}

// Guards against lookups that a quick service is denied although they would be whole.
TEST_F(stop_admission_test, a_lookup_of_a_quick_service_is_served_late_in_a_stop)
{
    this->serve(this->answering(milliseconds(20)));
    this->call_often("/read/");
    this->ends_at = steady_clock::now() + milliseconds(1500);
    EXPECT_EQ(this->call("/read/", "r1").body, "stock");
    EXPECT_EQ(this->call("/pay/", "r2").head.status, 503);
    EXPECT_EQ(this->asked, 1);
}

// Guards against a stall that is taken for speed because only the answers before it have ended.
TEST_F(stop_admission_test, a_stream_is_refused_while_others_have_stopped)
{
    this->serve([this](scripted_connection& connection) {
        while (connection.read_request()) {
            ++this->asked;
            connection.write(stream_head(connection) + chunk(one_event));
            if (this->stalled) {
                (void)connection.wait_for_end(milliseconds(8000));
                return;
            }
            connection.write(last_chunk);
        }
    });
    this->call_often("/tell/");
    this->stalled = true;
    tcp_socket other = this->connect();
    ASSERT_TRUE(other.write_all(request_text("/tell/", "r1"), soon(), {}).ok());
    std::this_thread::sleep_for(milliseconds(4500));
    ASSERT_EQ(this->asked, 1);
    this->ends_at = steady_clock::now() + milliseconds(5000);
    EXPECT_EQ(this->call("/tell/", "r2").head.status, 503);
    EXPECT_EQ(this->asked, 1);
    other.abort();
}

// Guards against a promise by a process that stops while the service stands still.
TEST_F(stop_admission_test, a_request_for_a_service_that_stands_still_is_refused_at_once)
{
    this->serve(this->answering(milliseconds(20)));
    this->report_rank(server_ip, 1, true);
    this->ends_at = steady_clock::now() + milliseconds(7000);
    std::thread agent([this] {
        std::this_thread::sleep_for(form_time);
        this->report_rank(server_ip, 1, false);
    });
    const caller_answer refused = this->call("/tell/", "r1");
    EXPECT_EQ(refused.head.status, 503);
    EXPECT_TRUE(find_header(refused.head.headers, "Retry-After").has_value());
    EXPECT_EQ(this->asked, 0);
    agent.join();
    EXPECT_EQ(this->call("/tell/", "r2").head.status, 200);
}

} // namespace
} // namespace sardinestream
