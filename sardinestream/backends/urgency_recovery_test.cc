// Tests how soon callers are in time again after a flood of streams.

#include <gtest/gtest.h>

#include "sardinestream/backends/played_rank_group.h"

namespace sardinestream::played {
namespace {

// From any backlog, callers are in time again 3 s after the arrivals fit.
TEST(urgency_load, callers_are_in_time_again_soon_after_a_flood)
{
    for (const played_day& day : {flood_of(unhurried, 2.5), flood_of(all_kinds, 1.9)}) {
        played_group played(day, true);
        played.play();
        played_group quiet(played_day(), true);
        quiet.play();
        constexpr int again_s = flood_end_ms / 1000 + 3;
        for (int second = again_s; second < again_s + 4; ++second) {
            EXPECT_GT(played.in_second(second).in_time_share(),
                      quiet.in_second(second).in_time_share() - 0.1)
                << second;
        }
    }
}

} // namespace
} // namespace sardinestream::played
