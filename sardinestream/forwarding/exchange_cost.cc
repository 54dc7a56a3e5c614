// Implements the part of exchange that says what a request is likely to cost its server, and
// records what it did cost.

#include <algorithm>
#include <cmath>

#include "sardinestream/backends/refusal.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/forwarding/exchange.h"

namespace sardinestream {

const engine_model* exchange::timed_engine() const
{
    const auto declared = this->admitted.state->services.find(this->admitted.service);
    const bool is_timed = declared != this->admitted.state->services.end() &&
                          declared->second.engine.has_speed() &&
                          this->matched_route.kind == request_kind::streaming;
    return is_timed ? &declared->second.engine : nullptr;
}

answer_origin exchange::origin() const
{
    return {this->admitted.service, this->matched_route.name, this->admitted.team};
}

stated_size exchange::stated() const
{
    return {static_cast<double>(this->admitted.request.max_response_tokens),
            this->admitted.request.expected_response_tokens};
}

double exchange::delivered_tokens() const
{
    const engine_model* const engine = this->timed_engine();
    return engine == nullptr
               ? 0
               : static_cast<double>(this->events.delivered_events()) * tokens_per_event(*engine);
}

request_cost exchange::cost_from(double delivered) const
{
    const engine_model* const engine = this->timed_engine();
    if (engine == nullptr) {
        return {};
    }
    // The next server reads what was delivered, and writes one event at least.
    const double left =
        std::max<double>(this->expected_tokens - delivered, tokens_per_event(*engine));
    return cost_of(this->admitted.request.prompt_tokens + delivered, left, *engine);
}

double exchange::expected_cost_ms() const
{
    const request_cost cost = this->cost_from(0);
    return cost.read_ms + cost.write_ms;
}

double exchange::seen_cost_ms() const
{
    const double delivered = this->delivered_tokens();
    if (delivered <= 0) {
        return 0;
    }
    const request_cost cost =
        cost_of(this->admitted.request.prompt_tokens, delivered, *this->timed_engine());
    return cost.read_ms + cost.write_ms;
}

absl::Status exchange::check_size() const
{
    const engine_model* const engine = this->timed_engine();
    if (this->response_started || engine == nullptr ||
        !exceeds_memory(this->admitted.request.prompt_tokens, *engine)) {
        return absl::OkStatus();
    }
    // A repeat would fare no better before the servers are others.
    constexpr std::chrono::milliseconds retry_after{4000};
    return refuse(absl::StatusCode::kResourceExhausted, this->admitted.service,
                  "larger than any server's memory", retry_after);
}

void exchange::note_progress(attempt_record& record)
{
    const engine_model* const engine = this->timed_engine();
    if (engine != nullptr) {
        const int events = this->events.delivered_events() - record.events_before;
        this->services.servers.note_progress(record.placed, events * tokens_per_event(*engine));
    }
}

void exchange::note_whole_answer()
{
    const engine_model* const engine = this->timed_engine();
    // The caller of a resumed stream has got a part of it from elsewhere.
    if (engine == nullptr || !this->admitted.request.resume_after.empty()) {
        return;
    }
    const double seen = this->delivered_tokens();
    this->services.answer_sizes.observe(this->origin(), this->stated(), seen);
    constexpr double ms_per_s = 1000;
    observe_seconds("sardine_cost_error_seconds", {{"service", this->admitted.service}},
                    std::abs(seen - this->expected_tokens) * write_ms_per_token(*engine) /
                        ms_per_s);
}

} // namespace sardinestream
