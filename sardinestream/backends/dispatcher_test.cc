#include <array>
#include <atomic>
#include <thread>

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "sardinestream/backends/dispatcher.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

backend_server make_server(const std::string& id, int slots)
{
    backend_server server;
    server.id = id;
    server.service = "assistant";
    server.data_centre = "a";
    server.slots = slots;
    server.endpoint = {"10.0.0." + id, 80};
    return server;
}

placement_request make_request(int priority = 1)
{
    placement_request request;
    request.service = "assistant";
    request.priority = priority;
    request.max_wait = milliseconds(1000);
    return request;
}

class dispatcher_test : public testing::Test {
protected:
    placement place_now()
    {
        absl::StatusOr<placement> placed = this->servers.place(make_request(), hangup_watch());
        EXPECT_TRUE(placed.ok()) << placed.status();
        return *placed;
    }

    void finish(const placement& assigned)
    {
        this->servers.finish(assigned, attempt_result::succeeded, milliseconds(5));
    }

    dispatcher servers{dispatcher_options{"a"}};
};

TEST_F(dispatcher_test, spreads_requests_over_servers)
{
    this->servers.set_servers({make_server("1", 4), make_server("2", 4)});
    const placement first = this->place_now();
    const placement second = this->place_now();
    EXPECT_NE(first.server.id, second.server.id);
}

// All ranks of a group wait in each step for the slowest one.
TEST_F(dispatcher_test, a_rank_that_delays_its_group_gets_no_requests)
{
    this->servers.set_servers({make_server("1", 2), make_server("2", 2), make_server("3", 2)});
    for (const std::string id : {"1", "2", "3"}) {
        server_report report;
        report.group = "g";
        report.slowness = id == "2" ? 12 : 1;
        this->servers.apply_report("10.0.0." + id, report);
    }
    EXPECT_TRUE(this->servers.delays_its_group(make_server("2", 2)));
    EXPECT_FALSE(this->servers.delays_its_group(make_server("1", 2)));
    for (int i = 0; i < 4; ++i) {
        EXPECT_NE(this->place_now().server.id, "2");
    }
    EXPECT_FALSE(this->servers.place_if_free(make_request()).has_value());
}

TEST_F(dispatcher_test, a_group_that_is_slow_as_a_whole_keeps_its_capacity)
{
    this->servers.set_servers({make_server("1", 1), make_server("2", 1)});
    for (const std::string id : {"1", "2"}) {
        server_report report;
        report.group = "g";
        report.slowness = 5;
        this->servers.apply_report("10.0.0." + id, report);
    }
    EXPECT_FALSE(this->servers.delays_its_group(make_server("1", 1)));
    EXPECT_NE(this->place_now().server.id, this->place_now().server.id);
}

TEST_F(dispatcher_test, a_free_server_is_not_taken_from_requests_that_wait)
{
    this->servers.set_servers({make_server("1", 1)});
    const placement first = this->place_now();
    std::thread waiting([&] {
        absl::StatusOr<placement> placed = this->servers.place(make_request(), hangup_watch());
        ASSERT_TRUE(placed.ok()) << placed.status();
        this->finish(*placed);
    });
    while (this->servers.waiting() == 0) {
        std::this_thread::yield();
    }
    EXPECT_FALSE(this->servers.place_if_free(make_request()).has_value());
    this->finish(first);
    waiting.join();
    EXPECT_TRUE(this->servers.place_if_free(make_request()).has_value());
}

TEST_F(dispatcher_test, refuses_at_once_where_no_server_exists)
{
    const absl::Status refused = this->servers.place(make_request(), hangup_watch()).status();
    EXPECT_TRUE(absl::IsUnavailable(refused));
    EXPECT_GT(retry_after_of(refused).count(), 0);
}

TEST_F(dispatcher_test, sends_nothing_to_a_leaving_server)
{
    this->servers.set_servers({make_server("1", 4), make_server("2", 4)});
    this->servers.apply_notice(make_server("1", 4), {true, std::nullopt});
    // An older list must not make it available again.
    this->servers.set_servers({make_server("1", 4), make_server("2", 4)});
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(this->place_now().server.id, "2");
    }
}

// During an outage of the store, or if it lists late, the notice in the server's answer is the only
// information that it is leaving.
TEST_F(dispatcher_test, a_leaving_server_stays_unused_when_its_entry_returns)
{
    backend_server leaving = make_server("1", 4);
    leaving.born_ms = 5;
    this->servers.set_servers({leaving, make_server("2", 4)});
    EXPECT_TRUE(this->servers.apply_notice(leaving, {true, std::nullopt}).is_leaving);
    EXPECT_FALSE(this->servers.apply_notice(leaving, {true, std::nullopt}).is_leaving);
    this->servers.set_servers({make_server("2", 4)});
    this->servers.set_servers({leaving, make_server("2", 4)});
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(this->place_now().server.id, "2");
    }
    leaving.born_ms = 6;
    this->servers.set_servers({leaving});
    EXPECT_EQ(this->place_now().server.id, "1");
}

