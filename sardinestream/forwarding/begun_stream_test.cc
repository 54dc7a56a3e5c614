// Tests that a stream that has begun is answered whole while its time lasts: neither the silence of
// its server nor a lack of other servers at one moment ends it.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: piece ", id, "\n\n");
}

constexpr char last_chunk[] = "0\r\n\r\n";
// Longer than the silence after which another server is looked for.
constexpr milliseconds long_silence{2500};
// Longer than the time in which a free server is found, shorter than a caller's patience.
constexpr milliseconds busy_time{1000};
constexpr char first_ip[] = "127.0.0.1";
constexpr char second_ip[] = "127.0.0.2";

class begun_stream_test : public frontend_test {
protected:
    begun_stream_test()
    {
        const std::shared_ptr<desired_state> changed = make_state();
        for (route& each : changed->routes) {
            each.timeout = milliseconds(7000);
            each.max_attempts = 3;
        }
        changed->index_routes();
        this->state = changed;
    }

    // Callers that wait for the next event for longer than any server here is silent.
    void use_patient_callers()
    {
        const auto changed = std::make_shared<desired_state>(*this->state);
        for (route& each : changed->routes) {
            each.latency_target = milliseconds(1500);
        }
        changed->index_routes();
        this->state = changed;
    }

    // Servers that take one request at a time.
    void use_one_slot_each(const std::vector<const scripted_server*>& scripted)
    {
        std::vector<backend_server> list;
        for (const scripted_server* const one : scripted) {
            backend_server server;
            server.id = absl::StrCat("s", list.size());
            server.service = "service";
            server.slots = 1;
            server.born_ms = 1;
            server.endpoint = one->local();
            list.push_back(server);
        }
        this->servers.set_servers(list);
    }

    // Occupies a server for `duration`.
    std::thread occupy(const std::string& id)
    {
        std::thread caller([this, id] { this->call("/pay/", id); });
        std::this_thread::sleep_for(milliseconds(50));
        return caller;
    }

    static void answer_payment(scripted_connection& connection, milliseconds duration)
    {
        std::this_thread::sleep_for(duration);
        connection.write(answer_to(connection, "paid"));
    }
};

// Guards against a stream that leaves a silent server which goes on soon, while no other one is
// free.
TEST_F(begun_stream_test, stays_with_its_silent_server_while_no_other_one_is_free)
{
    std::atomic<int> streams = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (connection.head.target == "/pay/") {
            answer_payment(connection, 2 * long_silence);
            return;
        }
        ++streams;
        connection.write(stream_head(connection) + chunk(event(1)));
        std::this_thread::sleep_for(long_silence);
        connection.write(chunk(event(2)) + last_chunk);
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use_one_slot_each({&first, &second});
    std::thread other = this->occupy("p1");
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, event(1) + event(2));
    EXPECT_EQ(streams, 1);
    EXPECT_EQ(this->budget, 100);
    other.join();
}

// Guards against a request that leaves a silent server and then gets no other one.
TEST_F(begun_stream_test, a_request_without_an_answer_stays_with_its_silent_server_as_well)
{
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (connection.head.target == "/pay/") {
            answer_payment(connection, 2 * long_silence);
            return;
        }
        std::this_thread::sleep_for(long_silence);
        connection.write(stream_head(connection) + chunk(event(1)) + last_chunk);
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use_one_slot_each({&first, &second});
    std::thread other = this->occupy("p1");
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, event(1));
    other.join();
}

// Guards against a silent server that is kept although another one becomes free.
TEST_F(begun_stream_test, leaves_its_silent_server_once_another_one_is_free)
{
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (connection.head.target == "/pay/") {
            answer_payment(connection, long_silence);
            return;
        }
        if (find_header(connection.head.headers, "After").value_or("").empty()) {
            connection.write(stream_head(connection) + chunk(event(1)));
            (void)connection.wait_for_end(milliseconds(6000));
            return;
        }
        connection.write(stream_head(connection) + chunk(event(2)) + last_chunk);
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use_one_slot_each({&first, &second});
    std::thread other = this->occupy("p1");
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, event(1) + event(2));
    other.join();
}

