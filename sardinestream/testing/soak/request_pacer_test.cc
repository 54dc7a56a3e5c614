#include <chrono>

#include <gtest/gtest.h>

#include "sardinestream/testing/soak/cpu_throttle.h"
#include "sardinestream/testing/soak/request_pacer.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr double per_s = 100;
constexpr milliseconds gap{10};

TEST(request_pacer, keeps_its_rate_whoever_asks)
{
    const steady_time now = steady_clock::now();
    request_pacer pacer(per_s);
    const steady_time first = pacer.next(now);
    EXPECT_EQ(pacer.next(now), first + gap);
    EXPECT_EQ(pacer.next(now + gap), first + 2 * gap);
}

TEST(request_pacer, makes_up_for_little_of_what_no_caller_was_free_to_send)
{
    const steady_time now = steady_clock::now();
    request_pacer pacer(per_s);
    static_cast<void>(pacer.next(now));
    const steady_time later = now + milliseconds(5000);
    EXPECT_EQ(pacer.next(later), later - request_pacer::most_late);
    EXPECT_EQ(pacer.next(later), later - request_pacer::most_late + gap);
}

TEST(cpu_throttle, holds_a_process_for_the_rest_of_its_share)
{
    EXPECT_FALSE(is_held(0.15, milliseconds(0)));
    EXPECT_FALSE(is_held(0.15, milliseconds(14)));
    EXPECT_TRUE(is_held(0.15, milliseconds(15)));
    EXPECT_TRUE(is_held(0.15, milliseconds(99)));
}

TEST(cpu_throttle, holds_no_process_with_a_whole_core)
{
    EXPECT_FALSE(is_held(1, cpu_throttle::period - milliseconds(1)));
}

} // namespace
} // namespace sardinestream::testing
