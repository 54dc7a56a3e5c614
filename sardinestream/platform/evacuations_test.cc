// Tests which objects of the store are evacuations.

#include <gtest/gtest.h>

#include "sardinestream/platform/evacuations.h"

namespace sardinestream::platform {
namespace {

TEST(evacuations, are_in_force_whatever_their_objects_contain)
{
    const evacuation_snapshot list =
        to_evacuations({{{"a", 5, "{}"}, {"b", 6, "[1,"}, {"c", 7, ""}}, {9, 2}, true});
    EXPECT_EQ(list.data_centres, (std::vector<std::string>{"a", "b", "c"}));
    EXPECT_EQ(list.position, (store_position{9, 2}));
    EXPECT_TRUE(list.restored);
}

TEST(evacuations, an_odd_object_costs_only_itself)
{
    const std::string overlong(300, 'x');
    EXPECT_EQ(
        to_evacuations({{{overlong, 5, "{}"}, {"", 6, "{}"}, {"b", 7, "{}"}}, {9}}).data_centres,
        std::vector<std::string>{"b"});
    const evacuation_changes changes = to_evacuation_changes(
        {{{{overlong, 5, "{}"}, false}, {{"b", 7, "{}"}, false}, {{"a", 8, ""}, true}}, {9, 2}});
    ASSERT_EQ(changes.changes.size(), 2U);
    EXPECT_EQ(changes.changes[0].data_centre, "b");
    EXPECT_FALSE(changes.changes[0].ended);
    EXPECT_TRUE(changes.changes[1].ended);
    EXPECT_EQ(changes.changes[1].revision, 8);
    EXPECT_EQ(changes.position, (store_position{9, 2}));
}

} // namespace
} // namespace sardinestream::platform
