// The agents of one large group, each on a machine with a slow link: do changes of its expert map
// come about, and what do the links carry for it?

#include <chrono>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/testing/emulator/agent_group_fixture.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

class large_group_test : public agent_group_fixture {
protected:
    void start(const map_shape& shape, const gossip_link& link)
    {
        rank_group_options chosen;
        chosen.name = "g";
        chosen.shape = shape;
        chosen.most_new_experts = 2;
        chosen.pass_time = milliseconds(60);
        chosen.copy_time_per_expert = milliseconds(18);
        agent_group_fixture::start(chosen, link);
    }
};

constexpr map_shape shape_of_96 = {16, 96, 192, 3};

TEST_F(large_group_test, follows_changes_of_demand_over_slow_links)
{
    this->start(shape_of_96, {});
    for (const int taste : {50, 120, 20}) {
        EXPECT_TRUE(this->follows_change(taste)) << taste;
    }
}

TEST_F(large_group_test, follows_changes_of_demand_while_messages_are_lost)
{
    gossip_link link;
    link.loss = 0.025;
    this->start(shape_of_96, link);
    for (const int taste : {50, 120}) {
        EXPECT_TRUE(this->follows_change(taste)) << taste;
    }
}

TEST_F(large_group_test, keeps_its_coordinator_while_maps_change)
{
    this->start(shape_of_96, {});
    ASSERT_TRUE(this->follows_change(50));
    const int coordinator = this->common_coordinator();
    EXPECT_GE(coordinator, 0);
    EXPECT_TRUE(this->follows_change(120));
    EXPECT_TRUE(this->follows_change(20));
    EXPECT_EQ(this->common_coordinator(), coordinator);
}

TEST_F(large_group_test, another_agent_goes_on_where_the_coordinator_is_cut_off)
{
    this->start(shape_of_96, {});
    ASSERT_TRUE(this->follows_change(50));
    const int first = this->common_coordinator();
    ASSERT_GE(first, 0);
    this->network->set_cut(ip_of(first), true);
    EXPECT_TRUE(this->follows_change(120));
    this->network->set_cut(ip_of(first), false);
    EXPECT_TRUE(waits_until([&] { return this->common_coordinator() >= 0; }));
    EXPECT_NE(this->common_coordinator(), first);
}

TEST_F(large_group_test, leaves_most_of_every_link_free)
{
    this->start(shape_of_96, {});
    ASSERT_TRUE(this->follows_change(50));
    std::vector<gossip_network::link_use> before;
    before.reserve(shape_of_96.ranks);
    for (int rank = 0; rank < shape_of_96.ranks; ++rank) {
        before.push_back(this->network->use_of(ip_of(rank)));
    }
    const steady_time begun = steady_clock::now();
    ASSERT_TRUE(this->follows_change(120));
    std::this_thread::sleep_for(milliseconds(1000));
    const std::chrono::duration<double> time = steady_clock::now() - begun;
    for (int rank = 0; rank < shape_of_96.ranks; ++rank) {
        const gossip_network::link_use now = this->network->use_of(ip_of(rank));
        const gossip_network::link_use& then = before[static_cast<std::size_t>(rank)];
        const double half = gossip_link().bytes_per_s * time.count() / 2;
        EXPECT_LT(static_cast<double>(now.bytes_sent - then.bytes_sent), half) << rank;
        EXPECT_LT(static_cast<double>(now.bytes_received - then.bytes_received), half) << rank;
        EXPECT_EQ(now.dropped, then.dropped) << rank;
    }
}

} // namespace
} // namespace sardinestream::testing
