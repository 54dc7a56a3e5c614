#include <gtest/gtest.h>

#include "sardinestream/forwarding/answer_memory.h"

namespace sardinestream {
namespace {

constexpr std::size_t megabyte = 1 << 20;

TEST(answer_memory, bounds_all_answers_together)
{
    answer_memory memory(3 * megabyte);
    answer_hold first(memory);
    answer_hold second(memory);
    EXPECT_TRUE(first.grow_to(2 * megabyte));
    EXPECT_FALSE(second.grow_to(2 * megabyte));
    EXPECT_TRUE(second.grow_to(megabyte));
}

TEST(answer_memory, takes_back_what_an_answer_held)
{
    answer_memory memory(megabyte);
    {
        answer_hold hold(memory);
        ASSERT_TRUE(hold.grow_to(megabyte));
    }
    answer_hold next(memory);
    EXPECT_TRUE(next.grow_to(megabyte));
}

TEST(answer_memory, small_answers_always_fit)
{
    answer_memory memory(0);
    answer_hold hold(memory);
    EXPECT_TRUE(hold.grow_to(1000));
}

} // namespace
} // namespace sardinestream
