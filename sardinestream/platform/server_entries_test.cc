#include <gtest/gtest.h>

#include "sardinestream/platform/server_entries.h"

namespace sardinestream::platform {
namespace {

constexpr char entry[] = R"({"service":"orders","address":"10.0.0.1:80","zone":"a","slots":4,)"
                         R"("state":"ready","born":7})";

TEST(server_entries, keep_the_revision_of_each_entry)
{
    const server_list list = to_server_list({{{"a", 5, entry}, {"b", 6, entry}}, {9}});
    EXPECT_EQ(list.position.revision, 9);
    ASSERT_EQ(list.servers.size(), 2U);
    EXPECT_EQ(list.servers[0].position.revision, 5);
    EXPECT_EQ(list.servers[1].server.id, "b");
}

TEST(server_entries, that_are_malformed_are_left_out_of_a_list)
{
    const server_list list = to_server_list({{{"a", 5, "7"}, {"b", 6, entry}}, {9}});
    ASSERT_EQ(list.servers.size(), 1U);
    EXPECT_EQ(list.servers[0].server.id, "b");
}

// Guards against entries whose texts fill the memory although their number is limited.
TEST(server_entries, with_overlong_texts_are_left_out_of_a_list)
{
    std::string overlong = entry;
    overlong.replace(overlong.find("orders"), 6, std::string(2000, 't'));
    const server_list list = to_server_list({{{"a", 5, overlong}, {"b", 6, entry}}, {9}});
    ASSERT_EQ(list.servers.size(), 1U);
    EXPECT_EQ(list.servers[0].server.id, "b");
}

TEST(server_entries, a_server_whose_entry_becomes_unreadable_is_not_used_any_more)
{
    const server_changes decoded =
        to_server_changes({{{{"a", 6, R"({"state":3})"}, false}, {{"b", 7, entry}, false}}, {9}});
    EXPECT_EQ(decoded.position.revision, 9);
    ASSERT_EQ(decoded.changes.size(), 2U);
    EXPECT_EQ(decoded.changes[0].id, "a");
    EXPECT_EQ(decoded.changes[0].position.revision, 6);
    EXPECT_FALSE(decoded.changes[0].server.has_value());
    EXPECT_TRUE(decoded.changes[1].server.has_value());
}

TEST(server_entries, pass_on_the_stated_cold_time)
{
    std::string stated = entry;
    stated.insert(1, R"("cold-remaining-ms":1200,)");
    const server_list list = to_server_list({{{"a", 5, stated}, {"b", 6, entry}}, {9}});
    ASSERT_EQ(list.servers.size(), 2U);
    EXPECT_EQ(list.servers[0].cold_remaining, std::chrono::milliseconds(1200));
    EXPECT_EQ(list.servers[1].cold_remaining, std::chrono::milliseconds(0));
    const server_changes changes = to_server_changes({{{{"a", 6, stated}, false}}, {9}});
    ASSERT_EQ(changes.changes.size(), 1U);
    EXPECT_EQ(changes.changes[0].cold_remaining, std::chrono::milliseconds(1200));
}

TEST(server_entries, a_removed_entry_yields_no_server)
{
    const server_changes decoded = to_server_changes({{{{"a", 6, entry}, true}}, {9}});
    ASSERT_EQ(decoded.changes.size(), 1U);
    EXPECT_FALSE(decoded.changes[0].server.has_value());
}

} // namespace
} // namespace sardinestream::platform
