#include <set>

#include <gtest/gtest.h>

#include "sardinestream/maps/stalled_hold_guard.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using action = stalled_hold_guard::action;

constexpr int ranks = 8;
// A version whose holder is rank 2.
constexpr std::int64_t version = 10;
constexpr int holder = 2;

class stalled_hold_guard_test : public testing::Test {
protected:
    stalled_hold_guard_test()
    {
        this->report.step = 102;
        this->report.prepared_version = version;
        this->report.held_step = 103;
    }

    action after(milliseconds passed)
    {
        this->now += passed;
        return this->guard.next_action(this->report, holder, ranks, this->now);
    }

    // Draws count up from `draw`.
    std::int64_t superseding_version(const prepare_record& prepares)
    {
        return this->guard.superseding_version(this->report, holder, ranks, prepares,
                                               [this] { return this->draw++; });
    }

    stalled_hold_guard guard;
    rank_report report;
    std::uint64_t draw = 0xffff0;
    steady_time now = steady_time{} + std::chrono::hours(1);
};

TEST_F(stalled_hold_guard_test, leaves_a_hold_to_its_coordinator_at_first)
{
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
    EXPECT_EQ(this->after(stalled_hold_guard::max_unarmed_time - milliseconds(1)), action::none);
}

TEST_F(stalled_hold_guard_test, supersedes_the_version_before_it_releases_the_hold)
{
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
    EXPECT_EQ(this->after(stalled_hold_guard::max_unarmed_time), action::supersede);
    this->report.prepared_version = version + 1;
    EXPECT_EQ(this->after(milliseconds(25)), action::release);
    this->report.held_step.reset();
    EXPECT_EQ(this->after(milliseconds(25)), action::none);
}

TEST_F(stalled_hold_guard_test, repeats_an_action_without_effect_after_an_interval)
{
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
    EXPECT_EQ(this->after(stalled_hold_guard::max_unarmed_time), action::supersede);
    EXPECT_EQ(this->after(milliseconds(25)), action::none);
    EXPECT_EQ(this->after(stalled_hold_guard::retry_interval), action::supersede);
}

TEST_F(stalled_hold_guard_test, never_ends_the_hold_of_an_armed_rank)
{
    this->report.armed = armed_switch{version, 103};
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
    EXPECT_EQ(this->after(milliseconds(60000)), action::none);
}

TEST_F(stalled_hold_guard_test, counts_only_while_the_group_stands_at_the_held_step)
{
    this->report.step = 98;
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
    EXPECT_EQ(this->after(milliseconds(5000)), action::none);
    this->report.step = 102;
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
    EXPECT_EQ(this->after(stalled_hold_guard::max_unarmed_time), action::supersede);
}

// Guards against a group that stands for good: an agent orders version after version, restarts, and
// the engine carries out the last of these orders in the middle of a switch to a lower version.
TEST_F(stalled_hold_guard_test, orders_that_get_no_answer_stay_below_the_next_plan)
{
    constexpr int orders = 20;
    prepare_record prepares;
    std::set<std::int64_t> ordered;
    for (int i = 0; i < orders; ++i) {
        ordered.insert(this->superseding_version(prepares));
        engine_order order;
        order.version = *ordered.rbegin();
        prepares.record_outcome(order, order_outcome::no_answer);
    }
    EXPECT_GT(*ordered.begin(), version);
    EXPECT_LT(*ordered.rbegin(), plan_version_after(version, 0));
    // Its agent has restarted and knows no more than the engine shows.
    this->guard = stalled_hold_guard();
    EXPECT_LT(this->superseding_version({}), plan_version_after(version, 0));
}

TEST_F(stalled_hold_guard_test, orders_a_higher_version_once_one_was_refused_or_overtaken)
{
    prepare_record prepares;
    engine_order order;
    order.version = this->superseding_version(prepares);
    prepares.record_outcome(order, order_outcome::refused);
    const std::int64_t second = this->superseding_version(prepares);
    EXPECT_GT(second, order.version);
    prepares.sent = second;
    this->report.prepared_version = second + ranks;
    EXPECT_GT(this->superseding_version(prepares), second + ranks);
}

TEST_F(stalled_hold_guard_test, orders_a_version_that_is_held_elsewhere)
{
    this->draw = holder;
    const std::int64_t ordered = this->superseding_version({});
    EXPECT_NE(holding_rank(ordered, ranks), holder);
}

// Its version is held on another rank, so nothing waits for this hold: it was executed late.
TEST_F(stalled_hold_guard_test, releases_at_once_where_the_version_is_held_elsewhere)
{
    this->report.prepared_version = version + 1;
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
    EXPECT_EQ(this->after(stalled_hold_guard::max_unarmed_time), action::release);
}

TEST_F(stalled_hold_guard_test, counts_anew_for_each_held_step)
{
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
    this->now += stalled_hold_guard::max_unarmed_time;
    this->report.step = 110;
    this->report.held_step = 111;
    EXPECT_EQ(this->after(milliseconds(0)), action::none);
}

} // namespace
} // namespace sardinestream
