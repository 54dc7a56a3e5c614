#include <gtest/gtest.h>

#include "sardinestream/forwarding/message_memory.h"

namespace sardinestream {
namespace {

constexpr std::size_t megabyte = 1 << 20;

TEST(message_memory, limits_all_messages_together)
{
    message_memory memory(3 * megabyte);
    message_memory_reservation first(memory);
    message_memory_reservation second(memory);
    EXPECT_TRUE(first.resize(2 * megabyte));
    EXPECT_FALSE(second.resize(2 * megabyte));
    EXPECT_TRUE(second.resize(megabyte));
}

TEST(message_memory, releases_a_reservation_on_destruction)
{
    message_memory memory(megabyte);
    {
        message_memory_reservation hold(memory);
        ASSERT_TRUE(hold.resize(megabyte));
    }
    message_memory_reservation next(memory);
    EXPECT_TRUE(next.resize(megabyte));
}

TEST(message_memory, always_accepts_small_messages)
{
    message_memory memory(0);
    message_memory_reservation hold(memory);
    EXPECT_TRUE(hold.resize(1000));
}

TEST(message_memory, a_smaller_reservation_leaves_room_for_others)
{
    message_memory memory(2 * megabyte);
    message_memory_reservation first(memory);
    message_memory_reservation second(memory);
    ASSERT_TRUE(first.resize(2 * megabyte));
    ASSERT_FALSE(second.resize(megabyte));
    ASSERT_TRUE(first.resize(megabyte));
    EXPECT_TRUE(second.resize(megabyte));
}

} // namespace
} // namespace sardinestream