TEST_F(dispatcher_test, a_waiting_request_does_not_go_to_a_leaving_server)
{
    this->servers.set_servers({make_server("1", 1)});
    const placement first = this->place_now();
    std::thread waiting(
        [&] { EXPECT_FALSE(this->servers.place(make_request(), hangup_watch()).ok()); });
    while (this->servers.waiting() == 0) {
        std::this_thread::yield();
    }
    this->servers.apply_notice(first.server, {true, std::nullopt});
    this->finish(first);
    waiting.join();
}

TEST_F(dispatcher_test, a_hold_off_outlasts_a_gap_in_the_list)
{
    this->servers.set_servers({make_server("1", 4), make_server("2", 4)});
    this->servers.apply_notice(make_server("1", 4), {false, milliseconds(5000)});
    this->servers.set_servers({make_server("2", 4)});
    this->servers.set_servers({make_server("1", 4), make_server("2", 4)});
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(this->place_now().server.id, "2");
    }
}

TEST_F(dispatcher_test, refuses_at_once_if_all_hold_offs_end_after_the_deadline)
{
    this->servers.set_servers({make_server("1", 4), make_server("2", 4)});
    this->servers.apply_notice(make_server("1", 4), {false, milliseconds(6000)});
    this->servers.apply_notice(make_server("2", 4), {false, milliseconds(4000)});
    const steady_time begun = steady_clock::now();
    const absl::Status refused = this->servers.place(make_request(), hangup_watch()).status();
    EXPECT_TRUE(absl::IsResourceExhausted(refused));
    EXPECT_LT(steady_clock::now() - begun, milliseconds(100));
    EXPECT_GE(retry_after_of(refused), milliseconds(3900));
    EXPECT_LE(retry_after_of(refused), milliseconds(6000));
    EXPECT_GE(this->servers.retry_after("assistant"), milliseconds(3900));
}

TEST_F(dispatcher_test, a_request_with_time_left_waits_for_a_server_that_holds_off)
{
    this->servers.set_servers({make_server("1", 4)});
    this->servers.apply_notice(make_server("1", 4), {false, milliseconds(300)});
    const absl::StatusOr<placement> placed = this->servers.place(make_request(), hangup_watch());
    ASSERT_TRUE(placed.ok()) << placed.status();
    EXPECT_GE(placed->waited, milliseconds(290));
}

TEST_F(dispatcher_test, a_waiting_request_is_refused_once_all_hold_offs_end_after_its_deadline)
{
    this->servers.set_servers({make_server("1", 1)});
    const placement first = this->place_now();
    const steady_time begun = steady_clock::now();
    std::thread waiting([&] {
        EXPECT_TRUE(absl::IsResourceExhausted(
            this->servers.place(make_request(), hangup_watch()).status()));
    });
    while (this->servers.waiting() == 0) {
        std::this_thread::yield();
    }
    this->servers.apply_notice(first.server, {false, milliseconds(5000)});
    waiting.join();
    EXPECT_LT(steady_clock::now() - begun, milliseconds(600));
    this->finish(first);
}

TEST_F(dispatcher_test, refuses_at_once_while_all_groups_of_a_service_have_long_been_broken)
{
    this->servers.set_servers({make_server("1", 4)});
    server_report broken;
    broken.group_broken = true;
    const steady_time begun = steady_clock::now();
    while (steady_clock::now() < begun + milliseconds(2100)) {
        this->servers.apply_report("10.0.0.1", broken);
        std::this_thread::sleep_for(milliseconds(50));
    }
    const steady_time requested_at = steady_clock::now();
    const absl::Status refused = this->servers.place(make_request(), hangup_watch()).status();
    EXPECT_TRUE(absl::IsUnavailable(refused));
    EXPECT_LT(steady_clock::now() - requested_at, milliseconds(100));
    EXPECT_GT(retry_after_of(refused), milliseconds(500));
    EXPECT_EQ(this->servers.availabilities().at("assistant").condition, service_condition::down);
    this->servers.apply_report("10.0.0.1", server_report());
    EXPECT_TRUE(this->servers.place(make_request(), hangup_watch()).ok());
}