// Guards against a stream that is cut because all other servers are busy when its own breaks off.
TEST_F(begun_stream_test, waits_for_a_busy_server_after_its_own_broke_off)
{
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (connection.head.target == "/pay/") {
            answer_payment(connection, busy_time);
            return;
        }
        if (find_header(connection.head.headers, "After").value_or("").empty()) {
            connection.write(stream_head(connection) + chunk(event(1)));
            connection.reset();
            return;
        }
        connection.write(stream_head(connection) + chunk(event(2)) + last_chunk);
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use_one_slot_each({&first, &second});
    std::thread other = this->occupy("p1");
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, event(1) + event(2));
    other.join();
}

// Guards against a stream that is cut because its group breaks and forms anew.
TEST_F(begun_stream_test, waits_for_its_group_to_form_anew)
{
    std::atomic<steady_time> forms_at = steady_time::max();
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (find_header(connection.head.headers, "After").value_or("").empty()) {
            forms_at = steady_clock::now() + busy_time;
            connection.write(stream_head(connection) + chunk(event(1)));
            std::this_thread::sleep_for(busy_time / 5);
            connection.reset();
            return;
        }
        EXPECT_GE(steady_clock::now(), forms_at.load());
        connection.write(stream_head(connection) + chunk(event(2)) + last_chunk);
    };
    scripted_server first(script, first_ip);
    scripted_server second(script, second_ip);
    this->use_one_slot_each({&first, &second});
    this->report_rank(first_ip, 1);
    this->report_rank(second_ip, 1);
    std::atomic<bool> done = false;
    std::thread agents([&] {
        while (!done) {
            std::this_thread::sleep_for(milliseconds(20));
            const bool begun = forms_at.load() != steady_time::max();
            const bool broken = begun && steady_clock::now() < forms_at.load();
            this->report_rank(first_ip, 1, broken);
            this->report_rank(second_ip, 1, broken);
        }
    });
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, event(1) + event(2));
    done = true;
    agents.join();
}

// Guards against callers that get a freed server although a stream that has begun waits for it.
TEST_F(begun_stream_test, goes_before_requests_that_have_not_begun)
{
    std::atomic<int> order = 0;
    std::atomic<int> resumed_as = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (connection.head.target == "/pay/") {
            ++order;
            answer_payment(connection, busy_time);
            return;
        }
        if (find_header(connection.head.headers, "After").value_or("").empty()) {
            connection.write(stream_head(connection) + chunk(event(1)));
            std::this_thread::sleep_for(busy_time / 4);
            connection.reset();
            return;
        }
        resumed_as = ++order;
        connection.write(stream_head(connection) + chunk(event(2)) + last_chunk);
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use_one_slot_each({&first, &second});
    std::thread busy = this->occupy("p1");
    std::thread waiting([this] {
        std::this_thread::sleep_for(milliseconds(50));
        this->call("/pay/", "p2");
    });
    std::thread waiting_too([this] {
        std::this_thread::sleep_for(milliseconds(100));
        this->call("/pay/", "p3");
    });
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, event(1) + event(2));
    EXPECT_LE(resumed_as, 3);
    busy.join();
    waiting.join();
    waiting_too.join();
}

// Guards against streams that change places within a group that stands still as a whole, and use up
// their attempts.
TEST_F(begun_stream_test, streams_stay_while_no_rank_of_their_group_sends_anything)
{
    constexpr milliseconds stall{1500};
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection) + chunk(event(1)));
        std::this_thread::sleep_for(stall);
        connection.write(chunk(event(2)) + last_chunk);
    };
    scripted_server first(script, first_ip);
    scripted_server second(script, second_ip);
    this->use({&first, &second});
    this->report_rank(first_ip, 1);
    this->report_rank(second_ip, 1);
    std::thread other([this] { EXPECT_EQ(this->call("/tell/", "r2").body, event(1) + event(2)); });
    EXPECT_EQ(this->call("/tell/", "r1").body, event(1) + event(2));
    other.join();
    EXPECT_EQ(first.connections() + second.connections(), 2);
    EXPECT_EQ(this->budget, 100);
}

