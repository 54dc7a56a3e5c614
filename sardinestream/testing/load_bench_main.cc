// The load bench: scenarios and policies side by side, with real processes. One JSON line for each
// scenario and policy, last a table. Environment: BENCH_SCENARIO and BENCH_POLICY select one.

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "sardinestream/routing/routing_policy.h"
#include "sardinestream/testing/load_cost.h"
#include "sardinestream/testing/load_scenarios.h"

namespace {

using namespace sardinestream;

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

bool print(const absl::StatusOr<std::string>& line)
{
    std::printf("%s\n", line.ok() ? line->c_str() : line.status().ToString().c_str());
    std::fflush(stdout);
    return line.ok();
}

std::vector<std::string> policies_of(const testing::load_scenario& scenario,
                                     const std::string& only)
{
    if (!only.empty()) {
        return {only};
    }
    if (scenario.every_policy) {
        return {"expected_first_token", "least_in_flight", "random", "round_robin"};
    }
    return {"expected_first_token", "round_robin"};
}

bool measure_costs()
{
    bool good = print(testing::measure_added_time());
    for (const auto& [entries, engines] : {std::pair{1, 4}, {3, 16}, {3, 48}}) {
        good = print(testing::measure_idle_cost(entries, engines)) && good;
    }
    return good;
}

} // namespace

int main()
{
    const std::string only_scenario = environment("BENCH_SCENARIO");
    const std::string only_policy = environment("BENCH_POLICY");
    bool good = true;
    if (only_scenario.empty() || only_scenario == "cost") {
        good = measure_costs();
    }
    std::vector<std::string> rows;
    for (const testing::load_scenario& scenario : testing::load_scenarios()) {
        if (!only_scenario.empty() && only_scenario != scenario.name) {
            continue;
        }
        for (const std::string& policy : policies_of(scenario, only_policy)) {
            const absl::StatusOr<testing::scenario_report> report =
                testing::run_scenario(scenario, policy);
            if (!report.ok()) {
                good = print(report.status()) && good;
                continue;
            }
            print(report->to_json());
            rows.push_back(report->to_row());
        }
    }
    std::printf("%s\n", testing::table_head().c_str());
    for (const std::string& row : rows) {
        std::printf("%s\n", row.c_str());
    }
    return good ? 0 : 1;
}
