#include "sardinestream/testing/load_scenarios.h"

#include <algorithm>
#include <thread>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr int slow_engine = 4;
constexpr double slow_factor = 0.2;
constexpr int team_count = 10;

// Ten teams, a few of them large.
std::vector<load_team> uneven_teams()
{
    std::vector<load_team> teams;
    for (int i = 0; i < team_count; ++i) {
        load_team team;
        team.name = absl::StrCat("team-", i);
        team.key = absl::StrCat("bearer-key-of-team-", i);
        team.share = i < 3 ? 5.0 : 1.0;
        teams.push_back(std::move(team));
    }
    return teams;
}

load_scenario make(std::string name, bool every_policy = false)
{
    load_scenario scenario;
    scenario.name = std::move(name);
    scenario.teams = uneven_teams();
    scenario.every_policy = every_policy;
    return scenario;
}

load_scenario slow_server()
{
    load_scenario scenario = make("one_slow_server", true);
    scenario.events = {{absl::ZeroDuration(), [](load_fleet& fleet) {
                            fleet.order_engine(slow_engine, "/admin/speed",
                                               json({{"factor", slow_factor}}).dump());
                        }}};
    return scenario;
}

// Queues form, so that it matters how long they are thought to be.
load_scenario busy_and_slow_server()
{
    load_scenario scenario = slow_server();
    scenario.name = "busy_with_one_slow_server";
    scenario.traffic.rate = 110;
    scenario.every_policy = false;
    return scenario;
}

load_scenario stalled_and_woken()
{
    load_scenario scenario = make("stalled_and_woken", true);
    scenario.events = {
        {absl::Seconds(3), [](load_fleet& fleet) { fleet.engine(slow_engine).freeze(); }},
        {absl::Seconds(8), [](load_fleet& fleet) { fleet.engine(slow_engine).wake(); }}};
    return scenario;
}

load_scenario prefix_drift()
{
    load_scenario scenario = make("prefix_drift", true);
    scenario.traffic.drift_every = absl::Seconds(4);
    return scenario;
}

load_scenario team_over_limit()
{
    load_scenario scenario = make("team_at_five_times_its_limit");
    // The first team asks for five times what it may: its share rises, its limit does not.
    scenario.teams[0].requests_per_s = 12;
    scenario.teams[0].max_in_flight = 12;
    scenario.teams[0].share = 24.0;
    scenario.traffic.rate = 100;
    return scenario;
}

load_scenario retrying_crowd()
{
    load_scenario scenario = make("retrying_crowd");
    scenario.traffic.caller_retries = 5;
    scenario.traffic.patience = absl::Seconds(10);
    scenario.events = {{absl::Seconds(3),
                        [](load_fleet& fleet) {
                            for (int i = 0; i < fleet.options().engines; ++i) {
                                fleet.engine(i).freeze();
                            }
                        }},
                       {absl::Seconds(8), [](load_fleet& fleet) {
                            for (int i = 0; i < fleet.options().engines; ++i) {
                                fleet.engine(i).wake();
                            }
                        }}};
    return scenario;
}

load_scenario store_out()
{
    load_scenario scenario = make("store_out_60_s");
    scenario.traffic.duration = absl::Seconds(64);
    scenario.traffic.rate = 30;
    scenario.events = {{absl::Seconds(2),
                        [](load_fleet& fleet) { fleet.order_platform("/admin/outage?mode=drop"); }},
                       {absl::Seconds(62), [](load_fleet& fleet) {
                            fleet.order_platform("/admin/outage?mode=none");
                        }}};
    return scenario;
}

load_scenario crash_request()
{
    load_scenario scenario = make("crash_request");
    scenario.traffic.crash_every = 60;
    for (int second = 1; second < 12; ++second) {
        // The platform starts a crashed server again.
        scenario.events.push_back({absl::Seconds(second), [](load_fleet& fleet) {
                                       for (int i = 0; i < fleet.options().engines; ++i) {
                                           if (!fleet.engine(i).alive()) {
                                               fleet.engine(i).restart().IgnoreError();
                                           }
                                       }
                                   }});
    }
    return scenario;
}

load_scenario rolling_replacement()
{
    load_scenario scenario = make("rolling_replacement");
    scenario.traffic.duration = absl::Seconds(24);
    for (int i = 0; i < 19; ++i) {
        scenario.events.push_back({absl::Seconds(1 + i), [i](load_fleet& fleet) {
                                       std::thread([&agent = fleet.agent(i)] {
                                           agent.terminate();
                                           (void)agent.wait_for_exit();
                                           agent.restart().IgnoreError();
                                       }).detach();
                                   }});
    }
    return scenario;
}

