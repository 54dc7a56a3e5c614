#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/routing/prefix_index.h"

namespace sardinestream::routing {
namespace {

using testing::IsEmpty;
using testing::Pair;
using testing::UnorderedElementsAre;

constexpr absl::Time start = absl::UnixEpoch();

TEST(prefix_blocks_test, equal_prefixes_have_equal_leading_blocks)
{
    const std::string shared(128, 'a');
    const auto left = prefix_blocks(shared + std::string(64, 'b'));
    const auto right = prefix_blocks(shared + std::string(64, 'c'));
    ASSERT_EQ(left.size(), 3U);
    EXPECT_EQ(left[1], right[1]);
    EXPECT_NE(left[2], right[2]);
}

TEST(prefix_index_test, the_match_is_as_long_as_the_common_prefix)
{
    prefix_index index;
    index.record(1, std::vector<std::uint64_t>{10, 11, 12}, start);
    index.record(2, std::vector<std::uint64_t>{10, 21}, start);
    EXPECT_THAT(index.match(std::vector<std::uint64_t>{10, 11, 12, 13}, start),
                UnorderedElementsAre(Pair(1, 3), Pair(2, 1)));
}

TEST(prefix_index_test, estimates_expire)
{
    prefix_index index({.max_age = absl::Minutes(1)});
    index.record(1, std::vector<std::uint64_t>{10}, start);
    EXPECT_THAT(index.match(std::vector<std::uint64_t>{10}, start + absl::Minutes(2)), IsEmpty());
}

TEST(prefix_index_test, the_least_recent_blocks_are_evicted_first)
{
    prefix_index index({.max_blocks = 2});
    index.record(1, std::vector<std::uint64_t>{10}, start);
    index.record(1, std::vector<std::uint64_t>{20}, start);
    index.record(1, std::vector<std::uint64_t>{30}, start);
    EXPECT_EQ(index.size(), 2U);
    EXPECT_THAT(index.match(std::vector<std::uint64_t>{10}, start), IsEmpty());
}

TEST(prefix_index_test, blocks_that_the_engine_had_not_cached_are_removed)
{
    prefix_index index;
    const std::vector<std::uint64_t> blocks = {10, 11, 12};
    index.record(1, blocks, start);
    index.correct(1, blocks, 1, start);
    EXPECT_THAT(index.match(blocks, start), UnorderedElementsAre(Pair(1, 1)));
}

TEST(prefix_index_test, a_removed_server_no_longer_matches)
{
    prefix_index index;
    const std::vector<std::uint64_t> blocks = {10, 11};
    index.record(1, blocks, start);
    index.record(2, blocks, start);
    index.forget(1);
    EXPECT_THAT(index.match(blocks, start), UnorderedElementsAre(Pair(2, 2)));
}

} // namespace
} // namespace sardinestream::routing
