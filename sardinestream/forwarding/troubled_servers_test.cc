// Tests faulty servers: endless responses, bytes that are not HTTP, responses without a request id
// and streams that stall in the middle of an event. The caller must get a correct status, and the
// entry must stay within its memory and time limits.

#include <algorithm>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Sends `part` until the peer closes the connection. Returns the bytes sent.
std::size_t send_without_end(scripted_connection& connection, const std::string& part)
{
    constexpr std::size_t excessive_bytes = 256U << 20U;
    std::size_t sent = 0;
    while (sent < excessive_bytes && !connection.wait_for_end(milliseconds(1))) {
        connection.write(part);
        sent += part.size();
    }
    return sent;
}

class troubled_servers_test : public frontend_test {
protected:
    // Sends a lookup to two servers. The first one asked responds with `begin`, then repeats `part`
    // endlessly; the other one is healthy. Expects the response of the healthy one.
    void expect_next_server_answers(const std::string& begin, const std::string& part,
                                    std::size_t max_bytes)
    {
        std::atomic<int> asked = 0;
        std::atomic<std::size_t> sent = 0;
        const auto script = [&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            if (asked++ > 0) {
                connection.write(answer_to(connection, "sound"));
                return;
            }
            connection.write(begin);
            sent = send_without_end(connection, part);
        };
        scripted_server first(script);
        scripted_server second(script);
        this->use({&first, &second});
        const caller_answer answer = this->call("/read/", "r1");
        EXPECT_EQ(answer.head.status, 200);
        EXPECT_EQ(answer.body, "sound");
        this->stop();
        EXPECT_LT(sent, max_bytes);
    }
};

constexpr std::size_t few_megabytes = 8U << 20U;

TEST_F(troubled_servers_test, an_endless_head_is_cut)
{
    this->expect_next_server_answers("HTTP/1.1 200 OK\r\n",
                                     "X-Filler: " + std::string(4000, 'a') + "\r\n", few_megabytes);
}

TEST_F(troubled_servers_test, an_endless_head_line_is_cut)
{
    this->expect_next_server_answers("HTTP/1.1 200 OK\r\nX-Filler: ", std::string(4000, 'a'),
                                     few_megabytes);
}

TEST_F(troubled_servers_test, an_endless_chunk_extension_is_cut)
{
    this->expect_next_server_answers(
        "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
        std::string(4000, 'a'), few_megabytes);
}

TEST_F(troubled_servers_test, an_endless_trailer_is_cut)
{
    this->expect_next_server_answers(
        "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        std::string(4000, 'a'), few_megabytes);
}

TEST_F(troubled_servers_test, an_endless_body_without_length_is_cut)
{
    this->expect_next_server_answers("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\n\r\n",
                                     std::string(64U << 10U, 'a'), 64U << 20U);
}

TEST_F(troubled_servers_test, a_chunk_of_excessive_size_is_cut)
{
    this->expect_next_server_answers("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\nTransfer-Encoding: "
                                     "chunked\r\n\r\nfffffffffff\r\n",
                                     std::string(64U << 10U, 'a'), 64U << 20U);
}

TEST_F(troubled_servers_test, endless_interim_responses_are_cut)
{
    this->expect_next_server_answers("", "HTTP/1.1 100 Continue\r\n\r\n", few_megabytes);
}

TEST_F(troubled_servers_test, bytes_that_are_not_http_are_cut)
{
    this->expect_next_server_answers("", std::string(4000, '\x01'), few_megabytes);
}

TEST_F(troubled_servers_test, an_endless_event_is_cut)
{
    std::atomic<int> asked = 0;
    std::atomic<std::size_t> sent = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection));
        if (asked++ > 0) {
            connection.write(chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
            return;
        }
        connection.write(chunk("id: 1\ndata: "));
        sent = send_without_end(connection, chunk(std::string(64U << 10U, 'a')));
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_EQ(answer.body, "id: 1\ndata: a\n\n");
    this->stop();
    EXPECT_LT(sent, 64U << 20U);
}

