#include <gtest/gtest.h>

#include "sardinestream/routes/desired_state.h"

namespace sardinestream {
namespace {

route make_route(const std::string& host, const std::string& prefix)
{
    route made;
    made.name = host + prefix;
    made.host = host;
    made.path_prefix = prefix;
    made.services = {{"service", 1}};
    return made;
}

desired_state make_state()
{
    desired_state state;
    state.routes = {make_route("a.example", "/"), make_route("a.example", "/x/"),
                    make_route("a.example", "/x/y/"), make_route("b.example", "/z/")};
    state.index_routes();
    return state;
}

TEST(desired_state, finds_the_longest_prefix_of_the_host)
{
    const desired_state state = make_state();
    EXPECT_EQ(state.find_route("a.example", "/x/y/1")->path_prefix, "/x/y/");
    EXPECT_EQ(state.find_route("A.Example", "/x/1")->path_prefix, "/x/");
    EXPECT_EQ(state.find_route("a.example", "/x")->path_prefix, "/");
}

TEST(desired_state, finds_no_route_of_another_host)
{
    const desired_state state = make_state();
    EXPECT_EQ(state.find_route("b.example", "/x/"), nullptr);
    EXPECT_EQ(state.find_route("c.example", "/"), nullptr);
}

TEST(desired_state, finds_the_team_of_a_key)
{
    desired_state state = make_state();
    state.teams_by_key["k1"] = {"growers", 1};
    EXPECT_EQ(state.find_team("k1")->name, "growers");
    EXPECT_EQ(state.find_team("k2"), nullptr);
}

TEST(choose_service, follows_the_weights)
{
    route split = make_route("a.example", "/");
    split.services = {{"old", 9}, {"new", 1}};
    EXPECT_EQ(choose_service(split, 0.0), "old");
    EXPECT_EQ(choose_service(split, 0.89), "old");
    EXPECT_EQ(choose_service(split, 0.91), "new");
}

TEST(choose_service, gives_nothing_to_a_weight_of_zero)
{
    route split = make_route("a.example", "/");
    split.services = {{"old", 0}, {"new", 1}};
    EXPECT_EQ(choose_service(split, 0.0), "new");
}

TEST(route, allows_a_second_run_only_where_its_kind_does)
{
    route made = make_route("a.example", "/");
    made.kind = request_kind::non_idempotent;
    EXPECT_FALSE(made.may_run_again());
    made.kind = request_kind::streaming;
    EXPECT_FALSE(made.may_run_again());
    made.resumable = true;
    EXPECT_TRUE(made.may_run_again());
}

} // namespace
} // namespace sardinestream
