// A group whose agents cannot always read which experts their engines hold.

#include <chrono>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/testing/emulator/agent_group_fixture.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr int ranks = 8;
// Changes of map take less.
constexpr milliseconds wait_for_a_change{2500};

class agent_experts_test : public agent_group_fixture {};

// Regression: ranks began a pass with different maps of one version.
TEST_F(agent_experts_test, maps_stay_alike_while_the_experts_of_a_new_map_cannot_be_read)
{
    rank_group_options chosen;
    chosen.name = "g";
    chosen.shape = {2, ranks, 32, 6};
    chosen.pass_time = milliseconds(20);
    this->start(chosen, gossip_link{});
    ASSERT_TRUE(waits_until([this] { return this->common_coordinator() >= 0; }));
    this->unread_rank = (this->common_coordinator() + 3) % ranks;
    ASSERT_TRUE(this->follows_change(5));
    const std::int64_t unread = this->group->map_version();
    for (const int taste : {12, 19, 26}) {
        this->group->set_demand(taste);
        std::this_thread::sleep_for(wait_for_a_change);
    }
    EXPECT_EQ(this->group->map_version(), unread);
    this->unread_rank = -1;
    EXPECT_TRUE(this->follows_change(40));
}

} // namespace
} // namespace sardinestream::testing
