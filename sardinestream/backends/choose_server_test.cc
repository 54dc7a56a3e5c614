#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/choose_server.h"

namespace sardinestream {
namespace {

server_load with_occupancy(double occupancy)
{
    server_load load;
    load.occupancy = occupancy;
    load.capacity = 12;
    load.same_data_centre = true;
    return load;
}

TEST(choose_server, takes_the_least_occupied)
{
    const std::vector<server_load> servers = {with_occupancy(5), with_occupancy(2),
                                              with_occupancy(3)};
    EXPECT_EQ(choose_server(servers, 0.5), 1U);
}

TEST(choose_server, breaks_ties_at_random)
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

TEST(choose_server, prefers_a_busier_healthy_server_to_a_failing_one)
{
    std::vector<server_load> servers = {with_occupancy(1), with_occupancy(2)};
    servers[0].failure_share = 0.45;
    EXPECT_EQ(choose_server(servers, 0.5), 1U);
}

TEST(choose_server, prefers_a_busier_healthy_server_to_a_slow_one)
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

TEST(choose_from_sample, considers_all_servers_if_there_are_few)
{
    std::vector<server_load> servers(4, with_occupancy(5));
    servers[2] = with_occupancy(1);
    EXPECT_EQ(choose_from_sample(servers, {0.0, 0.0, 0.0}), 2U);
}

TEST(choose_from_sample, takes_the_best_of_the_sample)
{
    std::vector<server_load> servers(10, with_occupancy(5));
    servers[3] = with_occupancy(2);
    servers[9] = with_occupancy(0);
    EXPECT_EQ(choose_from_sample(servers, {0.05, 0.35, 0.75}), 3U);
}

TEST(choose_from_sample, never_samples_a_full_or_unavailable_server)
{
    std::vector<server_load> servers(20, with_occupancy(12));
    servers[4] = with_occupancy(11);
    for (std::size_t i = 10; i < 20; ++i) {
        servers[i] = with_occupancy(0);
        servers[i].available = false;
    }
    EXPECT_EQ(choose_from_sample(servers, {0.1, 0.5, 0.9}), 4U);
    servers[4].available = false;
    EXPECT_FALSE(choose_from_sample(servers, {0.1, 0.5, 0.9}).has_value());
}

TEST(choose_from_sample, rarely_samples_a_slow_server)
{
    std::vector<server_load> servers(10, with_occupancy(5));
    for (std::size_t i = 0; i < 5; ++i) {
        servers[i].slowness = 4;
    }
    // A slowness of 4 lowers the weight by 4 * 4, so the slow half is sampled once in 17 times.
    EXPECT_LT(*choose_from_sample(servers, {0.05}), 5U);
    EXPECT_GE(*choose_from_sample(servers, {0.07}), 5U);
}

} // namespace
} // namespace sardinestream
