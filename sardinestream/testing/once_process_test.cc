// At-most-once, the truth of `not_run`, and crashing requests, with real processes.

#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sardinestream/testing/fleet.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

constexpr char deposits[] = "/services/till/deposits";
constexpr absl::Duration short_patience = absl::Seconds(2);

std::unique_ptr<fleet> make_fleet(int entries, int model_agents, int plain_agents)
{
    fleet_options options;
    options.entries = entries;
    options.model_agents = model_agents;
    options.plain_agents = plain_agents;
    options.token_time = absl::Milliseconds(10);
    absl::StatusOr<std::unique_ptr<fleet>> made = fleet::create(std::move(options));
    EXPECT_TRUE(made.ok()) << made.status();
    return made.ok() ? *std::move(made) : nullptr;
}

call_answer deposit(const fleet& servers, int entry, const std::string& key,
                    absl::Duration patience = absl::Seconds(60), header_fields more = {})
{
    more.emplace_back("Idempotency-Key", key);
    return servers.caller_of(entry, patience).call("POST", deposits, "deposit of " + key, more);
}

std::string take_ticket(const fleet& servers)
{
    const call_answer answer =
        servers.caller_of(0).call("POST", "/v1/tickets", R"({"service":"till"})", {});
    return nlohmann::json::parse(answer.body).value("ticket", "");
}

void order_service(const agent_node& agent, const std::string& faults)
{
    const address& at = agent.backend.reserved();
    EXPECT_TRUE(caller(at, "").call("POST", "/admin/faults", faults, {}).success());
}

int dead_engines(fleet& servers)
{
    int dead = 0;
    for (const auto& agent : servers.agents()) {
        dead += agent->model && !agent->backend_run->alive();
    }
    return dead;
}

TEST(once_process, one_key_from_many_callers_through_all_entries_runs_once)
{
    const auto servers = make_fleet(3, 1, 3);
    ASSERT_NE(servers, nullptr);
    for (const auto& agent : servers->agents()) {
        if (!agent->model) {
            order_service(*agent, R"({"delay_ms":200})");
        }
    }
    constexpr int caller_count = 12;
    std::vector<std::future<call_answer>> callers;
    callers.reserve(caller_count);
    for (int caller = 0; caller < caller_count; ++caller) {
        callers.push_back(std::async(std::launch::async, [&servers, caller] {
            return deposit(*servers, caller % 3, "many-callers");
        }));
    }
    for (std::future<call_answer>& caller : callers) {
        const call_answer answer = caller.get();
        EXPECT_TRUE(answer.success()) << answer.summary();
    }
    EXPECT_EQ(servers->runs_of("many-callers"), 1);
}

TEST(once_process, agent_that_was_frozen_past_every_timeout_runs_its_key_once)
{
    const auto servers = make_fleet(2, 1, 1);
    ASSERT_NE(servers, nullptr);
    agent_node& agent = *servers->agents()[1];
    const auto frozen =
        agent.peers->add({.at = frame_pattern(wire::frame_type::request_open, "frozen"),
                          .when = fault_time::before,
                          .hook = [&agent] { agent.run->freeze(); }});
    const call_answer first = deposit(*servers, 0, "frozen", short_patience);
    EXPECT_TRUE(frozen->fired());
    EXPECT_EQ(first.error.outcome, "unknown") << first.summary();
    EXPECT_GT(first.error.retry_after_ms, 0);
    agent.run->wake();
    call_answer last;
    EXPECT_TRUE(wait_until([&] {
        last = deposit(*servers, 1, "frozen");
        return last.success();
    })) << last.summary();
    EXPECT_EQ(servers->runs_of("frozen"), 1);
}

TEST(once_process, key_of_an_agent_that_was_killed_is_answered_for_good_and_never_runs_again)
{
    const auto servers = make_fleet(2, 1, 2);
    ASSERT_NE(servers, nullptr);
    std::vector<std::shared_ptr<armed_rule>> kills;
    for (const auto& agent : servers->agents()) {
        process* const run = agent->run.get();
        kills.push_back(agent->server->add({.at = request_pattern("POST", "killed"),
                                            .when = fault_time::after,
                                            .hook = [run] { run->kill(); }}));
    }
    const call_answer first = deposit(*servers, 0, "killed", short_patience);
    EXPECT_EQ(first.error.outcome, "unknown") << first.summary();
    ASSERT_TRUE(servers->restore().ok());
    for (int entry : {0, 1}) {
        const call_answer again = deposit(*servers, entry, "killed");
        EXPECT_EQ(again.summary(), "bound_agent_gone/unknown");
        EXPECT_EQ(again.error.retry_after_ms, 0);
    }
    EXPECT_EQ(servers->runs_of("killed"), 1);
}

