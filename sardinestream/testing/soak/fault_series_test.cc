#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "sardinestream/testing/soak/fault_series.h"
#include "sardinestream/testing/soak/soak_house.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds length{8000};

std::string text_of(unsigned seed)
{
    std::string text;
    for (const soak_fault& fault : draw_faults(seed, soak_size(), length)) {
        text += fault.to_string() + "\n";
    }
    return text;
}

TEST(fault_series, a_seed_draws_the_same_faults_each_time)
{
    EXPECT_EQ(text_of(5), text_of(5));
    EXPECT_NE(text_of(5), text_of(7));
}

TEST(fault_series, faults_come_by_time_and_end_in_time)
{
    for (unsigned seed = 1; seed < 200; ++seed) {
        milliseconds last{0};
        for (const soak_fault& fault : draw_faults(seed, soak_size(), length)) {
            EXPECT_GE(fault.at, last);
            EXPECT_LE(fault.at + fault.duration, length);
            last = fault.at;
        }
    }
}

TEST(fault_series, every_third_seed_draws_planned_work_alone)
{
    for (unsigned seed = 3; seed < 60; seed += 3) {
        const std::vector<soak_fault> faults = draw_faults(seed, soak_size(), length);
        EXPECT_FALSE(faults.empty());
        EXPECT_TRUE(std::all_of(faults.begin(), faults.end(),
                                [](const soak_fault& fault) { return fault.is_planned(); }));
    }
}

TEST(fault_series, all_kinds_are_drawn_by_some_seed)
{
    std::set<soak_fault_kind> drawn;
    for (unsigned seed = 1; seed < 200; ++seed) {
        for (const soak_fault& fault : draw_faults(seed, soak_size(), length)) {
            drawn.insert(fault.kind);
        }
    }
    EXPECT_EQ(drawn.size(), 22U);
}

TEST(fault_series, stops_in_all_their_forms_are_drawn_and_planned)
{
    std::set<soak_fault_kind> drawn;
    for (unsigned seed = 51000; seed < 51090; seed += 3) {
        for (const soak_fault& fault : draw_faults(seed, soak_size(), length)) {
            EXPECT_TRUE(fault.is_planned());
            drawn.insert(fault.kind);
        }
    }
    EXPECT_EQ(drawn.count(soak_fault_kind::entries_roll), 1U);
    EXPECT_EQ(drawn.count(soak_fault_kind::reloads_stop), 1U);
    EXPECT_EQ(drawn.count(soak_fault_kind::configs_stop), 1U);
    EXPECT_EQ(drawn.count(soak_fault_kind::servers_roll), 1U);
    EXPECT_EQ(drawn.count(soak_fault_kind::recovered_stop), 1U);
    EXPECT_EQ(drawn.count(soak_fault_kind::agents_roll), 1U);
}

TEST(fault_series, a_house_has_planned_work_alone_by_time)
{
    for (unsigned seed = 1; seed < 200; ++seed) {
        milliseconds last{0};
        std::set<soak_fault_kind> kinds;
        for (const soak_fault& fault : draw_house_faults(seed, soak_size(), length)) {
            EXPECT_TRUE(fault.is_planned()) << fault.to_string();
            EXPECT_GE(fault.at, last);
            EXPECT_LE(fault.at, length);
            last = fault.at;
            kinds.insert(fault.kind);
        }
        EXPECT_TRUE(kinds.contains(soak_fault_kind::entry_stop));
        EXPECT_TRUE(kinds.contains(soak_fault_kind::agents_roll));
        EXPECT_TRUE(kinds.contains(soak_fault_kind::rank_slow));
    }
}

TEST(fault_series, a_house_that_rolls_machines_changes_the_demand_meanwhile)
{
    for (unsigned seed = 57001; seed < 57020; ++seed) {
        std::set<soak_fault_kind> kinds;
        for (const soak_fault& fault :
             draw_house_faults(seed, soak_size(), length, house_plan::machines)) {
            EXPECT_TRUE(fault.is_planned()) << fault.to_string();
            kinds.insert(fault.kind);
        }
        EXPECT_TRUE(kinds.contains(soak_fault_kind::machines_roll));
        EXPECT_TRUE(kinds.contains(soak_fault_kind::demand_drift));
        EXPECT_FALSE(kinds.contains(soak_fault_kind::coordinator_stop));
    }
}

TEST(fault_series, a_house_may_stop_coordinators_of_every_group)
{
    soak_size size;
    size.groups = 2;
    std::set<int> stopped;
    for (unsigned seed = 57001; seed < 57020; ++seed) {
        for (const soak_fault& fault :
             draw_house_faults(seed, size, length, house_plan::coordinators)) {
            if (fault.kind == soak_fault_kind::coordinator_stop) {
                stopped.insert(fault.target);
            }
        }
    }
    EXPECT_EQ(stopped, std::set<int>({0, 1}));
}

} // namespace
} // namespace sardinestream::testing
