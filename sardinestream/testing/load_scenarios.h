// The scenarios of the load bench: for each, the traffic, the teams and what happens to the fleet
// meanwhile.
//
//     for (const load_scenario& scenario : load_scenarios()) { ... run_scenario(scenario, policy) }

#ifndef SARDINESTREAM_TESTING_LOAD_SCENARIOS_H_
#define SARDINESTREAM_TESTING_LOAD_SCENARIOS_H_

#include <functional>
#include <string>
#include <vector>

#include "sardinestream/testing/load_fleet.h"
#include "sardinestream/testing/load_traffic.h"

#include "absl/status/statusor.h"

namespace sardinestream::testing {

// Something that is done to the fleet at a time after the start of the load.
struct fleet_event {
    absl::Duration at;
    std::function<void(load_fleet&)> apply;
};

struct load_scenario {
    std::string name;
    traffic_options traffic;
    std::vector<load_team> teams;
    std::vector<fleet_event> events;
    // Run with every policy; otherwise with ours and round robin.
    bool every_policy = false;
};

// One line of the bench's output.
struct scenario_report {
    std::string scenario;
    std::string policy;
    load_result load;
    int engine_attempts = 0;
    int most_runs_of_a_key = 0;

    // Completions that engines began beyond those that were answered whole.
    [[nodiscard]] int wasted_attempts() const;
    [[nodiscard]] std::string to_json() const;
    [[nodiscard]] std::string to_row() const;
};

// The head of the table that `scenario_report::to_row` fills.
[[nodiscard]] std::string table_head();

[[nodiscard]] std::vector<load_scenario> load_scenarios();

// Starts a fleet, runs the scenario and returns what was measured.
[[nodiscard]] absl::StatusOr<scenario_report> run_scenario(const load_scenario& scenario,
                                                           const std::string& policy);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_LOAD_SCENARIOS_H_
