// The values that a routing decision is made from: what an entry knows of each backend server, and
// of the request.
//
// Plain values without behaviour; `load_tracker` fills a `backend_view`, the request path fills a
// `request_profile`, `choose_backend` reads both.

#ifndef SARDINESTREAM_ROUTING_SERVER_VIEW_H_
#define SARDINESTREAM_ROUTING_SERVER_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sardinestream/catalogue/snapshot.h"

#include "absl/time/time.h"

namespace sardinestream::routing {

// How far an agent is from the entry. Lower is nearer.
enum class distance_class : std::uint8_t {
    same_data_centre = 0,
    same_region = 1,
    other_region = 2,
};

// Returns the one-way delay that the class stands for.
[[nodiscard]] constexpr absl::Duration one_way_delay(distance_class distance)
{
    switch (distance) {
    case distance_class::same_data_centre:
        return absl::Microseconds(100);
    case distance_class::same_region:
        return absl::Microseconds(1500);
    case distance_class::other_region:
        break;
    }
    return absl::Milliseconds(40);
}

// What an agent reports of its backend server. Times are moving averages that the agent measured;
// zero where it has no recent sample.
struct server_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 1;    // at least 1
    std::uint32_t suspects = 0; // crash suspects that run or wait here
    absl::Duration service_time = absl::ZeroDuration();
    absl::Duration first_token_time = absl::ZeroDuration();
    absl::Duration token_time = absl::ZeroDuration();
    absl::Duration prefill_token_time = absl::ZeroDuration();
    // Time since any running request produced output or ended; zero while none runs.
    absl::Duration no_progress_for = absl::ZeroDuration();
    bool leaving = false;
    // Requests that reached the agent lately failed at the server, and none has succeeded since.
    bool failing = false;
};

struct server_view {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string data_centre;
    distance_class distance = distance_class::same_data_centre;
    server_load load;
    // Requests that this entry sent minus those it saw end since the report.
    std::int64_t change_since_report = 0;
    // Requests of this entry that have not ended: all that the plain baselines know.
    std::int64_t own_outstanding = 0;
    absl::Duration report_age = absl::ZeroDuration();
    // Leading prefix blocks of the request in hand that the server is believed to cache.
    std::uint32_t cached_blocks = 0;
    bool leaving = false;
};

struct request_profile {
    std::string service;
    catalogue::priority_class priority = catalogue::priority_class::interactive;
    std::uint32_t prompt_tokens = 0; // zero for plain services
    std::uint32_t expected_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks; // see prefix_index.h
    std::uint32_t tokens_per_block = 0;
    absl::Duration remaining_time = absl::InfiniteDuration();
    // Agent ids that must not be chosen, such as those that have already failed this request.
    std::vector<std::string> excluded_agents;
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_SERVER_VIEW_H_
