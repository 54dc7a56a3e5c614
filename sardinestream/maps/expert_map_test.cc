#include <gtest/gtest.h>

#include "sardinestream/maps/expert_map.h"

namespace sardinestream {
namespace {

const map_shape shape = {2, 2, 4, 3};

expert_map round_robin_map()
{
    expert_map map(shape);
    map.set_rank(0, {{2, 0}, {0, 2}});
    map.set_rank(1, {{1, 3}, {1, 3}});
    return map;
}

TEST(expert_map, checks_that_each_expert_is_held)
{
    expert_map map = round_robin_map();
    EXPECT_TRUE(map.check().ok());
    map.remove(1, 1, 3);
    EXPECT_FALSE(map.check().ok());
}

TEST(expert_map, initial_map_assigns_experts_round_robin)
{
    EXPECT_EQ(initial_map(shape), round_robin_map());
}

TEST(expert_map, checks_the_expert_limit_of_a_rank)
{
    expert_map map = round_robin_map();
    map.add(0, 0, 1);
    EXPECT_TRUE(map.check().ok());
    map.add(0, 0, 3);
    EXPECT_FALSE(map.check().ok());
}

TEST(expert_map, is_equal_after_serialization)
{
    const expert_map map = round_robin_map();
    expert_map read;
    ASSERT_TRUE(deserialize(serialize(map), shape, read).ok());
    EXPECT_EQ(read, map);
}

TEST(expert_map, rejects_truncated_data)
{
    std::vector<std::uint8_t> serialized = serialize(round_robin_map());
    serialized.pop_back();
    expert_map read;
    EXPECT_FALSE(deserialize(serialized, shape, read).ok());
}

TEST(expert_map, counts_what_a_rank_has_to_copy)
{
    const expert_map map = round_robin_map();
    expert_map newer = map;
    newer.add(0, 0, 1);
    newer.add(1, 0, 3);
    EXPECT_EQ(map.new_experts(newer, 0), 2);
    EXPECT_EQ(map.new_experts(newer, 1), 0);
}

TEST(expert_map, changes_turn_the_older_map_into_the_newer_one)
{
    const expert_map older = round_robin_map();
    expert_map newer = older;
    newer.add(0, 1, 0);
    expert_map read = older;
    const std::vector<std::uint8_t> changes = serialize_changes(older, newer);
    ASSERT_TRUE(apply_changes(changes, read).ok());
    EXPECT_EQ(read, newer);
    EXPECT_LT(changes.size(), serialize(newer).size());
}

TEST(expert_map, changes_that_do_not_fit_are_refused)
{
    expert_map map = round_robin_map();
    EXPECT_FALSE(apply_changes(std::vector<std::uint8_t>{9, 0, 0}, map).ok());
    EXPECT_FALSE(apply_changes(std::vector<std::uint8_t>{0, 0, 5, 1}, map).ok());
}

} // namespace
} // namespace sardinestream
