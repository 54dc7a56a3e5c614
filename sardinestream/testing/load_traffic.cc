#include "sardinestream/testing/load_traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/testing/caller.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using random_source = std::mt19937_64;

constexpr int tail_bytes = 64;
constexpr int min_tokens = 4;
constexpr int max_tokens = 64;

double uniform(random_source& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

int pick_team(const std::vector<load_team>& teams, random_source& random)
{
    double total = 0;
    for (const load_team& team : teams) {
        total += team.share;
    }
    double left = uniform(random) * total;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        left -= teams[i].share;
        if (left < 0) {
            return static_cast<int>(i);
        }
    }
    return 0;
}

// Popularity of the prefixes falls with their rank; drift turns the ranks.
int pick_prefix(const traffic_options& options, absl::Duration at, random_source& random)
{
    const double rank = std::pow(static_cast<double>(options.prefixes), uniform(random)) - 1.0;
    const int turned =
        options.drift_every == absl::InfiniteDuration()
            ? 0
            : static_cast<int>(absl::FDivDuration(at, options.drift_every)) * options.prefixes / 3;
    return (static_cast<int>(rank) + turned) % options.prefixes;
}

std::string make_prompt(const traffic_options& options, int prefix, std::size_t number)
{
    std::string prompt;
    while (static_cast<int>(prompt.size()) < options.prefix_bytes) {
        absl::StrAppend(&prompt, "recipe ", prefix, " part ", prompt.size(), ";");
    }
    prompt.resize(static_cast<std::size_t>(options.prefix_bytes));
    std::string tail = absl::StrCat("question ", number, ".");
    tail.resize(tail_bytes, '.');
    return prompt + tail;
}

int draw_tokens(const traffic_options& options, random_source& random)
{
    const double drawn = -std::log(1.0 - uniform(random)) * (options.mean_tokens - min_tokens);
    return std::clamp(min_tokens + static_cast<int>(drawn), min_tokens, max_tokens);
}

bool in_burst(const traffic_options& options, absl::Duration at)
{
    return at % options.burst_every < options.burst_length;
}

// One request in the caller's eyes, over all its attempts.
class load_call {
public:
    load_call(const arrival& asked, const load_fleet& used, const traffic_options& chosen)
        : request(asked), fleet(used), options(chosen)
    {
    }

    void run()
    {
        this->started = absl::Now();
        for (int attempt = 0;; ++attempt) {
            ++this->attempts;
            const std::int64_t retry_after_ms = this->try_once();
            const absl::Duration left = this->options.patience - (absl::Now() - this->started);
            if (retry_after_ms == 0 || attempt >= this->options.caller_retries ||
                left < absl::Milliseconds(retry_after_ms)) {
                break;
            }
            absl::SleepFor(absl::Milliseconds(retry_after_ms));
        }
        this->total = absl::Now() - this->started;
    }

    void add_to(load_result& result) const
    {
        ++result.requests;
        result.caller_attempts += this->attempts;
        ++result.ends[this->end];
        const bool completion = this->request.kind == arrival_kind::completion;
        const bool answered = this->end == "answered";
        const bool in_time = answered && this->total <= this->options.patience;
        result.in_time += in_time ? 1 : 0;
        auto& [asked, good] = result.by_team[this->request.team];
        ++asked;
        good += in_time ? 1 : 0;
        if (!completion) {
            return;
        }
        ++result.completions;
        result.whole_completions += answered ? 1 : 0;
        if (this->first_token == absl::ZeroDuration()) {
            return;
        }
        result.first_token_ms.push_back(absl::ToDoubleMilliseconds(this->first_token));
        result.first_token_in_time += this->first_token <= this->options.first_token_limit ? 1 : 0;
        result.between_tokens_ms.insert(result.between_tokens_ms.end(), this->gaps_ms.begin(),
                                        this->gaps_ms.end());
    }

private:
    // Returns the time after which to come back, or zero where the answer is final.
    std::int64_t try_once()
    {
        const int entry = (this->request.entry + this->attempts - 1) % this->fleet.entries();
        const absl::Duration left = this->options.patience - (absl::Now() - this->started);
        const caller asking(this->fleet.entry_address(entry),
                            this->fleet.options().teams[this->request.team].key, left);
        return this->request.kind == arrival_kind::completion ? this->stream(asking)
                                                              : this->call(asking);
    }