load_scenario data_centre_cut()
{
    load_scenario scenario = make("data_centre_cut_off");
    scenario.events = {{absl::Seconds(4), [](load_fleet& fleet) { fleet.cut_data_centre(2); }}};
    return scenario;
}

} // namespace

std::vector<load_scenario> load_scenarios()
{
    return {make("steady", true), slow_server(),   busy_and_slow_server(),
            stalled_and_woken(),  prefix_drift(),  team_over_limit(),
            retrying_crowd(),     crash_request(), rolling_replacement(),
            data_centre_cut(),    store_out()};
}

absl::StatusOr<scenario_report> run_scenario(const load_scenario& scenario,
                                             const std::string& policy)
{
    load_fleet_options wanted;
    wanted.policy = policy;
    wanted.teams = scenario.teams;
    absl::StatusOr<std::unique_ptr<load_fleet>> fleet = load_fleet::create(wanted);
    if (!fleet.ok()) {
        return fleet.status();
    }
    const std::vector<arrival> schedule =
        draw_schedule(scenario.traffic, scenario.teams, wanted.entries);
    const int attempts_before = (*fleet)->engine_attempts();
    std::thread happening([&] {
        const absl::Time start = absl::Now();
        for (const fleet_event& event : scenario.events) {
            absl::SleepFor(start + event.at - absl::Now());
            event.apply(**fleet);
        }
    });
    scenario_report report;
    report.scenario = scenario.name;
    report.policy = policy;
    report.load = run_schedule(schedule, **fleet, scenario.traffic);
    happening.join();
    const int attempts_after = (*fleet)->engine_attempts();
    report.engine_attempts = attempts_after == load_fleet::unreadable
                                 ? load_fleet::unreadable
                                 : attempts_after - attempts_before;
    report.most_runs_of_a_key = (*fleet)->most_runs_of_a_key();
    return report;
}

int scenario_report::wasted_attempts() const
{
    return this->engine_attempts == load_fleet::unreadable
               ? load_fleet::unreadable
               : std::max(0, this->engine_attempts - this->load.whole_completions);
}

std::string scenario_report::to_json() const
{
    json teams = json::object();
    for (const auto& [team, counts] : this->load.by_team) {
        teams[absl::StrCat(team)] = {counts.first, counts.second};
    }
    const load_result& load = this->load;
    return json({{"scenario", this->scenario},
                 {"policy", this->policy},
                 {"requests", load.requests},
                 {"answered_in_time", load.share_in_time()},
                 {"first_token_in_320_ms",
                  load.completions == 0
                      ? 0.0
                      : static_cast<double>(load.first_token_in_time) / load.completions},
                 {"first_token_ms",
                  {quantile(load.first_token_ms, 0.5), quantile(load.first_token_ms, 0.95),
                   quantile(load.first_token_ms, 0.99)}},
                 {"between_tokens_ms",
                  {quantile(load.between_tokens_ms, 0.5), quantile(load.between_tokens_ms, 0.95),
                   quantile(load.between_tokens_ms, 0.99)}},
                 {"ends", load.ends},
                 {"caller_attempts", load.caller_attempts},
                 {"completions", load.completions},
                 {"engine_attempts", this->engine_attempts},
                 {"wasted_attempts", this->wasted_attempts()},
                 {"most_runs_of_a_key", this->most_runs_of_a_key},
                 {"requests_and_in_time_by_team", teams}})
        .dump();
}

std::string table_head()
{
    return absl::StrFormat("%-29s %-24s %6s %8s %8s %8s %8s %8s %8s %7s", "scenario", "policy",
                           "reqs", "in time%", "ttft p50", "ttft p95", "ttft p99", "tbt p95",
                           "attempts", "wasted");
}

std::string scenario_report::to_row() const
{
    const load_result& load = this->load;
    return absl::StrFormat(
        "%-29s %-24s %6d %8.2f %8.1f %8.1f %8.1f %8.1f %8d %7d", this->scenario, this->policy,
        load.requests, 100 * load.share_in_time(), quantile(load.first_token_ms, 0.5),
        quantile(load.first_token_ms, 0.95), quantile(load.first_token_ms, 0.99),
        quantile(load.between_tokens_ms, 0.95), this->engine_attempts, this->wasted_attempts());
}

} // namespace sardinestream::testing
