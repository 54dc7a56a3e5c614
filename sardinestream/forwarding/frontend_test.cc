#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

TEST_F(frontend_test, forwards_request_and_response)
{
    std::string seen;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        seen = absl::StrCat(connection.head.method, " ", connection.head.target, " ",
                            *find_header(connection.head.headers, "Team"), " ", connection.body);
        connection.write(answer_to(connection, "stock"));
    });
    this->use({&server});
    const caller_answer answer = this->call("/read/1", "r1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, "stock");
    EXPECT_EQ(seen, "POST /read/1 growers {}");
}

TEST_F(frontend_test, refuses_unknown_routes_and_keys)
{
    EXPECT_EQ(this->call("/none/", "r1").head.status, 404);
    EXPECT_EQ(this->call("/read/", "r2", "wrong").head.status, 401);
}

TEST_F(frontend_test, reports_not_run_if_no_server_was_reached)
{
    const caller_answer answer = this->call("/pay/", "r1");
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_TRUE(find_header(answer.head.headers, "Retry-After").has_value());
    EXPECT_TRUE(absl::StrContains(answer.body, "not_run"));
}

TEST_F(frontend_test, never_repeats_a_payment_after_a_reset)
{
    std::atomic<int> runs = 0;
    const auto lose = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++runs;
        connection.reset();
    };
    scripted_server first(lose);
    scripted_server second(lose);
    this->use({&first, &second});
    EXPECT_EQ(this->call("/pay/", "r1").head.status, 502);
    EXPECT_EQ(runs, 1);
}

TEST_F(frontend_test, repeats_a_payment_that_the_server_did_not_execute)
{
    std::atomic<int> asked = 0;
    const auto shed_first = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (asked++ == 0) {
            connection.write("HTTP/1.1 503 Full\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        connection.write(answer_to(connection, "paid"));
    };
    scripted_server first(shed_first);
    scripted_server second(shed_first);
    this->use({&first, &second});
    EXPECT_EQ(this->call("/pay/", "r1").body, "paid");
}

// Servers of a group that is forming refuse all requests for a short time. A request must wait for
// them instead of being refused.
TEST_F(frontend_test, waits_for_a_server_that_refuses_temporarily)
{
    std::atomic<int> asked = 0;
    scripted_server server([&](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(asked++ < 2
                                 ? "HTTP/1.1 503 Full\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                                 : answer_to(connection, "paid"));
        }
    });
    this->use({&server});
    EXPECT_EQ(this->call("/pay/", "r1").body, "paid");
    EXPECT_EQ(asked, 3);
}

TEST_F(frontend_test, repeats_a_lookup_after_a_reset)
{
    std::atomic<int> asked = 0;
    const auto lose_first = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (asked++ == 0) {
            connection.reset();
            return;
        }
        connection.write(answer_to(connection, "stock"));
    };
    scripted_server first(lose_first);
    scripted_server second(lose_first);
    this->use({&first, &second});
    EXPECT_EQ(this->call("/read/", "r1").body, "stock");
}

TEST_F(frontend_test, repeats_nothing_without_budget)
{
    this->budget = 0;
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.reset();
    });
    this->use({&server});
    EXPECT_EQ(this->call("/read/", "r1").head.status, 502);
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(frontend_test, discards_a_late_response_to_another_request)
{
    scripted_server server([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(
                "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: other\r\nContent-Length: 5\r\n\r\n"
                "wrong");
            connection.write(answer_to(connection, "right"));
        }
    });
    this->use({&server});
    EXPECT_EQ(this->call("/read/", "r1").body, "right");
    EXPECT_EQ(this->call("/read/", "r2").body, "right");
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(frontend_test, never_relays_a_success_without_signature)
{
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse");
    });
    this->use({&server});
    EXPECT_EQ(this->call("/pay/", "r1").head.status, 502);
}

TEST_F(frontend_test, never_relays_a_truncated_response_as_complete)
{
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 50\r\n\r\nhalf");
    });
    this->use({&server});
    EXPECT_EQ(this->call("/pay/", "r1").head.status, 502);
}

