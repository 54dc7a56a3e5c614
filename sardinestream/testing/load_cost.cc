#include "sardinestream/testing/load_cost.h"

#include <algorithm>
#include <vector>

#include <nlohmann/json.hpp>

#include "sardinestream/testing/caller.h"
#include "sardinestream/testing/load_fleet.h"
#include "sardinestream/testing/load_traffic.h"

#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr int pairs = 300;
constexpr absl::Duration idle_period = absl::Seconds(8);

load_fleet_options small_fleet(int entries, int engines)
{
    load_fleet_options options;
    options.entries = entries;
    options.engines = engines;
    options.services = 1;
    options.token_time = absl::Milliseconds(2);
    options.prefill_token_time = absl::ZeroDuration();
    options.data_centre_delay = absl::ZeroDuration();
    load_team team;
    team.name = "team-0";
    team.key = "bearer-key-of-team-0";
    options.teams = {team};
    return options;
}

double time_of(const caller& asking)
{
    const absl::Time start = absl::Now();
    (void)asking.stream({.prompt = "idle", .max_tokens = 1});
    return absl::ToDoubleMilliseconds(absl::Now() - start);
}

json quantiles(const std::vector<double>& samples)
{
    return {quantile(samples, 0.5), quantile(samples, 0.95), quantile(samples, 0.99)};
}

json cost_between(const process_cost& before, const process_cost& after, double seconds)
{
    return {{"core_share", (after.cpu_s - before.cpu_s) / seconds},
            {"resident_mb", after.resident_mb},
            {"bytes_per_s", (after.bytes - before.bytes) / seconds}};
}

} // namespace

absl::StatusOr<std::string> measure_added_time()
{
    absl::StatusOr<std::unique_ptr<load_fleet>> fleet = load_fleet::create(small_fleet(1, 1));
    if (!fleet.ok()) {
        return fleet.status();
    }
    const std::string& key = (*fleet)->options().teams[0].key;
    const caller direct((*fleet)->engine_address(0), key);
    const caller through((*fleet)->entry_address(0), key);
    std::vector<double> direct_ms;
    std::vector<double> through_ms;
    std::vector<double> added_ms;
    for (int i = 0; i < pairs; ++i) {
        direct_ms.push_back(time_of(direct));
        through_ms.push_back(time_of(through));
        added_ms.push_back(through_ms.back() - direct_ms.back());
    }
    return json({{"measure", "added_time_idle"},
                 {"pairs", pairs},
                 {"direct_ms", quantiles(direct_ms)},
                 {"through_ms", quantiles(through_ms)},
                 {"added_p50_ms", quantile(through_ms, 0.5) - quantile(direct_ms, 0.5)},
                 {"added_p99_ms", quantile(through_ms, 0.99) - quantile(direct_ms, 0.99)},
                 {"paired_difference_ms", quantiles(added_ms)}})
        .dump();
}

absl::StatusOr<std::string> measure_idle_cost(int entries, int engines)
{
    absl::StatusOr<std::unique_ptr<load_fleet>> fleet =
        load_fleet::create(small_fleet(entries, engines));
    if (!fleet.ok()) {
        return fleet.status();
    }
    const process_cost entry_before = load_fleet::cost_of((*fleet)->entry(0));
    const process_cost agent_before = load_fleet::cost_of((*fleet)->agent(0));
    const absl::Time start = absl::Now();
    absl::SleepFor(idle_period);
    const process_cost entry_after = load_fleet::cost_of((*fleet)->entry(0));
    const process_cost agent_after = load_fleet::cost_of((*fleet)->agent(0));
    const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
    return json({{"measure", "idle_cost"},
                 {"entries", entries},
                 {"engines", engines},
                 {"entry", cost_between(entry_before, entry_after, seconds)},
                 {"agent", cost_between(agent_before, agent_after, seconds)}})
        .dump();
}

} // namespace sardinestream::testing