TEST(once_process, answer_that_came_too_late_for_its_caller_is_handed_to_the_next_sending)
{
    const auto servers = make_fleet(2, 1, 1);
    ASSERT_NE(servers, nullptr);
    order_service(*servers->agents()[1], R"({"hang":true})");
    const call_answer first = deposit(*servers, 0, "late", absl::Seconds(1));
    EXPECT_EQ(first.error.outcome, "unknown") << first.summary();
    EXPECT_GT(first.error.retry_after_ms, 0);
    order_service(*servers->agents()[1], R"({"hang":false})");
    const call_answer again = deposit(*servers, 1, "late");
    EXPECT_TRUE(again.success()) << again.summary();
    EXPECT_TRUE(again.replayed);
    EXPECT_EQ(servers->runs_of("late"), 1);
}

TEST(once_process, store_outage_refuses_new_keys_truly_and_serves_tickets_and_known_keys)
{
    const auto servers = make_fleet(2, 1, 2);
    ASSERT_NE(servers, nullptr);
    const std::string ticket = take_ticket(*servers);
    ASSERT_TRUE(deposit(*servers, 0, "before").success());
    ASSERT_TRUE(servers->order_platform("/admin/outage?mode=drop"));

    const call_answer known = deposit(*servers, 0, "before");
    EXPECT_TRUE(known.success() && known.replayed) << known.summary();
    // Entry 1 has never seen the key, and cannot know that it ran.
    EXPECT_EQ(deposit(*servers, 1, "before").summary(), "store_unavailable/unknown");
    const call_answer vouched =
        deposit(*servers, 1, "vouched", absl::Seconds(60), {{"Sardine-First-Send", "true"}});
    EXPECT_EQ(vouched.summary(), "store_unavailable/not_run");
    EXPECT_GT(vouched.error.retry_after_ms, 0);
    for (int entry : {0, 1}) {
        const call_answer by_ticket = servers->caller_of(entry).call(
            "POST", deposits, "by ticket", {{"Sardine-Ticket", ticket}, {"X-Run-Id", "ticket"}});
        EXPECT_TRUE(by_ticket.success()) << by_ticket.summary();
        EXPECT_EQ(by_ticket.replayed, entry == 1);
    }
    EXPECT_EQ(servers->runs_of("before"), 1);
    EXPECT_EQ(servers->runs_of("vouched"), 0);
}

TEST(once_process, crashing_request_costs_two_servers_whatever_entry_it_returns_to)
{
    const auto servers = make_fleet(2, 5, 1);
    ASSERT_NE(servers, nullptr);
    const completion_call poison{.prompt = "crash-me", .max_tokens = 8};
    for (int sending = 0; sending < 6; ++sending) {
        const stream_answer answer = servers->caller_of(sending % 2).stream(poison);
        EXPECT_FALSE(answer.whole());
    }
    EXPECT_EQ(dead_engines(*servers), 2);
    process& entry = *servers->entry(0).run;
    ASSERT_TRUE(entry.restart().ok());
    ASSERT_TRUE(entry.wait_until_listening().ok());
    EXPECT_TRUE(wait_until([&] {
        const stream_answer answer = servers->caller_of(0).stream(poison);
        return answer.error.code == "crash_suspect" && answer.error.outcome == "not_run";
    }));
    EXPECT_EQ(dead_engines(*servers), 2);
}

TEST(once_process, innocents_in_flight_at_a_crash_are_answered_whole_and_served_again)
{
    const auto servers = make_fleet(2, 3, 1);
    ASSERT_NE(servers, nullptr);
    constexpr int innocent_count = 6;
    std::vector<std::future<stream_answer>> innocents;
    innocents.reserve(innocent_count);
    std::atomic<int> begun = 0;
    for (int caller = 0; caller < innocent_count; ++caller) {
        innocents.push_back(std::async(std::launch::async, [&servers, &begun, caller] {
            completion_call asked{.prompt = absl::StrCat("chipped bowl ", caller),
                                  .max_tokens = 60};
            asked.on_token = [&begun](int index) {
                begun += index == 0;
                return true;
            };
            return servers->caller_of(caller % 2).stream(asked);
        }));
    }
    ASSERT_TRUE(wait_until([&begun] { return begun == innocent_count; }));
    EXPECT_FALSE(servers->caller_of(0).stream({.prompt = "crash-me", .max_tokens = 8}).whole());
    for (std::future<stream_answer>& innocent : innocents) {
        const stream_answer answer = innocent.get();
        EXPECT_TRUE(answer.whole()) << answer.summary();
    }
    ASSERT_TRUE(servers->restore().ok());
    for (int caller = 0; caller < innocent_count; ++caller) {
        const stream_answer again =
            servers->caller_of(caller % 2)
                .stream({.prompt = absl::StrCat("chipped bowl ", caller), .max_tokens = 10});
        EXPECT_TRUE(again.whole()) << again.summary();
    }
}

} // namespace
} // namespace sardinestream::testing
