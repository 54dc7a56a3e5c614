// Tests which features the declaration of a service calls for.

#include <gtest/gtest.h>

#include "sardinestream/backends/service_policy.h"

namespace sardinestream {
namespace {

route make_stream(int priority, int pause_ms)
{
    route made;
    made.kind = request_kind::streaming;
    made.services = {{"model", 1}};
    made.priority = priority;
    made.pause_target = std::chrono::milliseconds(pause_ms);
    return made;
}

desired_state make_state(std::vector<route> routes)
{
    desired_state state;
    state.services["model"].name = "model";
    state.routes = std::move(routes);
    return state;
}

TEST(policies_of, streams_of_one_priority_are_equally_urgent)
{
    const service_policies policies =
        policies_of(make_state({make_stream(1, 0), make_stream(1, 0)}));
    EXPECT_FALSE(policies.at("model").has_urgent_streams);
    EXPECT_EQ(policies.at("model").pause_target.count(), 0);
}

TEST(policies_of, takes_the_shortest_pause_target_and_notes_different_priorities)
{
    const service_policies policies =
        policies_of(make_state({make_stream(0, 150), make_stream(2, 120), make_stream(2, 0)}));
    EXPECT_TRUE(policies.at("model").has_urgent_streams);
    EXPECT_EQ(policies.at("model").pause_target.count(), 120);
}

TEST(policies_of, a_team_of_another_priority_makes_streams_differ)
{
    desired_state state = make_state({make_stream(1, 0)});
    state.teams_by_key["key"] = {"team", 0};
    EXPECT_TRUE(policies_of(state).at("model").has_urgent_streams);
}

TEST(policies_of, plain_routes_make_no_stream_urgent)
{
    route plain = make_stream(2, 0);
    plain.kind = request_kind::idempotent;
    const service_policies policies = policies_of(make_state({make_stream(1, 0), plain}));
    EXPECT_FALSE(policies.at("model").has_urgent_streams);
}

} // namespace
} // namespace sardinestream
