// Tests when a server counts as cold, and the part of its bound that one process has.

#include <limits>

#include <gtest/gtest.h>

#include "sardinestream/backends/cold_limits.h"
#include "sardinestream/backends/dispatcher.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr cold_bound usual_bound = {1.5, 5};

service_policies policies_with(double cold_rate)
{
    service_policies declared;
    declared["s"].cold_rate = cold_rate;
    declared["s"].cold_period = seconds(3);
    return declared;
}

backend_server make_server(const std::string& id = "i-1")
{
    backend_server server;
    server.id = id;
    server.born_ms = 1;
    server.endpoint = {"10.0.0.1", 80};
    server.service = "s";
    server.slots = 100;
    return server;
}

class cold_limits_test : public testing::Test {
protected:
    cold_limits_test()
    {
        this->limits.set_policies(policies_with(26));
        this->limits.note_list_answer(this->now);
        this->limits.set_servers({this->server}, this->now);
    }

    // Sends what the limit allows now.
    int send_allowed()
    {
        int sent = 0;
        while (this->limits.next_request_time(this->server, this->now) <= this->now &&
               sent < 1000) {
            this->limits.note_placed(this->server);
            this->limits.note_sent(this->server, this->now);
            ++sent;
        }
        return sent;
    }

    // Lets time pass in which the store answers.
    void pass_in_touch(seconds length)
    {
        for (int i = 0; i < length.count(); ++i) {
            this->now += seconds(1);
            this->limits.note_list_answer(this->now);
        }
    }

    // Lets this process hear of the others for long enough.
    void settle(int others)
    {
        process_group group;
        for (int i = 1; i <= others; ++i) {
            group.others.push_back(static_cast<std::uint32_t>(i));
        }
        this->limits.set_processes(group, this->now);
        this->now += seconds(3);
    }

    steady_time now = steady_time{} + std::chrono::hours(1);
    const backend_server server = make_server();
    cold_limits limits{usual_bound};
};

TEST_F(cold_limits_test, a_process_that_knows_no_other_takes_a_32nd)
{
    EXPECT_EQ(this->send_allowed(), 1);
    this->now += milliseconds(1000);
    EXPECT_EQ(this->send_allowed(), 0);
    this->now += milliseconds(2);
    EXPECT_EQ(this->send_allowed(), 1);
}

TEST_F(cold_limits_test, silent_processes_keep_their_part)
{
    this->limits.set_processes({0, {1, 2}, {3, 4, 5}}, this->now);
    this->now += seconds(3);
    // 44, less four parts of one for processes that are not known yet.
    EXPECT_EQ(this->send_allowed(), 40 / 6);
}

TEST_F(cold_limits_test, a_request_counts_until_a_second_after_it_was_sent)
{
    this->settle(19);
    this->limits.note_outage(this->server, this->now);
    this->limits.note_placed(this->server);
    EXPECT_LE(this->limits.next_request_time(this->server, this->now), this->now);
    this->limits.note_placed(this->server);
    this->now += seconds(2);
    EXPECT_GT(this->limits.next_request_time(this->server, this->now), this->now);
    this->limits.note_sent(this->server, this->now);
    this->limits.note_never_sent(this->server);
    EXPECT_EQ(this->send_allowed(), 1);
}

TEST_F(cold_limits_test, where_the_bound_is_small_only_some_processes_use_a_server)
{
    int users = 0;
    for (std::uint32_t own = 0; own < 100; ++own) {
        cold_limits one(usual_bound);
        one.set_policies(policies_with(26));
        one.set_servers({this->server}, this->now);
        process_group group = {own, {}, {}};
        for (std::uint32_t other = 0; other < 100; ++other) {
            if (other != own) {
                (other % 2 == 0 ? group.others : group.silent).push_back(other);
            }
        }
        one.set_processes(group, this->now);
        const steady_time later = this->now + seconds(3);
        users += one.next_request_time(this->server, later) <= later ? 1 : 0;
    }
    EXPECT_EQ(users, 40);
}