TEST_F(dispatcher_test, a_restarted_server_gets_a_new_state)
{
    this->servers.set_servers({make_server("1", 1)});
    const placement before = this->place_now();
    backend_server restarted = make_server("1", 1);
    restarted.born_ms = 7;
    this->servers.set_servers({restarted});
    const placement after = this->place_now();
    this->finish(before);
    ASSERT_EQ(this->servers.summary().size(), 1U);
    EXPECT_EQ(this->servers.summary()[0].own_in_flight, 1);
    this->finish(after);
}

TEST_F(dispatcher_test, a_waiting_request_gets_a_slot_that_becomes_free)
{
    this->servers.set_servers({make_server("1", 1)});
    const placement first = this->place_now();
    std::thread waiting([&] {
        absl::StatusOr<placement> placed = this->servers.place(make_request(), hangup_watch());
        ASSERT_TRUE(placed.ok());
        EXPECT_EQ(placed->server.id, "1");
    });
    while (this->servers.waiting() == 0) {
        std::this_thread::yield();
    }
    this->finish(first);
    waiting.join();
}

TEST_F(dispatcher_test, the_request_of_higher_priority_is_placed_first)
{
    this->servers.set_servers({make_server("1", 1)});
    const placement first = this->place_now();
    std::atomic<int> order = 0;
    int high_place = 0;
    int low_place = 0;
    const auto wait = [&](int priority, int& place) {
        absl::StatusOr<placement> placed =
            this->servers.place(make_request(priority), hangup_watch());
        ASSERT_TRUE(placed.ok());
        place = ++order;
        this->finish(*placed);
    };
    std::thread low([&] { wait(2, low_place); });
    while (this->servers.waiting() < 1) {
        std::this_thread::yield();
    }
    std::thread high([&] { wait(0, high_place); });
    while (this->servers.waiting() < 2) {
        std::this_thread::yield();
    }
    this->finish(first);
    low.join();
    high.join();
    EXPECT_LT(high_place, low_place);
}

TEST_F(dispatcher_test, removes_the_request_of_a_disconnected_caller_from_the_queue)
{
    this->servers.set_servers({make_server("1", 1)});
    const placement first = this->place_now();
    std::array<int, 2> ends{};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
    tcp_socket near(ends[0]);
    tcp_socket far(ends[1]);
    std::thread waiting([&] {
        EXPECT_TRUE(absl::IsCancelled(
            this->servers.place(make_request(), hangup_watch(near.descriptor())).status()));
    });
    while (this->servers.waiting() == 0) {
        std::this_thread::yield();
    }
    far.close();
    waiting.join();
    EXPECT_EQ(this->servers.waiting(), 0);
    this->finish(first);
}

// With little traffic the completion rate is low, which says nothing about how long a request waits
// for a server that is briefly excluded after a failure.
TEST_F(dispatcher_test, a_single_request_waits_for_an_excluded_server)
{
    this->servers.set_servers({make_server("1", 4)});
    this->finish(this->place_now());
    std::this_thread::sleep_for(milliseconds(2300));
    this->servers.finish(this->place_now(), attempt_result::unreachable, milliseconds(0));
    EXPECT_TRUE(this->servers.place(make_request(), hangup_watch()).ok());
}

// Under a burst that the service cannot serve in time, the requests that it can serve are served.
// The rest are refused on arrival with a time to retry, spread over the time in which the queue
// drains.
TEST_F(dispatcher_test, refuses_on_arrival_what_cannot_be_served_in_time)
{
    constexpr int slots = 4;
    constexpr int burst_size = 60;
    constexpr milliseconds work{50};
    this->servers.set_servers({make_server("1", slots)});
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> refused_late = 0;
    const auto serve = [&] {
        const steady_time begun = steady_clock::now();
        placement_request request = make_request();
        request.max_wait = milliseconds(200);
        absl::StatusOr<placement> placed = this->servers.place(request, hangup_watch());
        if (placed.ok()) {
            std::this_thread::sleep_for(work);
            this->finish(*placed);
            ++served;
            return;
        }
        ++refused;
        EXPECT_GT(retry_after_of(placed.status()).count(), 0);
        refused_late += steady_clock::now() - begun > milliseconds(100) ? 1 : 0;
    };
    std::vector<std::thread> callers;
    callers.reserve(slots + burst_size);
    // A steady load first, so that the completion rate of the service is known.
    std::atomic<bool> burst_started = false;
    for (int i = 0; i < slots; ++i) {
        callers.emplace_back([&] {
            while (!burst_started) {
                serve();
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(2200));
    EXPECT_EQ(refused, 0);
    served = 0;
    burst_started = true;
    for (int i = 0; i < burst_size; ++i) {
        callers.emplace_back(serve);
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_GT(refused, 0);
    EXPECT_GE(served, slots * 2);
    EXPECT_LT(refused_late, refused / 2);
}

} // namespace
} // namespace sardinestream
