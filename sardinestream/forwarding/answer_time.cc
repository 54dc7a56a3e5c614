#include "sardinestream/forwarding/answer_time.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr milliseconds unknown_stream_duration{4500};
constexpr milliseconds unknown_plain_duration{2000};
// Share of the samples that the estimate covers, and the factor by which it is above them.
constexpr double covered_share = 0.99;
constexpr double margin = 1.25;
// A request that is larger than the samples by more than this factor is not estimated from them
// alone.
constexpr int max_size_ratio = 2;
// Part of a stream's duration that does not depend on its size, in tokens.
constexpr double tokens_of_overhead = 8;
// Running answers raise the estimate if at least one in this number is late, so that a single
// server that hangs does not.
constexpr std::size_t running_per_late = 8;
constexpr milliseconds_f max_estimate = std::chrono::hours(1);

// Returns the smallest sample that is not exceeded by `covered_share` of them; zero without any.
milliseconds_f high_quantile(std::vector<milliseconds_f>& samples)
{
    if (samples.empty()) {
        return milliseconds_f(0);
    }
    const auto covered = std::ceil(covered_share * static_cast<double>(samples.size()));
    const auto nth = std::next(samples.begin(), static_cast<std::ptrdiff_t>(covered) - 1);
    std::nth_element(samples.begin(), nth, samples.end());
    return *nth;
}

// Returns by how much longer the part of a stream after its first event is expected to last at the
// size of the request than at that of the sample.
double size_factor(int requested_tokens, int sampled_tokens)
{
    if (requested_tokens <= 0 || sampled_tokens <= 0) {
        return 1;
    }
    return (requested_tokens + tokens_of_overhead) / (sampled_tokens + tokens_of_overhead);
}

bool exceeds_samples(int requested_tokens, int largest_sampled)
{
    return requested_tokens / max_size_ratio > largest_sampled;
}

} // namespace

answer_times::measurement::measurement(answer_times& times, const answer_shape& shape,
                                       steady_time sent)
    : owner(times), measured(times.begin(shape, sent))
{
}

answer_times::measurement::~measurement()
{
    this->end(steady_clock::now(), false);
}

void answer_times::measurement::note_first_event(steady_time now)
{
    if (this->begun || this->ended) {
        return;
    }
    this->begun = true;
    const absl::MutexLock lock(&this->owner.mutex);
    this->measured.position->first_event = now;
}

void answer_times::measurement::end(steady_time now, bool whole)
{
    if (this->ended) {
        return;
    }
    this->ended = true;
    const absl::MutexLock lock(&this->owner.mutex);
    answer ended_answer = *this->measured.position;
    ended_answer.ended = now;
    ended_answer.whole = whole;
    series& siblings = *this->measured.siblings;
    siblings.running.erase(this->measured.position);
    siblings.latest.push_back(ended_answer);
    if (siblings.latest.size() > max_samples) {
        siblings.latest.pop_front();
    }
}

answer_times::running_answer answer_times::begin(const answer_shape& shape, steady_time sent)
{
    const absl::MutexLock lock(&this->mutex);
    const series_key key(shape.service, shape.kind);
    auto found = this->all.find(key);
    if (found == this->all.end()) {
        this->drop_unused(sent);
        found = this->all.emplace(key, series()).first;
    }
    series& siblings = found->second;
    answer begun;
    begun.sent = sent;
    begun.prompt_tokens = shape.prompt_tokens;
    begun.max_response_tokens = shape.max_response_tokens;
    return {&siblings, siblings.running.insert(siblings.running.end(), begun)};
}

void answer_times::drop_unused(steady_time now)
{
    std::erase_if(this->all, [now](const auto& named) {
        const series& each = named.second;
        return each.running.empty() &&
               (each.latest.empty() || now - each.latest.back().ended > max_sample_age);
    });
}

milliseconds answer_times::unknown_duration(request_kind kind)
{
    return kind == request_kind::streaming ? unknown_stream_duration : unknown_plain_duration;
}

milliseconds_f answer_times::scaled_duration(const answer& sample, steady_time end,
                                             const answer_shape& shape)
{
    const steady_time first = sample.first_event.value_or(end);
    return milliseconds_f(first - sample.sent) +
           milliseconds_f(end - first) *
               size_factor(shape.max_response_tokens, sample.max_response_tokens);
}

answer_times::usual_times answer_times::usual(const series& siblings, const answer_shape& shape,
                                              steady_time now)
{
    std::vector<milliseconds_f> durations;
    std::vector<milliseconds_f> begins;
    durations.reserve(siblings.latest.size());
    begins.reserve(siblings.latest.size());
    int largest_prompt = 0;
    int largest_response = 0;
    for (const answer& sample : siblings.latest) {
        if (!sample.whole || now - sample.ended > max_sample_age) {
            continue;
        }
        durations.push_back(scaled_duration(sample, sample.ended, shape));
        begins.emplace_back(sample.first_event.value_or(sample.ended) - sample.sent);
        largest_prompt = std::max(largest_prompt, sample.prompt_tokens);
        largest_response = std::max(largest_response, sample.max_response_tokens);
    }
    usual_times found;
    found.samples = durations.size();
    found.duration = margin * high_quantile(durations);
    found.first_event = margin * high_quantile(begins);
    found.is_known = found.samples >= min_samples &&
                     !exceeds_samples(shape.prompt_tokens, largest_prompt) &&
                     !exceeds_samples(shape.max_response_tokens, largest_response);
    return found;
}

milliseconds_f answer_times::duration_with_late(const series& siblings, const answer_shape& shape,
                                                const usual_times& times, steady_time now)
{
    const milliseconds_f rest =
        std::max(milliseconds_f(0), milliseconds_f(times.duration - times.first_event));
    milliseconds_f longest = times.duration;
    std::size_t late = 0;
    const auto add = [&](const answer& unfinished, steady_time end) {
        milliseconds_f least = scaled_duration(unfinished, end, shape);
        if (!unfinished.first_event.has_value()) {
            least += rest;
        }
        if (least <= times.duration) {
            return false;
        }
        ++late;
        longest = std::max<milliseconds_f>(longest, margin * least);
        return true;
    };
    std::size_t unfinished = siblings.running.size();
    for (const answer& running : siblings.running) {
        (void)add(running, now);
    }
    for (const answer& broken_off : siblings.latest) {
        const bool counts = !broken_off.whole && now - broken_off.ended <= max_sample_age;
        unfinished += counts && add(broken_off, broken_off.ended) ? 1 : 0;
    }
    return late * running_per_late >= unfinished ? longest : times.duration;
}

answer_estimate answer_times::estimate(const answer_shape& shape, steady_time now) const
{
    const milliseconds unknown = unknown_duration(shape.kind);
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->all.find(series_key(shape.service, shape.kind));
    if (found == this->all.end()) {
        return {unknown, 0};
    }
    usual_times times = usual(found->second, shape, now);
    const milliseconds least = times.is_known ? min_estimate : unknown;
    times.duration = std::max<milliseconds_f>(times.duration, least);
    const milliseconds_f duration = duration_with_late(found->second, shape, times, now);
    return {std::chrono::duration_cast<milliseconds>(std::min(duration, max_estimate)),
            times.samples};
}

} // namespace sardinestream
