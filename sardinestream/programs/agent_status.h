// Describes the state of an agent for its metrics and status pages.

#ifndef SARDINESTREAM_PROGRAMS_AGENT_STATUS_H_
#define SARDINESTREAM_PROGRAMS_AGENT_STATUS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "sardinestream/programs/operator_pages.h"

namespace sardinestream {

// A snapshot of an agent, taken when it last polled the engine.
struct agent_status {
    bool engine_answers = false;
    std::string group;
    int rank = 0;
    std::int64_t epoch = 0;
    std::int64_t step = 0;
    double pass_ms = 0;
    int running = 0;
    int waiting = 0;
    std::int64_t map_version = 0;
    std::int64_t prepared_version = 0;
    std::uint64_t term = 0;
    int coordinator_rank = -1;
    bool coordinating = false;
    // Number of entries heard from recently.
    int entries = 0;
    std::chrono::milliseconds age{0};
};

// Returns the metrics and status pages for `status`.
[[nodiscard]] operator_pages make_pages(const agent_status& status);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_AGENT_STATUS_H_
