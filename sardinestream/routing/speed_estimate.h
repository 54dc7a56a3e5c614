// Estimates the speed of a backend server from the completion times of its requests.
//
// The agent adds one sample for each request; the averages go into `server_load`:
//
//     speed.add({.service_time = ..., .first_token_time = ..., .uncached_tokens = 300,
//                .generated_tokens = 40}, now);
//     const measured_speed current = speed.current(now);
//
// An estimate without recent samples is discarded, so that a server that was avoided because it was
// slow is tried again.

#ifndef SARDINESTREAM_ROUTING_SPEED_ESTIMATE_H_
#define SARDINESTREAM_ROUTING_SPEED_ESTIMATE_H_

#include <cstdint>

#include "absl/time/time.h"

namespace sardinestream::routing {

struct completion_sample {
    absl::Duration service_time = absl::ZeroDuration();
    // From the start of the request at the server to the first token; zero for plain services.
    absl::Duration first_token_time = absl::ZeroDuration();
    std::uint32_t uncached_tokens = 0; // prompt tokens that were not in the engine's cache
    std::uint32_t generated_tokens = 0;
};

// Moving averages; zero if there is no recent sample.
struct measured_speed {
    absl::Duration service_time = absl::ZeroDuration();
    absl::Duration first_token_time = absl::ZeroDuration();
    absl::Duration token_time = absl::ZeroDuration();
    absl::Duration prefill_token_time = absl::ZeroDuration();
};

// Keeps moving averages of the times of completed requests. Not thread-safe.
class speed_estimate {
public:
    void add(const completion_sample& sample, absl::Time now);
    [[nodiscard]] measured_speed current(absl::Time now) const;

private:
    measured_speed averages;
    absl::Time last_sample = absl::InfinitePast();
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_SPEED_ESTIMATE_H_
