#include "sardinestream/backends/request_cost.h"

#include <algorithm>

namespace sardinestream {
namespace {

// Sizes of an engine that does not declare its usual ones.
constexpr double default_prompt_tokens = 1000;
constexpr double default_answer_tokens = 100;
// Upper limit of any number of tokens, also of an engine that does not declare its memory.
constexpr double max_tokens = 10e6;

double usual_or(double declared, double otherwise)
{
    return declared > 0 ? std::min(declared, max_tokens) : otherwise;
}

} // namespace

double write_ms_per_token(const engine_model& engine)
{
    if (engine.step_ms_per_request > 0) {
        return engine.step_ms_per_request;
    }
    // The request's share of a step of a full server.
    return engine.step_ms / std::max(1, engine.slots);
}

int tokens_per_event(const engine_model& engine)
{
    return std::max(1, engine.steps_per_pass);
}

bool exceeds_memory(double prompt_tokens, const engine_model& engine)
{
    return engine.has_speed() && engine.memory_tokens > 0 &&
           prompt_tokens > static_cast<double>(engine.memory_tokens);
}

request_cost cost_of(double prompt_tokens, double answer_tokens, const engine_model& engine)
{
    if (!engine.has_speed()) {
        return {};
    }
    const double largest = engine.memory_tokens > 0
                               ? std::min(static_cast<double>(engine.memory_tokens), max_tokens)
                               : max_tokens;
    const double prompt = std::min(
        largest, prompt_tokens > 0 ? prompt_tokens
                                   : usual_or(engine.usual_prompt_tokens, default_prompt_tokens));
    const double answer = std::min(
        largest, answer_tokens > 0 ? answer_tokens
                                   : usual_or(engine.usual_answer_tokens, default_answer_tokens));
    constexpr double ms_per_s = 1000;
    request_cost cost;
    cost.read_ms = prompt * ms_per_s / engine.read_tokens_per_s;
    if (engine.max_tokens_per_step > 0) {
        cost.read_ms += prompt / engine.max_tokens_per_step * engine.step_ms;
    }
    cost.write_ms = answer * write_ms_per_token(engine);
    cost.memory_tokens = std::min(largest, prompt + answer);
    return cost;
}

request_cost usual_cost(const engine_model& engine)
{
    return cost_of(0, 0, engine);
}

} // namespace sardinestream
