// Tests each finding about a desired state, and the differences between two of them.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/check/desired_state_check.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::check {
namespace {

using std::chrono::milliseconds;

route make_route(const std::string& name, const std::string& prefix)
{
    route made;
    made.name = name;
    made.host = "a.example";
    made.path_prefix = prefix;
    made.services = {{"stock", 1}};
    made.is_public = true;
    return made;
}

desired_state make_state()
{
    desired_state state;
    state.version = 7;
    state.services["stock"].name = "stock";
    state.routes = {make_route("orders", "/orders/"), make_route("stock", "/stock/")};
    return state;
}

std::vector<std::string> codes_of(const findings& all)
{
    std::vector<std::string> codes;
    for (const finding& found : all) {
        codes.push_back(absl::StrCat(found.place, " ", found.code));
    }
    return codes;
}

std::vector<std::string> checked(const desired_state& state, const fleet_facts& fleet = {})
{
    return codes_of(check_desired_state(state, fleet));
}

TEST(check_desired_state, finds_nothing_in_a_sound_state)
{
    EXPECT_THAT(checked(make_state()), testing::IsEmpty());
}

TEST(check_desired_state, names_services_that_are_not_declared_or_not_used)
{
    desired_state state = make_state();
    state.routes[0].services = {{"unknown", 1}};
    state.services["spare"].name = "spare";
    EXPECT_THAT(checked(state), testing::ElementsAre("routes[orders].service unknown_service",
                                                     "services[spare].name no_route"));
}

TEST(check_desired_state, names_routes_that_never_match)
{
    desired_state state = make_state();
    state.routes.push_back(make_route("second", "/stock/"));
    state.routes.push_back(make_route("open", "stock"));
    state.routes.push_back(make_route("weightless", "/w/"));
    state.routes.back().services[0].weight = 0;
    EXPECT_THAT(checked(state), testing::ElementsAre("routes[second].path_prefix shadowed_route",
                                                     "routes[open].path_prefix bad_prefix",
                                                     "routes[weightless].services no_weight"));
}

TEST(check_desired_state, a_longer_prefix_of_the_same_host_shadows_nothing)
{
    desired_state state = make_state();
    state.routes.push_back(make_route("inner", "/stock/inner/"));
    EXPECT_THAT(checked(state), testing::IsEmpty());
}

TEST(check_desired_state, names_teams_that_no_key_opens)
{
    desired_state state = make_state();
    state.has_teams = true;
    state.teams = {{"stall", -1, 0}, {"till", 12, 2, 1}};
    state.routes[0].is_public = false;
    EXPECT_THAT(checked(state), testing::ElementsAre("routes[orders].public no_key_opens",
                                                     "teams[stall].keys no_key",
                                                     "teams[till].keys key_of_another_team",
                                                     "teams[till].priority out_of_range"));
}

TEST(check_desired_state, names_limits_that_contradict_each_other)
{
    desired_state state = make_state();
    state.routes[0].timeout = milliseconds(100);
    state.routes[0].latency_target = milliseconds(200);
    state.routes[0].pause_target = milliseconds(120);
    state.services["stock"].cold_period = milliseconds(3000);
    state.services["stock"].cold_rate = 0.5;
    state.services["stock"].connection_limit = 4;
    state.limits.idle_timeout = milliseconds(0);
    EXPECT_THAT(checked(state, {.entries = 6, .request_memory_bytes = 1000, .cold_overage = 1.5}),
                testing::ElementsAre("routes[orders].timeout timeout_under_latency_target",
                                     "routes[orders].timeout timeout_under_pause_target",
                                     "services[stock].connection_limit "
                                     "less_than_one_connection_an_entry",
                                     "services[stock].cold_rate cold_rate_under_one",
                                     "limits.body_bytes body_exceeds_memory",
                                     "limits.idle_timeout no_connection_is_kept"));
}

TEST(changes_between, tells_differences_by_meaning)
{
    const desired_state in_force = make_state();
    desired_state newer = make_state();
    newer.version = 9;
    std::swap(newer.routes[0], newer.routes[1]);
    newer.routes[0].timeout = milliseconds(5000);
    newer.routes[1].services = {{"stock", 50}};
    newer.routes.push_back(make_route("dispatch", "/dispatch/"));
    newer.services.erase("stock");
    EXPECT_THAT(codes_of(changes_between(in_force, newer)),
                testing::ElementsAre("services[stock] removed", "routes[dispatch] added",
                                     "routes[stock].timeout changed"));
}

TEST(changes_between, a_version_that_is_not_newer_is_an_error)
{
    EXPECT_THAT(codes_of(changes_between(make_state(), make_state())),
                testing::ElementsAre("version not_newer"));
}

TEST(check_desired_state, ten_thousand_routes_give_one_finding_each)
{
    desired_state state = make_state();
    for (int i = 0; i < 10000; ++i) {
        state.routes.push_back(make_route(absl::StrCat("r", i), "/orders/"));
    }
    EXPECT_EQ(checked(state).size(), 10000U);
}

} // namespace
} // namespace sardinestream::check
