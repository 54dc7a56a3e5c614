#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/http/message_memory.h"

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

steady_time in(std::chrono::milliseconds time)
{
    return steady_clock::now() + time;
}

// Guards against the failure of a sound server's message because of a faulty server's ones.
TEST(message_memory, the_sender_that_has_occupied_the_most_yields)
{
    message_memory memory(4 * megabyte);
    message_memory_reservation sound(memory, "sound");
    message_memory_reservation endless(memory, "faulty");
    ASSERT_TRUE(endless.resize(3 * megabyte));
    ASSERT_TRUE(sound.resize(megabyte / 2));
    std::thread reader([&] {
        while (!endless.has_yielded()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        EXPECT_FALSE(endless.resize(4 * megabyte, in(std::chrono::seconds(1))));
        EXPECT_FALSE(endless.finish());
        EXPECT_FALSE(endless.resize(0));
    });
    EXPECT_TRUE(sound.resize(3 * megabyte, in(std::chrono::seconds(2))));
    reader.join();
    EXPECT_FALSE(sound.has_yielded());
}

// Guards against messages that fail because one that yields is released late, such as a stream
// whose server is silent inside an event.
TEST(message_memory, another_message_yields_if_the_first_one_is_not_released)
{
    message_memory memory(4 * megabyte);
    message_memory_reservation silent(memory, "silent");
    message_memory_reservation endless(memory, "endless");
    message_memory_reservation sound(memory, "sound");
    ASSERT_TRUE(silent.resize(2 * megabyte));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    ASSERT_TRUE(endless.resize(2 * megabyte));
    const steady_time end = in(std::chrono::seconds(3));
    std::thread reader([&] {
        while (!endless.has_yielded() && steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        (void)endless.resize(0);
    });
    EXPECT_TRUE(sound.resize(megabyte, in(std::chrono::milliseconds(1500))));
    reader.join();
    EXPECT_TRUE(silent.has_yielded());
    EXPECT_TRUE(endless.has_yielded());
}

TEST(message_memory, a_message_that_has_arrived_never_yields)
{
    message_memory memory(4 * megabyte);
    message_memory_reservation whole(memory, "faulty");
    message_memory_reservation other(memory, "sound");
    ASSERT_TRUE(whole.resize(4 * megabyte));
    ASSERT_TRUE(whole.finish());
    EXPECT_FALSE(other.resize(megabyte, in(std::chrono::milliseconds(400))));
    EXPECT_FALSE(whole.has_yielded());
}

TEST(message_memory, the_unfinished_messages_of_a_sender_stay_within_its_share)
{
    message_memory memory(8 * megabyte, 2 * megabyte);
    message_memory_reservation first(memory, "faulty");
    message_memory_reservation second(memory, "faulty");
    ASSERT_TRUE(first.resize(2 * megabyte));
    EXPECT_FALSE(second.resize(megabyte));
    ASSERT_TRUE(first.finish());
    EXPECT_TRUE(second.resize(megabyte));
    EXPECT_EQ(memory.reserved(), 3 * megabyte);
}

TEST(message_memory, messages_of_one_sender_wait_for_each_other_before_one_yields)
{
    message_memory memory(4 * megabyte);
    message_memory_reservation first(memory, "sound");
    message_memory_reservation second(memory, "sound");
    ASSERT_TRUE(first.resize(3 * megabyte));
    std::thread reader([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        EXPECT_TRUE(first.finish());
        EXPECT_TRUE(first.resize(0));
    });
    EXPECT_TRUE(second.resize(3 * megabyte, in(std::chrono::seconds(2))));
    reader.join();
    EXPECT_FALSE(first.has_yielded());
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
