#include <gtest/gtest.h>

#include "sardinestream/backends/notice_memory.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

backend_server started(const std::string& id, std::int64_t born_ms)
{
    backend_server server;
    server.id = id;
    server.born_ms = born_ms;
    return server;
}

TEST(notice_memory, distinguishes_starts_of_a_server)
{
    notice_memory memory;
    EXPECT_TRUE(memory.note_leaving(started("a", 1)));
    EXPECT_FALSE(memory.note_leaving(started("a", 1)));
    EXPECT_TRUE(memory.is_leaving(started("a", 1)));
    EXPECT_FALSE(memory.is_leaving(started("a", 2)));
    EXPECT_FALSE(memory.is_leaving(started("b", 1)));
}

TEST(notice_memory, does_not_record_a_server_without_a_start_time)
{
    notice_memory memory;
    EXPECT_FALSE(memory.note_leaving(started("a", 0)));
    EXPECT_FALSE(memory.is_leaving(started("a", 0)));
}

TEST(notice_memory, drops_the_oldest_record_beyond_its_limit)
{
    constexpr int limit_plus_one = 10001;
    notice_memory memory;
    for (int i = 0; i < limit_plus_one; ++i) {
        EXPECT_TRUE(memory.note_leaving(started(absl::StrCat(i), 1)));
    }
    EXPECT_FALSE(memory.is_leaving(started("0", 1)));
    EXPECT_TRUE(memory.is_leaving(started("1", 1)));
}

TEST(notice_memory, keeps_the_longest_hold_off_of_a_start)
{
    notice_memory memory;
    const steady_time start = steady_clock::now();
    EXPECT_TRUE(memory.note_hold_off(started("a", 1), start + milliseconds(900), start));
    EXPECT_FALSE(memory.note_hold_off(started("a", 1), start + milliseconds(300), start));
    EXPECT_EQ(memory.hold_off_end(started("a", 1)), start + milliseconds(900));
    EXPECT_EQ(memory.hold_off_end(started("a", 2)), steady_time{});
    const steady_time later = start + milliseconds(1000);
    EXPECT_TRUE(memory.note_hold_off(started("a", 1), later + milliseconds(100), later));
}

} // namespace
} // namespace sardinestream