TEST_F(frontend_test, resumes_a_stream_at_another_server_after_its_last_event)
{
    std::atomic<int> asked = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection));
        if (asked++ == 0) {
            connection.write(chunk("id: 1\ndata: a\n\nid: 2\nda"));
            std::this_thread::sleep_for(milliseconds(50));
            connection.reset();
            return;
        }
        EXPECT_EQ(*find_header(connection.head.headers, "After"), "1");
        connection.write(chunk("id: 2\ndata: b\n\n"));
        connection.write("0\r\n\r\n");
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_EQ(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// While all ranks of the only group stand still, another one cannot answer earlier.
TEST_F(frontend_test, a_stream_waits_for_its_server_while_the_group_stands_still)
{
    std::atomic<int> asked = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++asked;
        // Longer than the silence after which a stream is retried elsewhere.
        constexpr int reports = 16;
        for (int i = 0; i < reports; ++i) {
            this->report_rank("127.0.0.1", 1, true);
            std::this_thread::sleep_for(milliseconds(100));
        }
        this->report_rank("127.0.0.1", 1);
        connection.write(stream_head(connection) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_EQ(answer.body, "id: 1\ndata: a\n\n");
    EXPECT_EQ(asked, 1);
}

// A rank that turns slow delays all streams of its group, so the streams on it move to other ranks.
TEST_F(frontend_test, a_stream_leaves_a_rank_that_turns_slow)
{
    std::atomic<int> asked = 0;
    std::atomic<bool> left = false;
    const auto script_for = [&](const std::string& ip) {
        return [&, ip](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(stream_head(connection));
            if (asked++ == 0) {
                connection.write(chunk("id: 1\ndata: a\n\n"));
                std::this_thread::sleep_for(milliseconds(50));
                this->report_rank(ip, 12);
                connection.write(chunk("id: 2\ndata: b\n\n"));
                left = connection.wait_for_end(milliseconds(3000));
                return;
            }
            EXPECT_EQ(*find_header(connection.head.headers, "After"), "2");
            connection.write(chunk("id: 3\ndata: c\n\n"));
            connection.write("0\r\n\r\n");
        };
    };
    scripted_server first(script_for("127.0.0.1"), "127.0.0.1");
    scripted_server second(script_for("127.0.0.2"), "127.0.0.2");
    this->use({&first, &second});
    this->report_rank("127.0.0.1", 1);
    this->report_rank("127.0.0.2", 1);
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_EQ(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    EXPECT_EQ(asked, 2);
    // The first server hears of it once the second one has sent an event.
    const steady_time notice_end = steady_clock::now() + milliseconds(300);
    while (!left && steady_clock::now() < notice_end) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    EXPECT_TRUE(left);
}

// A slow stream is better than a broken one.
TEST_F(frontend_test, a_stream_stays_on_a_slow_rank_without_budget_for_a_move)
{
    this->budget = 0;
    const auto script_for = [&](const std::string& ip) {
        return [&, ip](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(stream_head(connection) + chunk("id: 1\ndata: a\n\n"));
            std::this_thread::sleep_for(milliseconds(50));
            this->report_rank(ip, 12);
            connection.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
        };
    };
    scripted_server first(script_for("127.0.0.1"), "127.0.0.1");
    scripted_server second(script_for("127.0.0.2"), "127.0.0.2");
    this->use({&first, &second});
    this->report_rank("127.0.0.1", 1);
    this->report_rank("127.0.0.2", 1);
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_EQ(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(frontend_test, a_stream_that_cannot_resume_is_visibly_incomplete)
{
    this->budget = 0;
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection));
        connection.write(chunk("id: 1\ndata: a\n\n"));
        std::this_thread::sleep_for(milliseconds(50));
        connection.reset();
    });
    this->use({&server});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_FALSE(answer.end.ok());
}

TEST_F(frontend_test, closes_the_server_connection_when_the_caller_disconnects)
{
    std::atomic<bool> freed = false;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        freed = connection.wait_for_end(milliseconds(3000));
    });
    this->use({&server});
    {
        tcp_socket socket = this->connect();
        ASSERT_TRUE(socket.write_all(request_text("/tell/", "r1"), soon(), {}).ok());
        std::this_thread::sleep_for(milliseconds(100));
    }
    const steady_time end = steady_clock::now() + milliseconds(1000);
    while (!freed && steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    EXPECT_TRUE(freed);
}

TEST_F(frontend_test, rejects_conflicting_body_framing_and_closes)
{
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket
                    .write_all("POST /pay/ HTTP/1.1\r\nHost: shop\r\nId: r\r\nContent-Length: 4\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                               soon(), {})
                    .ok());
    message_reader reader(socket);
    const caller_answer answer = read_answer(reader);
    EXPECT_EQ(answer.head.status, 400);
    EXPECT_FALSE(answer.head.keeps_alive());
}

