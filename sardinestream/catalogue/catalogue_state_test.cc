#include <gtest/gtest.h>

#include "sardinestream/catalogue/catalogue_state.h"
#include "sardinestream/catalogue/catalogue_test_entries.h"

namespace sardinestream::catalogue {
namespace {

catalogue_index index_of(std::uint64_t number)
{
    catalogue_index index;
    index.number = number;
    return index;
}

std::shared_ptr<const catalogue_image> image_of(std::uint64_t number)
{
    return std::make_shared<catalogue_image>(index_of(number), catalogue_image::shard_array{});
}

TEST(catalogue_state_test, a_lower_number_never_replaces_a_higher_one)
{
    catalogue_state state;
    EXPECT_TRUE(state.apply(image_of(5)));
    EXPECT_FALSE(state.apply(image_of(4)));
    EXPECT_FALSE(state.apply(image_of(5)));
    EXPECT_EQ(state.number(), 5U);
}

TEST(catalogue_state_test, hooks_see_growing_numbers)
{
    catalogue_state state;
    std::vector<std::uint64_t> seen;
    state.on_change([&](const std::shared_ptr<const catalogue_snapshot>& snapshot) {
        seen.push_back(snapshot->number());
    });
    state.apply(image_of(2));
    state.apply(image_of(1));
    state.apply(image_of(3));
    EXPECT_EQ(seen, (std::vector<std::uint64_t>{2, 3}));
}

TEST(catalogue_state_test, an_index_whose_shard_is_missing_is_not_applied)
{
    catalogue_state state;
    catalogue_index index = index_of(2);
    index.shards[7] = {2, "7-2-x"};
    EXPECT_EQ(state.apply_changes(index, {}).code(), absl::StatusCode::kFailedPrecondition);
    EXPECT_EQ(state.number(), 0U);
    EXPECT_TRUE(state.apply_changes(index, {make_shard(7, 2, "7-2-x", {})}).ok());
    EXPECT_EQ(state.number(), 2U);
}

TEST(catalogue_state_test, a_shard_of_another_history_is_not_mixed_in)
{
    catalogue_state state;
    catalogue_index index = index_of(2);
    index.shards[7] = {2, "7-2-x"};
    EXPECT_FALSE(state.apply_changes(index, {make_shard(7, 2, "7-2-y", {})}).ok());
    EXPECT_EQ(state.number(), 0U);
}

TEST(catalogue_state_test, waiting_for_a_number_ends_with_it_or_at_the_deadline)
{
    catalogue_state state;
    EXPECT_FALSE(state.wait_until_number(1, absl::Now()));
    state.apply(image_of(1));
    EXPECT_TRUE(state.wait_until_number(1, absl::InfiniteFuture()));
}

} // namespace
} // namespace sardinestream::catalogue
