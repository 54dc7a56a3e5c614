// Open-loop load: a schedule of arrivals drawn from a seed, and what became of each request.
//
//     const std::vector<arrival> schedule = draw_schedule(options, teams);
//     const load_result result = run_schedule(schedule, entries, options);
//     std::puts(result.to_json().c_str());
//
// Arrivals never wait for answers: a request that is late does not thin out the load.

#ifndef SARDINESTREAM_TESTING_LOAD_TRAFFIC_H_
#define SARDINESTREAM_TESTING_LOAD_TRAFFIC_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sardinestream/base/settings.h"
#include "sardinestream/testing/load_fleet.h"

#include "absl/time/time.h"

namespace sardinestream::testing {

enum class arrival_kind : std::uint8_t { completion, stock_read, dispatch };

struct arrival {
    absl::Duration at; // from the start
    arrival_kind kind = arrival_kind::completion;
    int team = 0;
    int entry = 0; // as the platform's balancer chose
    std::string prompt;
    int max_tokens = 0;
    std::string key; // dispatches
};

struct traffic_options {
    std::uint64_t seed = 20261204;
    absl::Duration duration = absl::Seconds(12);
    double rate = 60;          // arrivals a second on average
    double burst_factor = 2.5; // within a burst
    absl::Duration burst_every = absl::Seconds(3);
    absl::Duration burst_length = absl::Milliseconds(600);
    double plain_share = 0.25; // reads and dispatches
    int prefixes = 48;
    int prefix_bytes = 2048;
    // The popular prefixes change this often; infinite for never.
    absl::Duration drift_every = absl::InfiniteDuration();
    int mean_tokens = 16;
    // The caller's time for the whole answer, and for the first token.
    absl::Duration patience = absl::Seconds(3);
    absl::Duration first_token_limit = absl::Milliseconds(320);
    // Callers come back after Retry-After, at most this often.
    int caller_retries = 0;
    // One prompt in this many carries the text that crashes an engine; zero for none.
    int crash_every = 0;
};

[[nodiscard]] std::vector<arrival> draw_schedule(const traffic_options& options,
                                                 const std::vector<load_team>& teams, int entries);

struct load_result {
    int requests = 0;
    int in_time = 0;
    int first_token_in_time = 0;
    int completions = 0;
    int whole_completions = 0;
    int caller_attempts = 0;
    std::vector<double> first_token_ms;
    std::vector<double> between_tokens_ms;
    std::map<std::string, int> ends;            // by code, "answered" for success
    std::map<int, std::pair<int, int>> by_team; // requests, answered in time

    [[nodiscard]] double share_in_time() const;
};

// The quantile (0 to 1) of `samples`; zero where there are none.
[[nodiscard]] double quantile(std::vector<double> samples, double at);

// Sends every arrival at its time and waits for the last answer.
[[nodiscard]] load_result run_schedule(const std::vector<arrival>& schedule,
                                       const load_fleet& fleet, const traffic_options& options);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_LOAD_TRAFFIC_H_
