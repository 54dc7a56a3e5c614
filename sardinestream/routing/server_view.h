// Inputs of a routing decision: what an entry knows about each backend server and about the
// request.
//
// Plain values without behaviour. `load_tracker` fills a `server_view`, the request path fills a
// `request_profile`, and a `routing_policy` reads both.

#ifndef SARDINESTREAM_ROUTING_SERVER_VIEW_H_
#define SARDINESTREAM_ROUTING_SERVER_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sardinestream/catalogue/snapshot.h"

#include "absl/time/time.h"

namespace sardinestream::routing {

// Network distance of an agent from the entry. Lower values are nearer.
enum class distance_class : std::uint8_t {
    same_data_centre = 0,
    same_region = 1,
    other_region = 2,
};

// Returns the network delay in one direction that is assumed for the class.
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

// Load report of a backend server, as measured by its agent. Unless said otherwise, times are
// moving averages, and zero if there is no recent sample.
struct server_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 1;    // at least 1
    std::uint32_t suspects = 0; // requests that run or wait and are suspected of crashing servers
    absl::Duration service_time = absl::ZeroDuration();
    absl::Duration first_token_time = absl::ZeroDuration();
    absl::Duration token_time = absl::ZeroDuration();
    absl::Duration prefill_token_time = absl::ZeroDuration();
    // Time since a running request last produced output or ended; zero while none runs. Not an
    // average.
    absl::Duration no_progress_for = absl::ZeroDuration();
    bool leaving = false;
    // Requests failed recently because the agent could not reach the server or lost its connection,
    // and none has succeeded since.
    bool failing = false;
};

struct server_view {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string data_centre;
    distance_class distance = distance_class::same_data_centre;
    server_load load;
    // Requests that this entry has sent since the report, minus those that ended since. May be
    // negative.
    std::int64_t change_since_report = 0;
    // Requests of this entry that have not ended. The only load that the baseline policies use.
    std::int64_t own_outstanding = 0;
    absl::Duration report_age = absl::ZeroDuration();
    // Leading prefix blocks of the request that the server is expected to have cached.
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
    // Ids of agents that must not be chosen, such as those where this request has already failed.
    std::vector<std::string> excluded_agents;
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_SERVER_VIEW_H_
