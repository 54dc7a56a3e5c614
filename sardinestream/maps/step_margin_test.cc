// Tests the margin of a switch for steps of all lengths.

#include <gtest/gtest.h>

#include "sardinestream/maps/step_margin.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

TEST(step_margin, steps_of_usual_length_give_orders_two_and_lost_ones_five)
{
    for (const int step_ms : {0, 1, 40, 120}) {
        EXPECT_EQ(step_margin(milliseconds(step_ms), false), 2) << step_ms;
        EXPECT_EQ(step_margin(milliseconds(step_ms), true), 5) << step_ms;
    }
}

// A rank that is twelve times slower than its group makes steps of 850 ms; five of them kept the
// map that relieves it back for 4.3 s.
TEST(step_margin, long_steps_do_not_delay_the_switch_by_seconds)
{
    EXPECT_EQ(step_margin(milliseconds(850), true), 1);
    EXPECT_EQ(step_margin(milliseconds(850), false), 1);
    EXPECT_EQ(step_margin(milliseconds(250), false), 2);
    EXPECT_EQ(step_margin(milliseconds(250), true), 2);
    EXPECT_EQ(step_margin(std::chrono::hours(1), true), 1);
}

TEST(step_pace, follows_the_reports_of_a_group)
{
    step_pace pace;
    const steady_time start = steady_clock::now();
    EXPECT_EQ(pace.step_time(start).count(), 0);
    pace.note_step(10, start);
    pace.note_step(12, start + milliseconds(100));
    EXPECT_EQ(pace.step_time(start + milliseconds(100)).count(), 50);
    pace.note_step(12, start + milliseconds(400));
    // The current step is known to take longer.
    EXPECT_EQ(pace.step_time(start + milliseconds(400)).count(), 300);
    pace.note_step(13, start + milliseconds(950));
    EXPECT_EQ(pace.step_time(start + milliseconds(960)).count(), 850);
}

TEST(step_pace, a_group_that_has_formed_again_counts_anew)
{
    step_pace pace;
    const steady_time start = steady_clock::now();
    pace.note_step(500, start);
    pace.note_step(502, start + milliseconds(100));
    pace.note_step(0, start + milliseconds(5000));
    pace.note_step(1, start + milliseconds(5060));
    EXPECT_EQ(pace.step_time(start + milliseconds(5060)).count(), 60);
}

} // namespace
} // namespace sardinestream
