// Implements the part of exchange that decides what a process that shuts down can still answer.

#include <algorithm>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/forwarding/exchange.h"

namespace sardinestream {

answer_shape exchange::shape() const
{
    return {this->admitted.service, this->matched_route.kind, this->admitted.request.prompt_tokens,
            this->admitted.request.max_response_tokens};
}

answer_estimate exchange::estimate_answer(steady_time now) const
{
    answer_estimate estimate = this->services.answer_durations.estimate(this->shape(), now);
    // Its operator expects an answer to take so long.
    estimate.duration = std::max(estimate.duration, this->matched_route.latency_target);
    return estimate;
}

bool exchange::shutdown_would_cut() const
{
    const steady_time ends_at = this->services.shutdown_deadline();
    if (this->response_started || this->deadline <= ends_at) {
        return false;
    }
    const bool runs_once =
        this->matched_route.kind != request_kind::streaming && !this->matched_route.may_run_again();
    if (runs_once) {
        // Is passed on only if it can take all of its time.
        return true;
    }
    const steady_time now = steady_clock::now();
    return now + this->estimate_answer(now).duration > ends_at;
}

absl::Status exchange::check_shutdown() const
{
    if (!this->shutdown_would_cut()) {
        return absl::OkStatus();
    }
    const answer_estimate estimate = this->estimate_answer(steady_clock::now());
    log_event("refused_by_stop",
              {{"request", this->admitted.request.id},
               {"service", this->admitted.service},
               {"cause", "time left"},
               {"estimate_ms", estimate.duration.count()},
               {"samples", estimate.samples},
               {"left_ms", milliseconds_until(this->services.shutdown_deadline())}});
    return make_error(absl::StatusCode::kResourceExhausted, "place", this->admitted.service,
                      "process is shutting down");
}

} // namespace sardinestream
