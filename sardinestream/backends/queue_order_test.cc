// Tests the order of a queue in which requests differ in urgency.

#include <gtest/gtest.h>

#include "sardinestream/backends/queue_order.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

const steady_time start = steady_time() + std::chrono::hours(1);

service_policy make_policy()
{
    service_policy policy;
    policy.pause_target = milliseconds(120);
    policy.has_urgent_streams = true;
    policy.stream_priorities = {0, 1, 2};
    return policy;
}

queue_entry make_entry(int priority, milliseconds target = milliseconds(400))
{
    return {false, priority, start, milliseconds(1600), start + target};
}

bool is_first(const queue_entry& first, const queue_entry& second, milliseconds later)
{
    const service_policy policy = make_policy();
    return goes_before(urgency_of(first, &policy, start + later),
                       urgency_of(second, &policy, start + later));
}

TEST(queue_order, the_more_urgent_goes_first)
{
    EXPECT_TRUE(is_first(make_entry(0), make_entry(2), milliseconds(0)));
    EXPECT_FALSE(is_first(make_entry(2), make_entry(0), milliseconds(0)));
    EXPECT_TRUE(is_first(make_entry(1), make_entry(1), milliseconds(0)));
}

// Otherwise a backlog of requests that are late already makes all others late.
TEST(queue_order, what_can_be_in_time_goes_before_what_cannot)
{
    EXPECT_FALSE(is_first(make_entry(0), make_entry(0, milliseconds(1000)), milliseconds(350)));
    EXPECT_TRUE(is_first(make_entry(0), make_entry(1, milliseconds(1000)), milliseconds(350)));
}

TEST(queue_order, a_long_wait_counts_one_priority)
{
    const milliseconds most_of_the_wait{1000};
    EXPECT_FALSE(is_first(make_entry(2), make_entry(1), milliseconds(0)));
    EXPECT_TRUE(is_first(make_entry(1), make_entry(0), most_of_the_wait));
    queue_entry fresh = make_entry(0);
    fresh.since = start + most_of_the_wait;
    fresh.first_event_by = fresh.since + milliseconds(400);
    EXPECT_FALSE(is_first(make_entry(1), fresh, most_of_the_wait));
    EXPECT_FALSE(is_first(make_entry(0), fresh, most_of_the_wait));
}

TEST(queue_order, a_stream_that_has_begun_goes_before_all)
{
    queue_entry begun = make_entry(9);
    begun.has_begun = true;
    EXPECT_TRUE(is_first(begun, make_entry(0), milliseconds(0)));
}

TEST(queue_order, without_a_policy_only_the_priority_counts)
{
    const queue_entry late = make_entry(0, milliseconds(1));
    const queue_entry other = make_entry(0);
    const steady_time now = start + milliseconds(1000);
    EXPECT_TRUE(goes_before(urgency_of(late, nullptr, now), urgency_of(other, nullptr, now)));
}

TEST(has_urgency_order, only_if_streams_differ_in_urgency)
{
    service_policy policy = make_policy();
    EXPECT_TRUE(has_urgency_order(policy));
    policy.has_urgent_streams = false;
    EXPECT_FALSE(has_urgency_order(policy));
}

} // namespace
} // namespace sardinestream
