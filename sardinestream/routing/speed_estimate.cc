#include "sardinestream/routing/speed_estimate.h"

namespace sardinestream::routing {
namespace {

// Weight of the newest sample in the moving averages.
constexpr double sample_weight = 0.2;
// Samples with fewer uncached tokens are too short to measure the prefill speed.
constexpr std::uint32_t min_prefill_tokens = 64;
constexpr absl::Duration max_sample_age = absl::Seconds(10);

void update_average(absl::Duration& average, absl::Duration sample)
{
    if (average == absl::ZeroDuration()) {
        average = sample;
        return;
    }
    average += (sample - average) * sample_weight;
}

} // namespace

void speed_estimate::add(const completion_sample& sample, absl::Time now)
{
    if (now - this->last_sample > max_sample_age) {
        this->averages = {};
    }
    this->last_sample = now;
    update_average(this->averages.service_time, sample.service_time);
    if (sample.first_token_time <= absl::ZeroDuration()) {
        return;
    }
    update_average(this->averages.first_token_time, sample.first_token_time);
    if (sample.generated_tokens > 1) {
        update_average(this->averages.token_time, (sample.service_time - sample.first_token_time) /
                                                      (sample.generated_tokens - 1));
    }
    // The time to the first token includes one decode iteration, which would dominate a short
    // prefill.
    const absl::Duration prefill = sample.first_token_time - this->averages.token_time;
    if (sample.uncached_tokens >= min_prefill_tokens && prefill > absl::ZeroDuration()) {
        update_average(this->averages.prefill_token_time, prefill / sample.uncached_tokens);
    }
}

measured_speed speed_estimate::current(absl::Time now) const
{
    if (now - this->last_sample > max_sample_age) {
        return {};
    }
    return this->averages;
}

} // namespace sardinestream::routing