// Guards against streams that leave their ranks as soon as the first rank of their group goes on.
TEST_F(begun_stream_test, streams_stay_while_the_ranks_of_their_group_go_on_one_after_the_other)
{
    constexpr milliseconds stall{1500};
    constexpr milliseconds between_ranks{300};
    this->use_patient_callers();
    const auto script_for = [&](milliseconds silence) {
        return [&, silence](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(stream_head(connection) + chunk(event(1)));
            std::this_thread::sleep_for(silence);
            connection.write(chunk(event(2)) + last_chunk);
        };
    };
    scripted_server first(script_for(stall), first_ip);
    scripted_server second(script_for(stall + between_ranks), second_ip);
    this->use({&first, &second});
    this->report_rank(first_ip, 1);
    this->report_rank(second_ip, 1);
    std::thread other([this] { EXPECT_EQ(this->call("/tell/", "r2").body, event(1) + event(2)); });
    EXPECT_EQ(this->call("/tell/", "r1").body, event(1) + event(2));
    other.join();
    EXPECT_EQ(first.connections() + second.connections(), 2);
    EXPECT_EQ(this->budget, 100);
}

// Guards against a stream that a stop cuts at a dead rank, because its group sends events too
// seldom to count as running.
TEST_F(begun_stream_test, leaves_a_dead_rank_whose_group_sends_events_at_a_slow_pace)
{
    constexpr milliseconds event_interval{700};
    constexpr int slow_events = 12;
    this->use_patient_callers();
    std::atomic<int> streams = 0;
    const auto script = [&](scripted_connection& connection) {
        while (connection.read_request()) {
            const int number = streams++;
            if (number == 0) {
                connection.write(stream_head(connection));
                for (int i = 1; i < slow_events; ++i) {
                    connection.write(chunk(event(i)));
                    std::this_thread::sleep_for(event_interval);
                }
                connection.write(last_chunk);
                return;
            }
            if (number == 1) {
                connection.write(stream_head(connection) + chunk(event(1)));
                (void)connection.wait_for_end(slow_events * event_interval);
                return;
            }
            connection.write(stream_head(connection) + chunk(event(2)) + last_chunk);
        }
    };
    scripted_server first(script, first_ip);
    scripted_server second(script, second_ip);
    this->use({&first, &second});
    this->report_rank(first_ip, 1);
    this->report_rank(second_ip, 1);
    std::thread slow([this] { this->call("/tell/", "r1"); });
    while (streams < 1) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    this->ends_at = steady_clock::now() + milliseconds(5000);
    const caller_answer answer = this->call("/tell/", "r2");
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, event(1) + event(2));
    slow.join();
}

// Guards against a silent request that a stop keeps in the queue, where it takes a server from
// others.
TEST_F(begun_stream_test, a_stop_leaves_a_silent_request_with_its_server)
{
    std::atomic<int> lookups = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (connection.head.target == "/pay/") {
            answer_payment(connection, long_silence);
            return;
        }
        ++lookups;
        std::this_thread::sleep_for(2 * long_silence);
        connection.write(answer_to(connection, "late"));
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use_one_slot_each({&first, &second});
    std::thread other = this->occupy("p1");
    std::thread stop([this] {
        std::this_thread::sleep_for(long_silence / 2);
        this->stopping = true;
        // Too little for another attempt, by what lookups usually take.
        this->ends_at = steady_clock::now() + long_silence / 2 + milliseconds(1900);
    });
    const caller_answer answer = this->call("/read/", "r1");
    EXPECT_EQ(lookups, 1);
    EXPECT_EQ(this->budget, 100);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    other.join();
    stop.join();
}

// Guards against a stop that makes streams depend on a second server.
TEST_F(begun_stream_test, a_stop_does_not_move_a_stream_off_a_slow_rank)
{
    this->stopping = true;
    const auto script_for = [&](const std::string& ip) {
        return [&, ip](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(stream_head(connection) + chunk(event(1)));
            this->report_rank(ip, 12);
            std::this_thread::sleep_for(milliseconds(50));
            connection.write(chunk(event(2)) + last_chunk);
        };
    };
    scripted_server first(script_for(first_ip), first_ip);
    scripted_server second(script_for(second_ip), second_ip);
    this->use({&first, &second});
    this->report_rank(first_ip, 1);
    this->report_rank(second_ip, 1);
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_EQ(answer.body, event(1) + event(2));
    EXPECT_EQ(this->budget, 100);
    EXPECT_EQ(first.connections() + second.connections(), 1);
}

} // namespace
} // namespace sardinestream
