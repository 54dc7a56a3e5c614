// One soak run: a fleet, its callers, the faults of a seed, and the verdict.
//
//     const soak_verdict verdict = run_soak({.seed = 7});
//     for (const std::string& broken : verdict.broken) { ... }

#ifndef SARDINESTREAM_TESTING_SOAK_SOAK_RUN_H_
#define SARDINESTREAM_TESTING_SOAK_SOAK_RUN_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/testing/soak/fault_series.h"
#include "sardinestream/testing/soak/promise_ledger.h"
#include "sardinestream/testing/soak/soak_house.h"

namespace sardinestream::testing {

struct soak_options {
    unsigned seed = 1;
    soak_size size;
    // The time in which faults begin and end.
    std::chrono::milliseconds length{8000};
    int requesters = 12;
    // Plays the house instead of the soak's own faults.
    bool house = false;
    house_plan plan = house_plan::series;
    // Of all callers together; zero lets each send once its last request has been answered.
    double requests_per_s = 0;
    // Of the requests of a house.
    double stream_share = house_stream_share;
    std::chrono::milliseconds stream_pace{0};
    // Replaces what the seed draws.
    std::optional<std::chrono::milliseconds> stall;
    std::optional<std::chrono::milliseconds> pass_time;
};

struct soak_verdict {
    std::vector<soak_fault> faults;
    // Each broken promise in a line; empty where all were kept.
    std::vector<std::string> broken;
    promise_ledger::totals requests;
    // Passes that the group of ranks made.
    std::int64_t passes = 0;
    std::string log_directory;
};

[[nodiscard]] soak_verdict run_soak(const soak_options& options);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_SOAK_RUN_H_
