#include <gtest/gtest.h>

#include "sardinestream/forwarding/response_memory.h"

namespace sardinestream {
namespace {

constexpr std::size_t megabyte = 1 << 20;

TEST(response_memory, limits_all_responses_together)
{
    response_memory memory(3 * megabyte);
    response_memory_reservation first(memory);
    response_memory_reservation second(memory);
    EXPECT_TRUE(first.grow_to(2 * megabyte));
    EXPECT_FALSE(second.grow_to(2 * megabyte));
    EXPECT_TRUE(second.grow_to(megabyte));
}

TEST(response_memory, releases_a_reservation_on_destruction)
{
    response_memory memory(megabyte);
    {
        response_memory_reservation hold(memory);
        ASSERT_TRUE(hold.grow_to(megabyte));
    }
    response_memory_reservation next(memory);
    EXPECT_TRUE(next.grow_to(megabyte));
}

TEST(response_memory, always_accepts_small_responses)
{
    response_memory memory(0);
    response_memory_reservation hold(memory);
    EXPECT_TRUE(hold.grow_to(1000));
}

} // namespace
} // namespace sardinestream
