// What one request is likely to cost its server: time of the engine to read its prompt and to write
// its answer, and the memory that its tokens hold. A value type.
//
// Used where the operator describes the speed of a service's engine; elsewhere no cost is known and
// requests are counted.

#ifndef SARDINESTREAM_BACKENDS_REQUEST_COST_H_
#define SARDINESTREAM_BACKENDS_REQUEST_COST_H_

#include "sardinestream/routes/desired_state.h"

namespace sardinestream {

struct request_cost {
    // Time to read the prompt, in milliseconds.
    double read_ms = 0;
    // What the answer adds to the steps of its server, in milliseconds; zero if the cost is not
    // known.
    double write_ms = 0;
    // Tokens of the prompt and the answer.
    double memory_tokens = 0;

    [[nodiscard]] bool is_known() const { return this->write_ms > 0; }

    friend bool operator==(const request_cost&, const request_cost&) = default;
};

// Returns the cost of a request; an unknown cost if the engine's speed is not declared. An unknown
// (zero) number of prompt tokens counts as the engine's usual one. Numbers are bounded by what an
// engine can hold, so that sums of them remain finite.
[[nodiscard]] request_cost cost_of(double prompt_tokens, double answer_tokens,
                                   const engine_model& engine);

// Returns the cost of a request of the engine's usual size.
[[nodiscard]] request_cost usual_cost(const engine_model& engine);

// Returns what one token of an answer adds to the steps of its server, in milliseconds.
[[nodiscard]] double write_ms_per_token(const engine_model& engine);

// Returns the tokens of an answer that one event of a stream holds.
[[nodiscard]] int tokens_per_event(const engine_model& engine);

// Returns whether the prompt alone exceeds the memory of every server, so that none can run the
// request.
[[nodiscard]] bool exceeds_memory(double prompt_tokens, const engine_model& engine);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_REQUEST_COST_H_
