// Tests what callers of urgent and unhurried streams get in floods, with and without the order by
// urgency.

#include <gtest/gtest.h>

#include "sardinestream/backends/played_rank_group.h"

namespace sardinestream::played {
namespace {

// The same day with and without the feature.
struct compared {
    explicit compared(const played_day& day)
        : without(played_group(day, false).play()), with(played_group(day, true).play())
    {
    }

    // What is most urgent is served better than without, nothing urgent is refused for it, and no
    // kind waits longer than a less urgent one.
    void expect_urgent_first() const
    {
        SCOPED_TRACE(testing::Message() << "without:\n"
                                        << this->without << "with:\n"
                                        << this->with);
        EXPECT_GT(this->with[urgent].in_time_share(), this->without[urgent].in_time_share() + 0.03);
        EXPECT_EQ(this->with[urgent].refused, 0);
        EXPECT_LE(this->with[urgent].longest_wait_ms, this->with[middle].longest_wait_ms + 500);
        EXPECT_LE(this->with[middle].longest_wait_ms, this->with[unhurried].longest_wait_ms + 500);
        EXPECT_LT(this->with[urgent].longest_wait_ms, this->without[urgent].longest_wait_ms);
    }

    const outcomes without;
    const outcomes with;
};

TEST(urgency_load, usual_load_leaves_nobody_out)
{
    const compared played{played_day()};
    EXPECT_GE(played.with[urgent].in_time_share(), played.without[urgent].in_time_share());
    EXPECT_GT(played.with[unhurried].in_time_share(), 0.98);
    EXPECT_EQ(played.with[unhurried].refused, 0);
}

TEST(urgency_load, a_flood_of_the_unhurried_does_not_delay_the_urgent)
{
    compared(flood_of(unhurried, 2.5)).expect_urgent_first();
}

TEST(urgency_load, a_flood_of_all_kinds)
{
    compared(flood_of(all_kinds, 1.9)).expect_urgent_first();
}

TEST(urgency_load, a_flood_of_one_team_of_the_middle_kind)
{
    compared(flood_of(middle, 4)).expect_urgent_first();
}

TEST(urgency_load, callers_who_leave)
{
    played_day day = flood_of(unhurried, 2.5);
    day.leaving_share = 0.3;
    compared(day).expect_urgent_first();
}

TEST(urgency_load, callers_who_come_back_at_once)
{
    played_day day = flood_of(all_kinds, 1.9);
    day.come_back_at_once = true;
    compared(day).expect_urgent_first();
}

TEST(urgency_load, a_slow_rank_during_a_flood)
{
    played_day day = flood_of(unhurried, 2.5);
    day.slowness = [](int at_ms) { return in_flood(at_ms) ? 1.5 : 1.05; };
    compared(day).expect_urgent_first();
}

TEST(urgency_load, reports_that_stop)
{
    played_day day = flood_of(unhurried, 1.3);
    day.reports_arrive = [](int at_ms) { return at_ms < 6000 || at_ms >= 7000; };
    const compared played(day);
    EXPECT_GE(played.with[urgent].in_time_share(), played.without[urgent].in_time_share());
    EXPECT_EQ(played.with[urgent].refused, 0);
}

} // namespace
} // namespace sardinestream::played
