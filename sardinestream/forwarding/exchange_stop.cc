// Implements the part of exchange that decides what a process that shuts down can still answer.

#include <algorithm>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/forwarding/exchange.h"

namespace sardinestream {
namespace {

// A sound service may stand still for so long, for example while a group forms anew.
constexpr std::chrono::milliseconds max_service_pause{4000};

} // namespace

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

std::chrono::milliseconds exchange::pause_allowance() const
{
    // Refused, a caller loses one more request at most; cut, its stream. Other answers have not
    // begun while their service pauses, and are never cut. What may have run can't be refused.
    const bool is_late = steady_clock::now() >= this->services.deregistration_time();
    const bool needs_allowance =
        this->matched_route.kind == request_kind::streaming && !this->possibly_executed;
    return is_late && needs_allowance ? max_service_pause : std::chrono::milliseconds(0);
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
    return now + this->estimate_answer(now).duration + this->pause_allowance() > ends_at;
}

bool exchange::service_is_unavailable() const
{
    const std::string& service = this->admitted.service;
    const std::map<std::string, service_availability> all = this->services.servers.availabilities();
    const auto found = all.find(service);
    return found == all.end() || found->second.condition != service_condition::serving ||
           this->services.servers.stands_still(service);
}

absl::Status exchange::check_shutdown() const
{
    const steady_time ends_at = this->services.shutdown_deadline();
    if (ends_at == steady_time::max() || this->response_started) {
        return absl::OkStatus();
    }
    const bool would_cut = this->shutdown_would_cut();
    // What a server may have run gets no truthful refusal any more.
    if (!would_cut && (this->possibly_executed || !this->service_is_unavailable())) {
        return absl::OkStatus();
    }
    const steady_time now = steady_clock::now();
    const answer_estimate estimate = this->estimate_answer(now);
    log_event("refused_by_stop", {{"request", this->admitted.request.id},
                                  {"service", this->admitted.service},
                                  {"cause", would_cut ? "time left" : "service not serving"},
                                  {"estimate_ms", estimate.duration.count()},
                                  {"samples", estimate.samples},
                                  {"pause_ms", this->pause_allowance().count()},
                                  {"left_ms", milliseconds_until(ends_at)}});
    return make_error(absl::StatusCode::kResourceExhausted, "place", this->admitted.service,
                      "process is shutting down");
}

} // namespace sardinestream
