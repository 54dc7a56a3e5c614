// Agents of a group that are asked to stop while its expert map changes: who goes on, and for how
// long does the group stand still?

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>

#include "sardinestream/testing/emulator/agent_group_fixture.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr int no_rank = -1;
constexpr int ranks = 8;

class agent_stop_test : public agent_group_fixture {
protected:
    void SetUp() override
    {
        this->on_order = [this](int /*rank*/, const engine_order& order) {
            if (this->stop_at.load() == static_cast<int>(order.kind)) {
                this->stop_once();
            }
        };
    }

    void start_group(double loss)
    {
        rank_group_options chosen;
        chosen.name = "g";
        chosen.shape = {2, ranks, 32, 6};
        chosen.pass_time = milliseconds(20);
        gossip_link link;
        link.loss = loss;
        this->start(chosen, link);
        ASSERT_TRUE(waits_until([this] { return this->common_coordinator() >= 0; }));
    }

    void stop(int rank) { this->agents[static_cast<std::size_t>(rank)]->stop(); }

    // Tells an agent to stop as soon as an engine accepts an order of this kind.
    void stop_at_first(order_kind kind, int rank)
    {
        this->leaver = rank;
        this->stop_at = static_cast<int>(kind);
    }

    // The rank that the agent has followed last.
    [[nodiscard]] int followed_by(int rank) const
    {
        return this->agents[static_cast<std::size_t>(rank)]->status().coordinator_rank;
    }

    // Asks for other experts and waits until a map for them is in force. Returns the longest time
    // without a pass.
    [[nodiscard]] milliseconds longest_pause_in_change(int taste)
    {
        const std::int64_t before = this->group->map_version();
        this->group->set_demand(taste);
        const steady_time end = steady_clock::now() + patience;
        steady_clock::duration longest{};
        std::int64_t pass = this->group->passes();
        steady_time last = steady_clock::now();
        while (this->group->map_version() == before && steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(1));
            const steady_time now = steady_clock::now();
            longest = std::max(longest, now - last);
            if (std::exchange(pass, this->group->passes()) != pass) {
                last = now;
            }
        }
        EXPECT_GT(this->group->map_version(), before);
        return std::chrono::duration_cast<milliseconds>(longest);
    }

    void stop_coordinator_at(order_kind kind)
    {
        this->start_group(0);
        const int first = this->common_coordinator();
        this->stop_at_first(kind, first);
        const milliseconds pause = this->longest_pause_in_change(5);
        RecordProperty("longest_pause_ms", std::to_string(pause.count()));
        this->wait_for_end(first);
        EXPECT_NE(this->followed_by(first), first);
    }

private:
    void stop_once()
    {
        if (const int rank = this->leaver.exchange(no_rank); rank != no_rank) {
            this->stop(rank);
        }
    }

    std::atomic<int> stop_at{-1};
    std::atomic<int> leaver{no_rank};
};

TEST_F(agent_stop_test, a_coordinator_asked_to_stop_while_maps_are_prepared_has_a_successor)
{
    this->stop_coordinator_at(order_kind::prepare);
}

TEST_F(agent_stop_test, a_coordinator_asked_to_stop_at_a_hold_leaves_no_group_standing)
{
    this->stop_coordinator_at(order_kind::hold);
}

TEST_F(agent_stop_test, a_coordinator_asked_to_stop_while_ranks_are_armed_leaves_no_group_standing)
{
    this->stop_coordinator_at(order_kind::arm);
}

TEST_F(agent_stop_test, the_engine_of_an_agent_that_stops_is_read_before_the_agent_ends)
{
    this->start_group(0);
    const int other = (this->common_coordinator() + 3) % ranks;
    this->stop(other);
    this->wait_for_end(other);
    EXPECT_GT(this->direct_reads[static_cast<std::size_t>(other)], 0);
}

TEST_F(agent_stop_test, a_change_comes_about_when_another_agent_stops_in_it)
{
    this->start_group(0);
    const int other = (this->common_coordinator() + 3) % ranks;
    this->stop_at_first(order_kind::prepare, other);
    const milliseconds pause = this->longest_pause_in_change(5);
    RecordProperty("longest_pause_ms", std::to_string(pause.count()));
    this->wait_for_end(other);
    EXPECT_GT(this->direct_reads[static_cast<std::size_t>(other)], 0);
}

TEST_F(agent_stop_test, successors_that_stop_as_well_are_passed_over)
{
    this->start_group(0);
    const int first = this->common_coordinator();
    const std::array<int, 3> leavers = {(first + 1) % ranks, (first + 2) % ranks, first};
    for (const int rank : leavers) {
        this->stop(rank);
        this->stop(rank);
    }
    for (const int rank : leavers) {
        this->wait_for_end(rank);
    }
    const int follower = (first + 4) % ranks;
    for (const int rank : leavers) {
        EXPECT_NE(this->followed_by(follower), rank);
    }
    EXPECT_TRUE(this->follows_change(5));
}

TEST_F(agent_stop_test, maps_stay_alike_while_agents_are_replaced_in_turn_and_messages_are_lost)
{
    this->start_group(0.05);
    for (int round = 0; round < ranks; ++round) {
        const int rank = round % 2 == 0 ? this->followed_by(round) : round;
        this->stop_at_first(round % 3 == 0 ? order_kind::hold : order_kind::arm, rank);
        EXPECT_TRUE(this->follows_change(5 + 7 * round)) << round;
        this->stop(rank);
        this->wait_for_end(rank);
        this->replace_agent(rank);
    }
}

} // namespace
} // namespace sardinestream::testing