    std::int64_t stream(const caller& asking)
    {
        this->gaps_ms.clear();
        absl::Time last;
        const stream_answer answer =
            asking.stream({.prompt = this->request.prompt,
                           .max_tokens = this->request.max_tokens,
                           .on_token = [&](int index) {
                               const absl::Time now = absl::Now();
                               if (index == 0) {
                                   this->first_token = now - this->started;
                               }
                               else {
                                   this->gaps_ms.push_back(absl::ToDoubleMilliseconds(now - last));
                               }
                               last = now;
                               return true;
                           }});
        this->end = answer.whole() ? "answered"
                    : answer.error.code.empty()
                        ? absl::StrCat("end_", static_cast<int>(answer.end), "_", answer.status)
                        : absl::StrCat(answer.error.code, "/", answer.error.outcome);
        return answer.whole() ? 0 : answer.error.retry_after_ms;
    }

    std::int64_t call(const caller& asking)
    {
        const bool dispatch = this->request.kind == arrival_kind::dispatch;
        const header_fields headers =
            dispatch ? header_fields{{"Idempotency-Key", this->request.key}} : header_fields{};
        const call_answer answer =
            asking.call(dispatch ? "POST" : "GET", "/services/orders/pallets", "{}", headers);
        this->end = answer.success() ? "answered" : answer.summary();
        return answer.success() ? 0 : answer.error.retry_after_ms;
    }

    const arrival& request;
    const load_fleet& fleet;
    const traffic_options& options;
    absl::Time started;
    absl::Duration total;
    absl::Duration first_token = absl::ZeroDuration();
    std::vector<double> gaps_ms;
    std::string end;
    int attempts = 0;
};

} // namespace

std::vector<arrival> draw_schedule(const traffic_options& options,
                                   const std::vector<load_team>& teams, int entries)
{
    random_source random(options.seed);
    const double burst_share = absl::FDivDuration(options.burst_length, options.burst_every);
    const double quiet = options.rate / (1.0 - burst_share + burst_share * options.burst_factor);
    std::vector<arrival> schedule;
    absl::Duration at = absl::ZeroDuration();
    while (true) {
        const double rate = in_burst(options, at) ? quiet * options.burst_factor : quiet;
        at += absl::Seconds(-std::log(1.0 - uniform(random)) / rate);
        if (at >= options.duration) {
            return schedule;
        }
        arrival next;
        next.at = at;
        next.team = pick_team(teams, random);
        next.entry = static_cast<int>(uniform(random) * entries);
        const double kind = uniform(random);
        const int prefix = pick_prefix(options, at, random);
        next.max_tokens = draw_tokens(options, random);
        if (kind < options.plain_share) {
            next.kind =
                kind < options.plain_share / 2 ? arrival_kind::dispatch : arrival_kind::stock_read;
            next.key = absl::StrCat("dispatch-", options.seed, "-", schedule.size());
        }
        else {
            next.prompt = make_prompt(options, prefix, schedule.size());
            if (options.crash_every > 0 && schedule.size() % options.crash_every == 0) {
                next.prompt += "crash-me";
            }
        }
        schedule.push_back(std::move(next));
    }
}

double load_result::share_in_time() const
{
    return this->requests == 0 ? 0.0 : static_cast<double>(this->in_time) / this->requests;
}

double quantile(std::vector<double> samples, double at)
{
    if (samples.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(at * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank),
                     samples.end());
    return samples[rank];
}

load_result run_schedule(const std::vector<arrival>& schedule, const load_fleet& fleet,
                         const traffic_options& options)
{
    load_result result;
    absl::Mutex mutex;
    thread_group callers;
    const absl::Time start = absl::Now();
    for (const arrival& next : schedule) {
        absl::SleepFor(start + next.at - absl::Now());
        const bool started = callers.spawn([&, &next = next] {
            load_call call(next, fleet, options);
            call.run();
            const absl::MutexLock lock(&mutex);
            call.add_to(result);
        });
        if (!started) {
            const absl::MutexLock lock(&mutex);
            ++result.requests;
            ++result.ends["driver_out_of_threads"];
        }
    }
    callers.wait_until_empty();
    return result;
}

} // namespace sardinestream::testing
