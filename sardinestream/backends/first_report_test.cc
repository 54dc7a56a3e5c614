// Plays the load that a process meets right after its start: requests come before any agent has
// reported whether the group of its server serves. A loss of power starts all processes at once,
// while the ranks still form their group and refuse all requests.

#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/backends/dispatcher.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr int ranks = 4;
constexpr char service[] = "assistant";

std::vector<backend_server> make_ranks()
{
    std::vector<backend_server> servers;
    for (int rank = 0; rank < ranks; ++rank) {
        backend_server server;
        server.id = std::to_string(rank);
        server.service = service;
        server.slots = 8;
        server.endpoint = {"10.0.0." + server.id, 80};
        servers.push_back(server);
    }
    return servers;
}

service_policies make_policies(int layer_sets)
{
    service_policies policies;
    policies[service].engine.layer_sets = layer_sets;
    return policies;
}

placement_request make_request(milliseconds max_wait)
{
    placement_request request;
    request.service = service;
    request.max_wait = max_wait;
    return request;
}

class first_report_test : public testing::Test {
protected:
    // Sends requests until one has to wait, as many as `most`. Returns how many were sent.
    int send(int most)
    {
        int sent = 0;
        while (sent < most) {
            absl::StatusOr<placement> placed =
                this->servers.place(make_request(milliseconds(0)), hangup_watch());
            if (!placed.ok()) {
                break;
            }
            ++sent;
            this->last = *std::move(placed);
        }
        return sent;
    }

    void report(bool broken)
    {
        for (int rank = 0; rank < ranks; ++rank) {
            server_report report;
            report.group = "g";
            report.group_broken = broken;
            this->servers.apply_report("10.0.0." + std::to_string(rank), report);
        }
    }

    dispatcher servers{dispatcher_options{"a"}};
    placement last;
};

TEST_F(first_report_test, only_a_probe_is_sent_to_a_group_of_which_nothing_is_known)
{
    this->servers.set_policies(make_policies(6));
    this->servers.set_servers(make_ranks());
    EXPECT_EQ(this->send(10), 1);
    this->servers.finish(this->last, attempt_result::refused, milliseconds(1));
    EXPECT_EQ(this->send(10), 0);
    // The others wait instead of being refused.
    EXPECT_FALSE(this->servers.is_down(service));
}

TEST_F(first_report_test, the_order_of_services_and_servers_is_of_no_account)
{
    this->servers.set_servers(make_ranks());
    this->servers.set_policies(make_policies(6));
    EXPECT_EQ(this->send(10), 1);
}

TEST_F(first_report_test, a_waiting_request_is_sent_with_the_first_report_of_a_group_that_serves)
{
    this->servers.set_policies(make_policies(6));
    this->servers.set_servers(make_ranks());
    EXPECT_EQ(this->send(10), 1);
    std::thread agent([this] {
        std::this_thread::sleep_for(milliseconds(50));
        this->report(false);
    });
    EXPECT_TRUE(this->servers.place(make_request(milliseconds(900)), hangup_watch()).ok());
    agent.join();
}

TEST_F(first_report_test, a_report_that_the_group_does_not_serve_keeps_requests_waiting)
{
    this->servers.set_policies(make_policies(6));
    this->servers.set_servers(make_ranks());
    EXPECT_EQ(this->send(10), 1);
    this->report(true);
    EXPECT_EQ(this->send(10), 0);
    this->report(false);
    EXPECT_EQ(this->send(10), 10);
}

TEST_F(first_report_test, a_probe_that_is_served_opens_the_service)
{
    this->servers.set_policies(make_policies(6));
    this->servers.set_servers(make_ranks());
    EXPECT_EQ(this->send(10), 1);
    this->servers.note_accepted(this->last);
    EXPECT_EQ(this->send(10), 10);
}

TEST_F(first_report_test, servers_without_agents_are_used_after_a_second)
{
    this->servers.set_policies(make_policies(6));
    this->servers.set_servers(make_ranks());
    EXPECT_EQ(this->send(10), 1);
    int sent_at_once = 1;
    while (sent_at_once <= 1) {
        std::this_thread::sleep_for(milliseconds(20));
        sent_at_once = this->send(10);
    }
    EXPECT_EQ(sent_at_once, 10);
}

TEST_F(first_report_test, a_new_rank_holds_up_no_service_that_serves)
{
    this->servers.set_policies(make_policies(6));
    std::vector<backend_server> listed = make_ranks();
    this->servers.set_servers(listed);
    this->report(false);
    listed.push_back(listed.back());
    listed.back().id = "new";
    listed.back().endpoint.ip = "10.0.0.99";
    this->servers.set_servers(listed);
    EXPECT_EQ(this->send(10), 10);
    EXPECT_NE(this->last.server.id, "new");
}

TEST_F(first_report_test, a_service_without_groups_is_used_at_once)
{
    this->servers.set_policies(make_policies(0));
    this->servers.set_servers(make_ranks());
    EXPECT_EQ(this->send(10), 10);
}

// Many processes with a backlog meet the first few servers that report room.
TEST(backlog_test, the_first_servers_that_open_are_not_filled_by_all_processes_at_once)
{
    constexpr int processes = 14;
    constexpr int slots = 10;
    backend_server known;
    known.slots = slots;
    server_state state(known);
    const steady_time now = steady_clock::now();
    state.apply_report({.group = "g"}, now);
    load_view view;
    view.processes = processes;
    int alone = 0;
    while (state.load(slots, view, {}, now).occupancy + 1 <= slots) {
        state.begin_attempt(now);
        ++alone;
    }
    EXPECT_EQ(alone, slots);
    state.apply_report({.group = "g"}, now);
    view.has_backlog = true;
    EXPECT_GT(state.load(slots, view, {}, now).occupancy, slots - 1);
    server_state opened(known);
    opened.apply_report({.group = "g"}, now);
    int with_backlog = 0;
    while (opened.load(slots, view, {}, now).occupancy + 1 <= slots) {
        opened.begin_attempt(now);
        ++with_backlog;
    }
    EXPECT_EQ(with_backlog, 1);
}

} // namespace
} // namespace sardinestream
