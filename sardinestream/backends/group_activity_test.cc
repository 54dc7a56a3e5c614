#include <gtest/gtest.h>

#include "sardinestream/backends/group_activity.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

class group_activity_test : public testing::Test {
protected:
    // Events every 100 ms from `begin` to `end`, both inclusive.
    void send(milliseconds begin, milliseconds end, const std::string& group = "group")
    {
        for (milliseconds at = begin; at <= end; at += milliseconds(100)) {
            this->activity.note_event(group, this->start + at);
        }
    }

    [[nodiscard]] bool runs_at(milliseconds at, const std::string& group = "group") const
    {
        return this->activity.is_running(group, this->start + at);
    }

    group_activity activity;
    const steady_time start = steady_clock::now();
};

TEST_F(group_activity_test, a_group_that_goes_on_sending_events_runs)
{
    this->send(milliseconds(0), milliseconds(600));
    EXPECT_TRUE(this->runs_at(milliseconds(600)));
    EXPECT_TRUE(this->runs_at(milliseconds(1199)));
}

TEST_F(group_activity_test, a_group_that_has_sent_no_event_for_a_while_does_not_run)
{
    EXPECT_FALSE(this->runs_at(milliseconds(0)));
    this->send(milliseconds(0), milliseconds(600));
    EXPECT_FALSE(this->runs_at(milliseconds(1200)));
}

// Guards against a rank that is taken for silent because another rank sent first after a pause.
TEST_F(group_activity_test, the_first_event_after_a_pause_does_not_make_the_group_run)
{
    this->send(milliseconds(0), milliseconds(1000));
    this->send(milliseconds(2500), milliseconds(2500));
    EXPECT_FALSE(this->runs_at(milliseconds(2500)));
    this->send(milliseconds(2600), milliseconds(3000));
    EXPECT_FALSE(this->runs_at(milliseconds(3099)));
    EXPECT_TRUE(this->runs_at(milliseconds(3100)));
}

TEST_F(group_activity_test, one_event_does_not_make_a_group_run_later)
{
    this->send(milliseconds(0), milliseconds(0));
    EXPECT_FALSE(this->runs_at(milliseconds(599)));
    EXPECT_FALSE(this->runs_at(milliseconds(600)));
}

// Guards against a dead rank that is kept because its group sends events at a slow pace.
TEST_F(group_activity_test, a_group_with_long_intervals_between_its_events_runs_after_each)
{
    for (milliseconds at{0}; at <= milliseconds(2100); at += milliseconds(700)) {
        this->send(at, at);
    }
    EXPECT_TRUE(this->runs_at(milliseconds(2100)));
    EXPECT_TRUE(this->runs_at(milliseconds(2699)));
    EXPECT_FALSE(this->runs_at(milliseconds(2700)));
}

TEST_F(group_activity_test, groups_do_not_count_for_each_other)
{
    this->send(milliseconds(0), milliseconds(600), "other");
    this->send(milliseconds(600), milliseconds(600));
    EXPECT_FALSE(this->runs_at(milliseconds(700)));
    EXPECT_TRUE(this->runs_at(milliseconds(700), "other"));
}

} // namespace
} // namespace sardinestream
