// Tests that no step begins with two maps under randomized schedules, and that the schedules detect
// a protocol without one of its safeguards.

#include <algorithm>
#include <cstdlib>

#include <gtest/gtest.h>

#include "sardinestream/maps/map_switch_schedule.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// The number of schedules and ranks can be set through the environment for a long manual run.
int from_environment(const char* name, int otherwise)
{
    const char* const value = std::getenv(name);
    return value == nullptr ? otherwise : std::atoi(value);
}

int schedules()
{
    return from_environment("SARDINE_MAP_SCHEDULES", 1500);
}
int ranks()
{
    return from_environment("SARDINE_MAP_RANKS", 8);
}

schedule_options with_freezes()
{
    schedule_options options;
    options.ranks = ranks();
    options.freeze_after_orders = 40 * options.ranks;
    return options;
}

void expect_one_map_in_every_step(const schedule_options& options)
{
    int switches = 0;
    for (int seed = 1; seed <= schedules(); ++seed) {
        const schedule_result result =
            schedule(static_cast<unsigned>(seed), variant::whole, options).run();
        ASSERT_FALSE(result.mixed) << "seed " << seed;
        ASSERT_FALSE(result.stands_at_end) << "seed " << seed;
        switches += result.switches;
    }
    EXPECT_GT(switches, schedules() * 5);
}

int mixed_schedules(variant played)
{
    int mixed = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        mixed += schedule(seed, played, with_freezes()).run().mixed ? 1 : 0;
    }
    return mixed;
}

TEST(map_switch_schedules, no_step_begins_with_two_maps)
{
    schedule_options options;
    options.ranks = ranks();
    expect_one_map_in_every_step(options);
}

TEST(map_switch_schedules, no_step_begins_with_two_maps_when_machines_freeze_after_an_order)
{
    expect_one_map_in_every_step(with_freezes());
}

// The machine of a coordinator may freeze for seconds right after each hold that it orders.
TEST(map_switch_schedules, a_frozen_coordinator_stops_its_group_for_less_than_half_a_second)
{
    schedule_options options;
    options.ranks = ranks();
    options.freeze_after_orders = 2;
    options.only_coordinators_freeze = true;
    constexpr int bound_ms = 500;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        const schedule_result result = schedule(seed, variant::whole, options).run();
        ASSERT_FALSE(result.mixed) << "seed " << seed;
        ASSERT_LT(result.longest_standing_ms, bound_ms) << "seed " << seed;
    }
}

TEST(map_switch_schedules, detect_a_protocol_without_hold)
{
    EXPECT_GT(mixed_schedules(variant::without_hold), 0);
}

TEST(map_switch_schedules, detect_a_release_before_all_ranks_are_armed)
{
    EXPECT_GT(mixed_schedules(variant::releases_early), 0);
}

TEST(map_switch_schedules, detect_ranks_that_are_armed_before_the_holder)
{
    EXPECT_GT(mixed_schedules(variant::arms_all_at_once), 0);
}

// Holds a group of eight ranks that have prepared `version` at step 1, and returns the holder.
int hold_before_first_step(engine_group& group, std::int64_t version)
{
    const int holder = holding_rank(version, 8);
    for (int rank = 0; rank < 8; ++rank) {
        EXPECT_TRUE(group.execute({rank, order_kind::prepare, version, 0}, 0, 0, 0));
    }
    EXPECT_TRUE(group.execute({holder, order_kind::hold, version, 1}, 0, 0, 0));
    group.advance(1);
    return holder;
}

TEST(map_switch_schedules, an_arm_order_is_refused_after_the_guard_has_ended_the_hold)
{
    engine_group group(8);
    const std::int64_t version = version_after(0, 5);
    const int holder = hold_before_first_step(group, version);
    stalled_hold_guard guard;
    for (int now = 0; group.read(holder).held_step.has_value(); now += guard_interval) {
        ASSERT_LT(now, 1000);
        const auto action =
            guard.next_action(group.read(holder), holder, 8,
                              steady_time{} + std::chrono::hours(1) + milliseconds(now));
        if (action == stalled_hold_guard::action::supersede) {
            group.execute({holder, order_kind::prepare, version + 1, 0}, 0, 0, now);
            group.idle_until = 2000;
            group.advance(now);
        }
        if (action == stalled_hold_guard::action::release) {
            group.execute({holder, order_kind::release, 0, 1}, 0, 0, now);
        }
    }
    EXPECT_FALSE(group.execute({holder, order_kind::arm, version, 1}, 0, 0, 1000));
}

// Shows that the guard has to supersede the version: a late arm order would still be accepted.
TEST(map_switch_schedules, an_arm_order_is_accepted_after_a_release_alone)
{
    engine_group group(8);
    const std::int64_t version = version_after(0, 5);
    const int holder = hold_before_first_step(group, version);
    EXPECT_TRUE(group.execute({holder, order_kind::release, 0, 1}, 0, 0, 1));
    EXPECT_TRUE(group.execute({holder, order_kind::arm, version, 1}, 0, 0, 1));
}

} // namespace
} // namespace sardinestream
