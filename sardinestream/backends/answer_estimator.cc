#include "sardinestream/backends/answer_estimator.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

// Bounds of any size, in tokens.
constexpr double min_tokens = 1;
constexpr double max_tokens = 1e6;
constexpr double default_tokens = 100;
// Answers over which the means move.
constexpr double window = 50;
// Weight of what is assumed before, in answers of the team.
constexpr double prior_samples = 5;
// Variance of logarithms that is assumed before answers were seen, of sizes and of ratios.
constexpr double prior_variance = 0.8;
// Two answers of equal size don't show that all are.
constexpr double min_variance = 0.01;
constexpr double max_variance = 4;

double bounded(double tokens)
{
    return std::clamp(tokens, min_tokens, max_tokens);
}

// Names of teams and routes have no line breaks.
std::string route_name(const answer_origin& origin)
{
    return absl::StrCat(origin.service, "\n", origin.route);
}

std::string team_name(const answer_origin& origin)
{
    return absl::StrCat(origin.service, "\n", origin.route, "\n", origin.team);
}

double mix(double assumed, double seen, double samples)
{
    return (assumed * prior_samples + seen * samples) / (prior_samples + samples);
}

} // namespace

void answer_estimator::log_mean::add(double value)
{
    this->samples = std::min(this->samples + 1, window);
    const double weight = 1 / this->samples;
    const double off = value - this->mean;
    this->mean += weight * off;
    this->variance = (1 - weight) * (this->variance + weight * off * off);
}

const answer_estimator::series* answer_estimator::find(const std::string& name) const
{
    const auto found = this->by_name.find(name);
    return found == this->by_name.end() ? nullptr : &found->second->second;
}

answer_estimator::series& answer_estimator::use(const std::string& name)
{
    const auto found = this->by_name.find(name);
    if (found != this->by_name.end()) {
        this->all.splice(this->all.begin(), this->all, found->second);
        return found->second->second;
    }
    if (this->all.size() >= max_series) {
        this->by_name.erase(this->all.back().first);
        this->all.pop_back();
    }
    this->all.emplace_front(name, series{});
    this->by_name[name] = this->all.begin();
    return this->all.front().second;
}

answer_estimator::log_mean answer_estimator::prior_size(const answer_origin& origin,
                                                        double usual_tokens) const
{
    log_mean expected;
    // The logarithm's mean is below the mean's logarithm.
    expected.mean =
        std::log(bounded(usual_tokens > 0 ? usual_tokens : default_tokens)) - prior_variance / 2;
    expected.variance = prior_variance;
    for (const std::string& name : {route_name(origin), team_name(origin)}) {
        const series* known = this->find(name);
        if (known == nullptr) {
            continue;
        }
        expected.mean = mix(expected.mean, known->size.mean, known->size.samples);
        expected.variance = mix(expected.variance, known->size.variance, known->size.samples);
    }
    return expected;
}

double answer_estimator::expect(const answer_origin& origin, const stated_size& stated,
                                double usual_tokens) const
{
    const absl::MutexLock lock(&this->mutex);
    const log_mean prior = this->prior_size(origin, usual_tokens);
    const series* known = this->find(team_name(origin));
    double variance = std::clamp(prior.variance, min_variance, max_variance);
    double precision = 1 / variance;
    double sum = prior.mean * precision;
    const auto add_stated = [&](double tokens, const log_mean& ratio) {
        if (!(tokens > 0) || ratio.samples == 0) {
            return;
        }
        const double spread = std::clamp(mix(prior_variance, ratio.variance, ratio.samples),
                                         min_variance, max_variance);
        sum += (std::log(bounded(tokens)) + ratio.mean) / spread;
        precision += 1 / spread;
    };
    if (known != nullptr) {
        add_stated(stated.max_tokens, known->max_ratio);
        add_stated(stated.hint_tokens, known->hint_ratio);
    }
    variance = 1 / precision;
    return bounded(std::exp(sum / precision + variance / 2));
}

void answer_estimator::observe(const answer_origin& origin, const stated_size& stated,
                               double seen_tokens)
{
    if (!(seen_tokens > 0)) {
        return;
    }
    const absl::MutexLock lock(&this->mutex);
    const double seen = std::log(bounded(seen_tokens));
    this->use(route_name(origin)).size.add(seen);
    series& own = this->use(team_name(origin));
    own.size.add(seen);
    if (stated.max_tokens > 0) {
        own.max_ratio.add(seen - std::log(bounded(stated.max_tokens)));
    }
    if (stated.hint_tokens > 0) {
        own.hint_ratio.add(seen - std::log(bounded(stated.hint_tokens)));
    }
}

std::size_t answer_estimator::size() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->all.size();
}

} // namespace sardinestream