// A request that arrives on an idle connection while the frontend stops must be answered. It was
// once treated as abandoned by its caller.
TEST_F(frontend_test, answers_a_request_that_arrives_during_the_stop)
{
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        std::this_thread::sleep_for(milliseconds(300));
        connection.write(answer_to(connection, "late"));
    });
    this->use({&server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket.write_all(request_text("/pay/", "r1"), soon(), {}).ok());
    std::this_thread::sleep_for(milliseconds(50));
    std::thread stopper([this] { this->stop(); });
    message_reader reader(socket);
    const caller_answer answer = read_answer(reader);
    stopper.join();
    EXPECT_EQ(answer.body, "late");
    EXPECT_FALSE(answer.head.keeps_alive());
}

// Planned shutdown under load: a stream that another entry can serve to its end must not start
// here.
TEST_F(frontend_test, refuses_a_stream_that_a_planned_stop_would_cut)
{
    std::atomic<int> asked = 0;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++asked;
        connection.write(connection.head.target == "/tell/"
                             ? stream_head(connection) + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
                             : answer_to(connection, "stock"));
    });
    this->use({&server});
    this->ends_at = steady_clock::now() + milliseconds(7000);
    EXPECT_EQ(this->call("/tell/", "r1").head.status, 200);
    this->ends_at = steady_clock::now() + milliseconds(3000);
    const caller_answer refused = this->call("/tell/", "r2");
    EXPECT_EQ(refused.head.status, 503);
    EXPECT_TRUE(find_header(refused.head.headers, "Retry-After").has_value());
    EXPECT_EQ(asked, 1);
    // Short requests are still served.
    EXPECT_EQ(this->call("/read/", "r3").body, "stock");
}

TEST_F(frontend_test, a_stop_refuses_a_payment_that_it_might_cut)
{
    std::atomic<int> asked = 0;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++asked;
        connection.write(answer_to(connection, "paid"));
    });
    this->use({&server});
    this->ends_at = steady_clock::now() + milliseconds(3500);
    const caller_answer refused = this->call("/pay/", "r1");
    EXPECT_EQ(refused.head.status, 503);
    EXPECT_TRUE(find_header(refused.head.headers, "Retry-After").has_value());
    EXPECT_EQ(asked, 0);
    this->ends_at = steady_clock::now() + milliseconds(5000);
    EXPECT_EQ(this->call("/pay/", "r2").body, "paid");
}

TEST_F(frontend_test, a_stop_refuses_a_lookup_for_which_too_little_time_is_left)
{
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(answer_to(connection, "stock"));
    });
    this->use({&server});
    this->ends_at = steady_clock::now() + milliseconds(1500);
    EXPECT_EQ(this->call("/read/", "r1").head.status, 503);
}

TEST_F(frontend_test, a_stop_answers_a_request_whose_server_is_still_silent)
{
    for (const char* const target : {"/pay/", "/read/", "/tell/"}) {
        std::atomic<bool> reached = false;
        scripted_server server([&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            reached = true;
            (void)connection.wait_for_end(milliseconds(6000));
        });
        this->use({&server});
        this->budget = 0;
        this->ends_at = steady_time::max();
        tcp_socket socket = this->connect();
        ASSERT_TRUE(socket.write_all(request_text(target, "r1"), soon(), {}).ok());
        while (!reached) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        const steady_time ends = steady_clock::now() + milliseconds(900);
        this->ends_at = ends;
        message_reader reader(socket);
        const caller_answer answer = read_answer(reader);
        EXPECT_EQ(answer.head.status, 504) << target;
        EXPECT_LT(steady_clock::now(), ends + milliseconds(200)) << target;
    }
}

TEST_F(frontend_test, a_stop_answers_a_request_that_waits_for_a_server)
{
    const std::shared_ptr<desired_state> patient = make_state();
    for (route& patient_route : patient->routes) {
        patient_route.timeout = milliseconds(8000);
    }
    this->state = patient;
    for (const char* const target : {"/pay/", "/read/", "/tell/"}) {
        this->ends_at = steady_time::max();
        tcp_socket socket = this->connect();
        ASSERT_TRUE(socket.write_all(request_text(target, "r1"), soon(), {}).ok());
        std::this_thread::sleep_for(milliseconds(100));
        const steady_time ends = steady_clock::now() + milliseconds(600);
        this->ends_at = ends;
        message_reader reader(socket);
        const caller_answer answer = read_answer(reader);
        EXPECT_EQ(answer.head.status, 503) << target;
        EXPECT_LT(steady_clock::now(), ends + milliseconds(200)) << target;
    }
}

TEST_F(frontend_test, closes_idle_connections_when_it_stops)
{
    tcp_socket socket = this->connect();
    std::this_thread::sleep_for(milliseconds(50));
    const steady_time begun = steady_clock::now();
    this->stop();
    EXPECT_LT(steady_clock::now() - begun, std::chrono::seconds(2));
}

} // namespace
} // namespace sardinestream