TEST_F(troubled_servers_test, sixty_endless_bodies_stay_within_memory)
{
    constexpr int servers_in_trouble = 60;
    std::vector<std::unique_ptr<scripted_server>> scripted;
    std::vector<const scripted_server*> used;
    std::atomic<std::size_t> sent = 0;
    for (int i = 0; i < servers_in_trouble; ++i) {
        scripted.push_back(std::make_unique<scripted_server>([&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r\r\n\r\n");
            sent += send_without_end(connection, std::string(64U << 10U, 'a'));
        }));
        used.push_back(scripted.back().get());
    }
    this->use(used);
    std::vector<std::thread> callers;
    callers.reserve(servers_in_trouble);
    std::atomic<int> correct_statuses = 0;
    for (int i = 0; i < servers_in_trouble; ++i) {
        callers.emplace_back([&] {
            const caller_answer answer = this->call("/pay/", "r");
            // The request may have run, so "not run" (503) would be wrong.
            correct_statuses += answer.head.status == 502 || answer.head.status == 504 ? 1 : 0;
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(correct_statuses, servers_in_trouble);
    message_memory_reservation all(this->response_memory);
    EXPECT_TRUE(all.resize(max_memory_bytes));
    this->stop();
    // Socket buffers hold further bytes beyond the memory limit.
    constexpr std::size_t max_bytes_in_sockets = std::size_t{servers_in_trouble} * (12U << 20U);
    EXPECT_LT(sent, max_memory_bytes + max_bytes_in_sockets);
}

// Guards against a process that exceeds its memory with answers that callers have not read yet.
TEST_F(troubled_servers_test, an_answer_counts_against_the_memory_until_its_caller_has_it)
{
    constexpr std::size_t large_bytes = 12U << 20U;
    const std::string large(large_bytes, 'a');
    std::atomic<int> answers_written = 0;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(answer_to(connection, large));
        ++answers_written;
        (void)connection.wait_for_end(milliseconds(3000));
    });
    this->use({&server});
    tcp_socket slow_reader = this->connect();
    ASSERT_TRUE(slow_reader.write_all(request_text("/pay/", "r1"), soon(), {}).ok());
    // Until the entry has the whole answer and waits for its caller to read on.
    while (answers_written == 0) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_EQ(this->call("/pay/", "r2").head.status, 502);
    message_reader reader(slow_reader);
    const auto head = reader.read_response_head(message_limits(), false, soon(), {});
    ASSERT_TRUE(head.ok());
    std::string body;
    EXPECT_TRUE(reader.read_body(large_bytes, body, soon(), {}).ok());
    EXPECT_EQ(body.size(), large_bytes);
    EXPECT_EQ(this->call("/pay/", "r3").head.status, 200);
}

TEST_F(troubled_servers_test, an_interim_response_is_not_the_final_one)
{
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        connection.write(answer_to(connection, "final"));
    });
    this->use({&server});
    const caller_answer answer = this->call("/pay/", "r1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, "final");
}

// A refusal without a request id may belong to an earlier request. On a reused connection, it must
// not determine the status of this request.
TEST_F(troubled_servers_test, ignores_a_response_without_request_id_on_a_reused_connection)
{
    std::atomic<bool> reused = false;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(answer_to(connection, "answer"));
        while (connection.read_request()) {
            reused = true;
            connection.write("HTTP/1.1 503 No\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        }
    });
    this->use({&server});
    this->budget = 0;
    // A call may open a new connection, as long as the one before has not returned to the pool.
    caller_answer answer;
    for (int call = 1; call <= 50 && !reused; ++call) {
        answer = this->call("/read/", absl::StrCat("r", call));
        EXPECT_TRUE(reused || answer.body == "answer") << answer.body;
    }
    ASSERT_TRUE(reused);
    // Not 503, because the request may have run.
    EXPECT_EQ(answer.head.status, 502);
}

