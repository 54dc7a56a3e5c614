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

} // namespace
} // namespace sardinestream
