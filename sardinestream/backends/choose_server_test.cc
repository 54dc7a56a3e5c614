#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/choose_server.h"

namespace sardinestream {
namespace {

server_load with_occupancy(double occupancy)
{
    server_load load;
    load.occupancy = occupancy;
    load.room = 12;
    load.same_data_centre = true;
    return load;
}

TEST(choose_server, takes_the_least_occupied)
{
    const std::vector<server_load> servers = {with_occupancy(5), with_occupancy(2),
                                              with_occupancy(3)};
    EXPECT_EQ(choose_server(servers, 0.5), 1U);
}

TEST(choose_server, draws_among_equals)
{
    const std::vector<server_load> servers = {with_occupancy(2), with_occupancy(2)};
    EXPECT_EQ(choose_server(servers, 0.0), 0U);
    EXPECT_EQ(choose_server(servers, 0.99), 1U);
}

TEST(choose_server, finds_none_where_all_are_full_or_unavailable)
{
    std::vector<server_load> servers = {with_occupancy(12), with_occupancy(0)};
    servers[1].available = false;
    EXPECT_FALSE(choose_server(servers, 0.5).has_value());
}

TEST(choose_server, prefers_a_busier_sound_server_to_one_that_fails)
{
    std::vector<server_load> servers = {with_occupancy(1), with_occupancy(2)};
    servers[0].failure_share = 0.45;
    EXPECT_EQ(choose_server(servers, 0.5), 1U);
}

TEST(choose_server, prefers_a_busier_sound_server_to_a_slow_one)
{
    std::vector<server_load> servers = {with_occupancy(1), with_occupancy(3)};
    servers[0].slowness = 5;
    EXPECT_EQ(choose_server(servers, 0.5), 1U);
}

TEST(choose_server, stays_in_the_data_centre_among_equals)
{
    std::vector<server_load> servers = {with_occupancy(2), with_occupancy(2)};
    servers[0].same_data_centre = false;
    EXPECT_EQ(choose_server(servers, 0.0), 1U);
}

} // namespace
} // namespace sardinestream
