#include <map>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/routing/load_report.h"
#include "sardinestream/routing/routing_policy.h"

namespace sardinestream::routing {
namespace {

server_view idle_server(const std::string& id)
{
    server_view view;
    view.id = id;
    view.load.slots = 4;
    view.load.service_time = absl::Milliseconds(200);
    view.load.prefill_token_time = absl::Microseconds(100);
    view.load.token_time = absl::Milliseconds(5);
    return view;
}

request_profile model_request()
{
    request_profile profile;
    profile.service = "assistant";
    profile.prompt_tokens = 512;
    profile.tokens_per_block = 16;
    return profile;
}

// Returns how often each server is chosen in 1000 calls.
std::map<std::string, int> tally(const routing_policy& choose,
                                 const std::vector<server_view>& views,
                                 const request_profile& profile)
{
    random_source random(7);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 1000; ++i) {
        ++chosen[views[*choose(views, profile, random)].id];
    }
    return chosen;
}

TEST(routing_policy_test, every_policy_passes_over_leaving_and_excluded_servers)
{
    std::vector<server_view> views = {idle_server("a"), idle_server("b"), idle_server("c")};
    views[0].leaving = true;
    request_profile profile = model_request();
    profile.excluded_agents = {"c"};
    for (absl::string_view name : policy_names()) {
        EXPECT_EQ(tally(*make_policy(name), views, profile)["b"], 1000) << name;
    }
}

TEST(routing_policy_test, every_policy_chooses_nothing_where_all_are_excluded)
{
    const std::vector<server_view> views = {idle_server("a")};
    request_profile profile = model_request();
    profile.excluded_agents = {"a"};
    random_source random(7);
    for (absl::string_view name : policy_names()) {
        EXPECT_EQ((*make_policy(name))(views, profile, random), std::nullopt) << name;
    }
}

TEST(routing_policy_test, unknown_policy_is_refused)
{
    EXPECT_FALSE(make_policy("fastest").ok());
}

TEST(expected_first_token_test, with_measured_speeds_a_slow_server_is_passed_over)
{
    std::vector<server_view> views = {idle_server("slow"), idle_server("fast")};
    views[0].load.prefill_token_time *= 5;
    const routing_policy choose = make_expected_first_token({.use_speed = true});
    EXPECT_EQ(tally(choose, views, model_request())["fast"], 1000);
}

TEST(expected_first_token_test, a_long_cached_prefix_wins_over_an_idle_server)
{
    std::vector<server_view> views = {idle_server("a"), idle_server("b"), idle_server("cached"),
                                      idle_server("d")};
    views[2].cached_blocks = 30;
    views[2].load.running = 2;
    EXPECT_EQ(tally(make_expected_first_token({}), views, model_request())["cached"], 1000);
}

TEST(expected_first_token_test, a_cached_prefix_does_not_outweigh_a_queue)
{
    std::vector<server_view> views = {idle_server("free"), idle_server("cached")};
    views[1].cached_blocks = 30;
    views[1].load.running = 4;
    views[1].load.queued = 8;
    EXPECT_EQ(tally(make_expected_first_token({}), views, model_request())["free"], 1000);
}

TEST(expected_first_token_test, a_stalled_server_is_passed_over)
{
    std::vector<server_view> views = {idle_server("stalled"), idle_server("free")};
    views[0].load.running = 1;
    views[0].load.no_progress_for = absl::Seconds(2);
    EXPECT_EQ(tally(make_expected_first_token({}), views, model_request())["free"], 1000);
}

TEST(expected_first_token_test, a_failing_server_is_passed_over)
{
    std::vector<server_view> views = {idle_server("failing"), idle_server("busy")};
    views[0].load.failing = true;
    views[1].load.running = 4;
    views[1].load.queued = 4;
    EXPECT_EQ(tally(make_expected_first_token({}), views, model_request())["busy"], 1000);
}

TEST(expected_first_token_test, load_spills_over_only_to_free_slots)
{
    std::vector<server_view> views = {idle_server("near"), idle_server("far-full"),
                                      idle_server("far-free")};
    views[0].load.running = 4;
    views[0].load.queued = 4;
    views[1].distance = distance_class::same_region;
    views[1].load.running = 4;
    views[2].distance = distance_class::same_region;
    EXPECT_EQ(tally(make_expected_first_token({}), views, model_request())["far-free"], 1000);
    views[2].load.running = 4;
    EXPECT_EQ(tally(make_expected_first_token({}), views, model_request())["near"], 1000);
}

TEST(expected_first_token_test, equal_servers_share_the_load)
{
    std::vector<server_view> views;
    for (const char* id : {"a", "b", "c", "d"}) {
        views.push_back(idle_server(id));
    }
    for (const auto& [id, times] : tally(make_expected_first_token({}), views, model_request())) {
        EXPECT_GT(times, 150) << id;
    }
}

TEST(load_tracker_test, requests_since_the_report_are_added_to_it)
{
    load_tracker tracker("a", 1, "north", distance_class::same_data_centre);
    server_load load;
    load.running = 2;
    tracker.on_report(load, absl::UnixEpoch());
    tracker.on_request_sent();
    tracker.on_request_sent();
    tracker.on_request_ended();
    const server_view view = tracker.view(absl::UnixEpoch() + absl::Seconds(1));
    EXPECT_EQ(view.change_since_report, 1);
    EXPECT_EQ(view.own_outstanding, 1);
    EXPECT_EQ(view.report_age, absl::Seconds(1));
}

TEST(load_report_test, a_report_survives_the_round_trip)
{
    server_load load;
    load.running = 3;
    load.slots = 8;
    load.token_time = absl::Microseconds(5100);
    load.prefill_token_time = absl::Nanoseconds(90);
    load.leaving = true;
    const server_load decoded = *decode_load(encode_load(load));
    EXPECT_EQ(decoded.running, 3U);
    EXPECT_EQ(decoded.slots, 8U);
    EXPECT_EQ(decoded.token_time, absl::Microseconds(5100));
    EXPECT_EQ(decoded.prefill_token_time, absl::Nanoseconds(90));
    EXPECT_TRUE(decoded.leaving);
    EXPECT_FALSE(decode_load("nonsense").ok());
}

} // namespace
} // namespace sardinestream::routing
