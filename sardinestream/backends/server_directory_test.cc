#include <gtest/gtest.h>

#include "sardinestream/backends/server_directory.h"

namespace sardinestream {
namespace {

backend_server named(const std::string& id, bool draining = false)
{
    backend_server server;
    server.id = id;
    server.draining = draining;
    return server;
}

class server_directory_test : public testing::Test {
protected:
    server_directory directory;
    const steady_time start = steady_clock::now();
};

TEST_F(server_directory_test, drops_a_removed_server_at_once)
{
    this->directory.replace_all({named("a"), named("b")}, 1, false, this->start);
    EXPECT_TRUE(this->directory.remove("a", 2, false, this->start));
    ASSERT_EQ(this->directory.usable().size(), 1U);
    EXPECT_EQ(this->directory.usable()[0].id, "b");
}

TEST_F(server_directory_test, keeps_one_that_lapsed_in_an_outage_for_a_short_time)
{
    this->directory.replace_all({named("a"), named("b")}, 1, false, this->start);
    this->directory.replace_all({named("a")}, 2, true, this->start);
    EXPECT_EQ(this->directory.usable().size(), 2U);
    EXPECT_FALSE(this->directory.drop_vanished(this->start + std::chrono::seconds(1)));
    EXPECT_TRUE(this->directory.drop_vanished(this->start + std::chrono::seconds(2)));
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

// After a crash the entry of the earlier start stays listed until it lapses.
TEST_F(server_directory_test, uses_only_the_last_start_at_an_address)
{
    backend_server before = named("a");
    before.endpoint = {"10.0.0.1", 8000};
    before.born_ms = 1000;
    backend_server after = before;
    after.id = "b";
    after.born_ms = 2000;
    backend_server elsewhere = before;
    elsewhere.id = "c";
    elsewhere.endpoint.port = 8001;
    this->directory.replace_all({before, after, elsewhere}, 1, false, this->start);
    const std::vector<backend_server> usable = this->directory.usable();
    ASSERT_EQ(usable.size(), 2U);
    EXPECT_EQ(usable[0].id, "b");
    EXPECT_EQ(usable[1].id, "c");
}

// An entry that had lost the store keeps a server for a while that has left; others must not learn
// from it that the server is there.
TEST_F(server_directory_test, does_not_hand_on_a_server_that_vanished)
{
    this->directory.replace_all({named("a"), named("b")}, 1, false, this->start);
    this->directory.remove("a", 2, true, this->start);
    this->directory.put(named("c"), 3);
    EXPECT_EQ(this->directory.usable().size(), 3U);
    ASSERT_EQ(this->directory.listed().size(), 2U);
    EXPECT_EQ(this->directory.listed()[0].id, "b");
    EXPECT_EQ(this->directory.listed()[1].id, "c");
}

TEST_F(server_directory_test, keeps_one_that_is_listed_again_in_time)
{
    this->directory.replace_all({named("a")}, 1, false, this->start);
    this->directory.remove("a", 2, true, this->start);
    this->directory.put(named("a"), 3);
    EXPECT_FALSE(this->directory.drop_vanished(this->start + std::chrono::seconds(3)));
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

TEST_F(server_directory_test, drops_one_that_was_leaving_also_after_an_outage)
{
    this->directory.replace_all({named("a", true)}, 1, false, this->start);
    EXPECT_TRUE(this->directory.remove("a", 2, true, this->start));
    EXPECT_TRUE(this->directory.usable().empty());
}

TEST_F(server_directory_test, ignores_a_list_older_than_the_known_one)
{
    this->directory.replace_all({named("a")}, 5, false, this->start);
    EXPECT_FALSE(this->directory.replace_all({}, 4, false, this->start));
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

TEST_F(server_directory_test, a_late_change_does_not_bring_back_a_server_that_leaves)
{
    this->directory.replace_all({named("a", true)}, 100, false, this->start);
    this->directory.put(named("a"), 90);
    ASSERT_EQ(this->directory.usable().size(), 1U);
    EXPECT_TRUE(this->directory.usable()[0].draining);
}

TEST_F(server_directory_test, a_late_change_does_not_bring_back_a_server_that_is_gone)
{
    this->directory.replace_all({}, 100, false, this->start);
    this->directory.put(named("a"), 90);
    EXPECT_TRUE(this->directory.usable().empty());
}

TEST_F(server_directory_test, a_late_removal_does_not_take_a_server_that_has_returned)
{
    this->directory.replace_all({named("a")}, 110, false, this->start);
    this->directory.remove("a", 105, false, this->start);
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

} // namespace
} // namespace sardinestream