TEST_F(troubled_servers_test, a_stream_without_complete_events_resumes_at_another_server)
{
    std::atomic<int> asked = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection));
        if (asked++ > 0) {
            connection.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return;
        }
        connection.write(chunk("id: 1\ndata: a\n\n"));
        for (int i = 0; i < 100 && !connection.wait_for_end(milliseconds(100)); ++i) {
            connection.write(chunk(":"));
        }
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_EQ(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(troubled_servers_test, a_slow_stream_of_complete_events_is_not_cut)
{
    std::atomic<int> asked = 0;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++asked;
        connection.write(stream_head(connection));
        for (int id = 1; id <= 4; ++id) {
            connection.write(chunk(absl::StrCat("id: ", id, "\nda")));
            std::this_thread::sleep_for(milliseconds(700));
            connection.write(chunk(absl::StrCat("ta: ", id, "\n\n")));
        }
        connection.write("0\r\n\r\n");
    });
    this->use({&server});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_EQ(asked, 1);
}

TEST_F(troubled_servers_test, a_slowly_sent_head_is_retried_at_another_server)
{
    std::atomic<int> asked = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (asked++ > 0) {
            connection.write(answer_to(connection, "sound"));
            return;
        }
        const std::string head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\n";
        for (std::size_t i = 0; i < head.size() && !connection.wait_for_end(milliseconds(200));
             ++i) {
            connection.write(head.substr(i, 1));
        }
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const steady_time begun = steady_clock::now();
    EXPECT_EQ(this->call("/read/", "r1").body, "sound");
    EXPECT_LT(steady_clock::now() - begun, this->state->routes.front().timeout);
}

TEST_F(troubled_servers_test, a_service_that_is_down_consumes_no_retries)
{
    scripted_server refuses([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write("HTTP/1.1 503 Full\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        }
    });
    this->use({&refuses});
    this->budget = 10000;
    const auto call_until = [this](steady_time end) {
        for (int i = 0; steady_clock::now() < end; ++i) {
            EXPECT_EQ(this->call("/pay/", absl::StrCat("r", i)).head.status, 503);
        }
    };
    const steady_time begun = steady_clock::now();
    call_until(begun + milliseconds(1800));
    const int left = this->budget;
    const int connections = refuses.connections();
    call_until(begun + milliseconds(2800));
    EXPECT_EQ(this->budget, left);
    EXPECT_GT(refuses.connections(), connections);
}

// Callers retry repeatedly against a service whose two servers refuse all requests.
TEST_F(troubled_servers_test,
       a_service_that_is_down_delays_no_caller_and_is_used_soon_after_its_return)
{
    std::atomic<bool> refuses = true;
    const auto script = [&](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(refuses
                                 ? "HTTP/1.1 503 Full\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                                 : answer_to(connection, "served"));
        }
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    this->budget = 10000;
    constexpr int callers = 8;
    const steady_time begun = steady_clock::now();
    const steady_time returns = begun + milliseconds(3500);
    absl::Mutex mutex;
    std::vector<milliseconds> held;
    std::atomic<steady_time> seen{steady_time::max()};
    const auto call_until_served = [&](int caller) {
        for (int i = 0; seen.load() == steady_time::max(); ++i) {
            const steady_time asked = steady_clock::now();
            const caller_answer answer = this->call("/pay/", absl::StrCat("r", caller, "-", i));
            const steady_time answered = steady_clock::now();
            if (answer.head.status == 200) {
                seen = answered;
            }
            const absl::MutexLock lock(&mutex);
            if (asked > begun + milliseconds(1500) && answered < returns) {
                held.push_back(std::chrono::duration_cast<milliseconds>(answered - asked));
            }
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(callers + 1);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back(call_until_served, caller);
    }
    threads.emplace_back([&] {
        std::this_thread::sleep_until(returns);
        refuses = false;
    });
    for (std::thread& thread : threads) {
        thread.join();
    }
    std::sort(held.begin(), held.end());
    ASSERT_FALSE(held.empty());
    EXPECT_LT(held[held.size() / 2], milliseconds(100));
    EXPECT_LT(held.back(), milliseconds(300));
    EXPECT_LT(seen.load() - returns, milliseconds(500));
}

} // namespace
} // namespace sardinestream