TEST_F(cold_limits_test, a_server_is_cold_as_long_as_it_says_so_or_may_be)
{
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::perhaps_cold);
    this->pass_in_touch(seconds(4));
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::warm);
    EXPECT_EQ(this->send_allowed(), 1000);
    backend_server stated = this->server;
    stated.cold_until = this->now + seconds(2);
    this->limits.set_servers({stated}, this->now);
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::cold);
    EXPECT_EQ(this->send_allowed(), 0);
    this->pass_in_touch(seconds(2));
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::warm);
    this->limits.note_outage(this->server, this->now);
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::perhaps_cold);
    this->pass_in_touch(seconds(4));
    backend_server restarted = this->server;
    restarted.born_ms = 2;
    this->limits.set_servers({restarted}, this->now);
    EXPECT_EQ(this->limits.condition(restarted, this->now), cold_condition::perhaps_cold);
}

TEST_F(cold_limits_test, without_answers_of_the_store_all_servers_may_be_cold)
{
    this->pass_in_touch(seconds(4));
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::warm);
    this->now += seconds(3);
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::perhaps_cold);
    EXPECT_EQ(this->send_allowed(), 1);
    this->now += std::chrono::hours(1);
    EXPECT_EQ(this->send_allowed(), 1);
    // What it missed may still hold.
    this->pass_in_touch(seconds(4));
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::perhaps_cold);
    this->pass_in_touch(seconds(1));
    EXPECT_EQ(this->limits.condition(this->server, this->now), cold_condition::warm);
}

TEST_F(cold_limits_test, a_service_without_a_sensible_rate_has_no_limit)
{
    for (const double rate : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()}) {
        this->limits.set_policies(policies_with(rate));
        EXPECT_EQ(this->send_allowed(), 1000) << rate;
    }
    cold_limits off({0, 0});
    off.set_policies(policies_with(26));
    off.set_servers({this->server}, this->now);
    EXPECT_EQ(off.condition(this->server, this->now), cold_condition::warm);
    // Unknown servers, and those that were dropped, do no harm.
    this->limits.note_never_sent(make_server("unknown"));
    this->limits.set_servers({}, this->now + seconds(2));
    EXPECT_LE(this->limits.next_request_time(this->server, this->now), this->now);
}

TEST_F(cold_limits_test, a_huge_rate_is_bounded)
{
    this->limits.set_policies(policies_with(1e9));
    this->settle(1);
    EXPECT_EQ(this->send_allowed(), (256 - 4 * 8) / 2);
}

class cold_dispatcher_test : public testing::Test {
protected:
    cold_dispatcher_test()
    {
        this->servers.set_policies(policies_with(26));
        this->servers.set_servers({make_server()});
    }

    std::optional<placement> place()
    {
        placement_request request;
        request.service = "s";
        return this->servers.place_if_free(request);
    }

    dispatcher servers{{"a", 0, usual_bound}};
};

TEST_F(cold_dispatcher_test, a_placement_that_was_not_sent_counts_no_more)
{
    const std::optional<placement> first = this->place();
    ASSERT_TRUE(first.has_value());
    EXPECT_FALSE(this->place().has_value());
    this->servers.finish(*first, attempt_result::abandoned, milliseconds(0));
    std::optional<placement> second = this->place();
    ASSERT_TRUE(second.has_value());
    this->servers.note_sent(*second);
    this->servers.finish(*second, attempt_result::succeeded, milliseconds(1));
    EXPECT_FALSE(this->place().has_value());
}

TEST_F(cold_dispatcher_test, a_newer_cold_time_keeps_the_state_of_the_server)
{
    ASSERT_TRUE(this->place().has_value());
    backend_server stated = make_server();
    stated.cold_until = steady_clock::now() + seconds(30);
    this->servers.set_servers({stated});
    ASSERT_EQ(this->servers.summary().size(), 1U);
    EXPECT_EQ(this->servers.summary()[0].own_in_flight, 1);
    EXPECT_EQ(this->servers.summary()[0].coldness, cold_condition::cold);
    EXPECT_FALSE(this->place().has_value());
}

TEST_F(cold_dispatcher_test, a_request_that_finds_only_exhausted_cold_servers_is_refused)
{
    ASSERT_TRUE(this->place().has_value());
    placement_request request;
    request.service = "s";
    request.max_wait = milliseconds(20);
    const absl::StatusOr<placement> refused = this->servers.place(request, hangup_watch());
    EXPECT_EQ(refused.status().code(), absl::StatusCode::kResourceExhausted);
}

} // namespace
} // namespace sardinestream
