// Tests the waits of a group of threads.

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/base/thread_group.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

TEST(thread_group_test, a_wait_ends_at_its_deadline_or_with_the_last_thread)
{
    std::atomic<bool> may_end = false;
    thread_group group;
    ASSERT_TRUE(group.spawn([&] {
        while (!may_end) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }));
    const auto begun = steady_clock::now();
    EXPECT_FALSE(group.wait_until_empty(begun + milliseconds(50)));
    EXPECT_GE(steady_clock::now() - begun, milliseconds(50));
    may_end = true;
    EXPECT_TRUE(group.wait_until_empty(steady_clock::now() + milliseconds(5000)));
    EXPECT_EQ(group.size(), 0);
}

} // namespace
} // namespace sardinestream
