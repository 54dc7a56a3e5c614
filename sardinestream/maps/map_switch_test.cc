// Tests single decisions of the map switch. Randomized schedules are in
// map_switch_schedule_test.cc.

#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/maps/map_switch.h"

namespace sardinestream {
namespace {

constexpr int ranks = 8;
// A version whose holder is rank 2.
constexpr std::int64_t version = 10;

std::vector<rank_report> idle_reports()
{
    std::vector<rank_report> reports(ranks);
    for (rank_report& report : reports) {
        report.step = 100;
    }
    return reports;
}

TEST(map_switch, prepares_every_rank_first)
{
    map_switch coordinator({3});
    const std::vector<rank_order> orders = coordinator.next_orders(idle_reports(), version);
    ASSERT_EQ(orders.size(), 8U);
    for (const rank_order& order : orders) {
        EXPECT_EQ(order.kind, order_kind::prepare);
        EXPECT_EQ(order.version, version);
    }
}

TEST(map_switch, holds_before_the_first_arm)
{
    map_switch coordinator({3});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = version;
    }
    const std::vector<rank_order> orders = coordinator.next_orders(reports, version);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::hold);
    EXPECT_EQ(orders[0].rank, 2);
    EXPECT_EQ(orders[0].step, 103);
}

TEST(map_switch, releases_only_when_all_are_armed)
{
    map_switch coordinator({3});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = version;
        report.armed = armed_switch{version, 103};
    }
    reports[2].held_step = 103;
    reports[5].armed.reset();
    std::vector<rank_order> orders = coordinator.next_orders(reports, version);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::arm);
    EXPECT_EQ(orders[0].rank, 5);
    reports[5].armed = armed_switch{version, 103};
    orders = coordinator.next_orders(reports, version);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::release);
}

TEST(map_switch, arms_the_holder_before_all_other_ranks)
{
    map_switch coordinator({3});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = version;
    }
    reports[2].held_step = 103;
    std::vector<rank_order> orders = coordinator.next_orders(reports, version);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::arm);
    EXPECT_EQ(orders[0].rank, 2);
    EXPECT_EQ(orders[0].step, 103);
    reports[2].armed = armed_switch{version, 103};
    orders = coordinator.next_orders(reports, version);
    ASSERT_EQ(orders.size(), 7U);
    for (const rank_order& order : orders) {
        EXPECT_EQ(order.kind, order_kind::arm);
        EXPECT_NE(order.rank, 2);
    }
}

TEST(map_switch, completes_a_switch_started_by_another_agent)
{
    map_switch successor({3});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = version;
    }
    reports[2].held_step = 103;
    const std::vector<rank_order> orders = successor.next_orders(reports, 0);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::arm);
    EXPECT_EQ(orders[0].step, 103);
}

TEST(map_switch, releases_a_hold_on_another_rank_than_the_holder)
{
    map_switch coordinator({3});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = version;
    }
    reports[2].held_step = 103;
    reports[4].held_step = 103;
    const std::vector<rank_order> orders = coordinator.next_orders(reports, version);
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_EQ(orders[0].kind, order_kind::arm);
    EXPECT_EQ(orders[1].kind, order_kind::release);
    EXPECT_EQ(orders[1].rank, 4);
}

// A repeated order to release an earlier hold may still be executed, and must not end a new one.
TEST(map_switch, never_holds_a_step_again_that_was_held_before)
{
    map_switch coordinator({1});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = version;
    }
    reports[4].held_step = 105;
    EXPECT_EQ(coordinator.next_orders(reports, version)[0].kind, order_kind::release);
    reports[4].held_step.reset();
    const std::vector<rank_order> orders = coordinator.next_orders(reports, version);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::hold);
    EXPECT_EQ(orders[0].step, 106);
}

TEST(map_switch, releases_a_hold_that_was_executed_late)
{
    map_switch coordinator({3});
    std::vector<rank_report> reports = idle_reports();
    reports[1].held_step = 104;
    const std::vector<rank_order> orders = coordinator.next_orders(reports, 0);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::release);
    EXPECT_EQ(orders[0].rank, 1);
}

TEST(map_switch, orders_nothing_across_epochs)
{
    map_switch coordinator({3});
    std::vector<rank_report> reports = idle_reports();
    reports[3].epoch = 1;
    EXPECT_TRUE(coordinator.next_orders(reports, version).empty());
}

} // namespace
} // namespace sardinestream
