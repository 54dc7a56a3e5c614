// Plays a group of 63 ranks in lock-step that six entries fill from reports of 200 ms age, and
// counts what callers get, with and without the order by urgency and the count of what other
// entries begin. For tests.

#ifndef SARDINESTREAM_BACKENDS_PLAYED_RANK_GROUP_H_
#define SARDINESTREAM_BACKENDS_PLAYED_RANK_GROUP_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <list>
#include <ostream>
#include <random>
#include <utility>
#include <vector>

#include "sardinestream/backends/choose_server.h"
#include "sardinestream/backends/drain_rate.h"
#include "sardinestream/backends/queue_order.h"

namespace sardinestream::played {
using std::chrono::milliseconds;

inline constexpr int kinds = 3;
inline constexpr int ranks = 63;
inline constexpr int entries = 6;
inline constexpr int slots = 10;
inline constexpr int steps = 6;
inline constexpr double tokens_per_ms = 61.2;
inline constexpr int tokens_per_pass = 512;
inline constexpr int tick_ms = 10;
inline constexpr int report_age_ms = 200;
inline constexpr int pause_target_ms = 120;

struct kind_properties {
    double per_s = 0;
    int priority = 0;
    int aim_ms = 0;
    double prompt_tokens = 0;
    int max_wait_ms = 0;
};

inline constexpr std::array<kind_properties, kinds> usual = {
    {{80.2, 0, 400, 714, 1600}, {35.2, 1, 400, 827, 1600}, {105, 2, 1000, 1000, 3600}}};

// What callers of one kind got.
struct outcome {
    int asked = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int longest_wait_ms = 0;

    // Of those whose outcome is known at the end of the day.
    [[nodiscard]] double in_time_share() const
    {
        const int ended = this->in_time + this->late + this->refused;
        return ended == 0 ? 1 : static_cast<double>(this->in_time) / ended;
    }
};

struct played_day {
    // Factor of the usual rate of each kind at a time.
    std::function<double(int kind, int at_ms)> factor = [](int, int) { return 1.0; };
    // Factor of the time of a pass, such as that of an uneven map or a slow rank.
    std::function<double(int at_ms)> slowness = [](int) { return 1.05; };
    std::function<bool(int at_ms)> reports_arrive = [](int) { return true; };
    // Share of the callers that leave after a second without an event.
    double leaving_share = 0;
    // Refused callers come back at once instead of after the time that they are told.
    bool come_back_at_once = false;
    int length_ms = 24000;
};

struct stream {
    int kind = 0;
    int asked_ms = 0;
    int retries = 0;
    int leaves_ms = 0;
    double prompt_left = 0;
    int events_left = 0;
    int first_event_ms = -1;
    int last_event_ms = 0;
    int longest_pause_ms = 0;
    int entry = 0;
    queue_entry order;
};

inline service_policy make_policy()
{
    service_policy policy;
    policy.pause_target = milliseconds(pause_target_ms);
    policy.has_urgent_streams = true;
    policy.stream_priorities = {0, 1, 2};
    policy.engine.slots = slots;
    policy.engine.steps_per_pass = steps;
    policy.engine.step_ms = 5.85;
    policy.engine.step_ms_per_request = 0.426;
    return policy;
}

class played_group {
public:
    played_group(played_day played, bool with_feature, unsigned seed = 1)
        : day(std::move(played)), enabled(with_feature), random(seed)
    {
    }

    const std::array<outcome, kinds>& play()
    {
        for (this->now_ms = 0; this->now_ms < this->day.length_ms; this->now_ms += tick_ms) {
            this->arrive();
            this->report();
            this->serve();
            if (this->now_ms >= this->pass_end_ms) {
                this->end_pass();
                this->begin_pass();
            }
        }
        return this->result;
    }

    // The outcomes of requests that came in each second.
    [[nodiscard]] outcome in_second(int second) const
    {
        const auto at = static_cast<std::size_t>(second);
        return at < this->by_second.size() ? this->by_second[at] : outcome();
    }

private:
    struct rank {
        std::vector<stream> writing;
        std::vector<stream> waiting;
    };
    struct entry {
        std::array<int, ranks> known{};
        std::array<int, ranks> begun{};
        std::array<int, ranks> ended{};
        std::list<stream> queue;
        drain_rate completions;
        std::array<drain_rate, kinds> placements;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    [[nodiscard]] steady_time now() const
    {
        return steady_time() + std::chrono::hours(1) + milliseconds(this->now_ms);
    }
    [[nodiscard]] const service_policy* active_policy() const
    {
        return this->enabled ? &this->policy : nullptr;
    }

    void arrive()
    {
        for (int kind = 0; kind < kinds; ++kind) {
            const double mean = usual[static_cast<std::size_t>(kind)].per_s *
                                this->day.factor(kind, this->now_ms) * tick_ms / 1000;
            const int number = std::poisson_distribution<int>(mean)(this->random);
            for (int i = 0; i < number; ++i) {
                ++this->result[static_cast<std::size_t>(kind)].asked;
                ++this->second(this->now_ms).asked;
                this->ask(kind, this->now_ms, 0);
            }
        }
        const std::vector<stream> all = std::exchange(this->returning, {});
        for (const stream& one : all) {
            if (one.leaves_ms > this->now_ms) {
                this->returning.push_back(one);
                continue;
            }
            this->ask(one.kind, one.asked_ms, 1);
        }
    }

    void ask(int kind, int asked_ms, int retries)
    {
        const kind_properties& own = usual[static_cast<std::size_t>(kind)];
        stream asked;
        asked.kind = kind;
        asked.asked_ms = asked_ms;
        asked.retries = retries;
        asked.entry = static_cast<int>(this->uniform() * entries);
        asked.prompt_left = std::min(
            2850.0, std::gamma_distribution<double>(1.3, own.prompt_tokens / 1.3)(this->random));
        asked.events_left = 1 + std::min(57, static_cast<int>(std::gamma_distribution<double>(
                                                 2, 23.2 / 2)(this->random)));
        const bool leaves = this->uniform() < this->day.leaving_share;
        asked.leaves_ms = this->now_ms + (leaves ? 1000 : own.max_wait_ms);
        asked.order = {false, own.priority, this->now(), milliseconds(own.max_wait_ms),
                       this->now() + milliseconds(own.aim_ms)};
        entry& at = this->entry_states[static_cast<std::size_t>(asked.entry)];
        at.queue.push_back(asked);
        this->serve_entry(at);
        this->refuse_last(at);
    }

    // Refuses the request that came last if it waits and cannot be served in time.
    void refuse_last(entry& at)
    {
        if (at.queue.size() <= 4 || at.queue.back().asked_ms != this->now_ms ||
            !at.completions.is_known(this->now())) {
            return;
        }
        const stream& last = at.queue.back();
        const urgency own = urgency_of(last.order, this->active_policy(), this->now());
        int ahead = 1;
        for (const stream& other : at.queue) {
            const bool before =
                &other != &last &&
                goes_before(urgency_of(other.order, this->active_policy(), this->now()), own);
            ahead += before ? 1 : 0;
        }
        constexpr milliseconds longest{4000};
        double left_per_s = at.completions.per_second(this->now());
        if (this->enabled) {
            for (int kind = 0; kind < last.kind; ++kind) {
                left_per_s -= at.placements[static_cast<std::size_t>(kind)].per_second(this->now());
            }
            left_per_s = std::max(
                left_per_s,
                at.placements[static_cast<std::size_t>(last.kind)].per_second(this->now()));
        }
        const milliseconds wait = wait_at_rate(ahead, left_per_s, longest);
        if (wait > last.order.max_wait) {
            const stream refused = last;
            at.queue.pop_back();
            this->refuse(refused, static_cast<int>(wait.count() * (0.5 + this->uniform() / 2)));
        }
    }

    void refuse(stream one, int retry_ms)
    {
        if (one.retries > 0) {
            ++this->result[static_cast<std::size_t>(one.kind)].refused;
            ++this->second(one.asked_ms).refused;
            return;
        }
        one.leaves_ms = this->now_ms + (this->day.come_back_at_once ? tick_ms : retry_ms);
        this->returning.push_back(one);
    }

    void report()
    {
        if (!this->day.reports_arrive(this->now_ms)) {
            return;
        }
        for (std::size_t i = 0; i < ranks; ++i) {
            if ((this->now_ms + static_cast<int>(i) * tick_ms) % report_age_ms != 0) {
                continue;
            }
            const auto fresh =
                static_cast<int>(this->group[i].writing.size() + this->group[i].waiting.size());
            // Entries learn what was so a report earlier.
            for (entry& at : this->entry_states) {
                at.known[i] = this->older[i];
                at.begun[i] = 0;
                at.ended[i] = 0;
            }
            this->older[i] = fresh;
        }
    }

    void serve()
    {
        for (entry& at : this->entry_states) {
            const auto gone = [&](const stream& one) {
                const bool leaves = this->now_ms >= one.leaves_ms;
                if (leaves) {
                    ++this->result[static_cast<std::size_t>(one.kind)].refused;
                    ++this->second(one.asked_ms).refused;
                }
                return leaves;
            };
            at.queue.remove_if(gone);
            this->serve_entry(at);
        }
    }

    void serve_entry(entry& at)
    {
        while (!at.queue.empty()) {
            auto next = at.queue.begin();
            urgency best = urgency_of(next->order, this->active_policy(), this->now());
            for (auto it = std::next(next); it != at.queue.end(); ++it) {
                const urgency own = urgency_of(it->order, this->active_policy(), this->now());
                if (!goes_before(best, own)) {
                    next = it;
                    best = own;
                }
            }
            std::vector<server_load> loads(ranks);
            for (std::size_t i = 0; i < ranks; ++i) {
                loads[i].occupancy = at.known[i] + at.begun[i] - at.ended[i];
                loads[i].capacity = slots;
                if (this->enabled) {
                    // As in `server_state`.
                    const double free = std::max(0.0, slots - loads[i].occupancy);
                    loads[i].occupancy += std::min(at.begun[i] * (entries - 1.0), free * 0.7);
                }
            }
            std::array<double, server_sample_size> draws{};
            for (double& draw : draws) {
                draw = this->uniform();
            }
            const std::optional<std::size_t> chosen = choose_from_sample(loads, draws);
            if (!chosen.has_value()) {
                return;
            }
            ++at.begun[*chosen];
            at.placements[static_cast<std::size_t>(next->kind)].add(this->now());
            this->group[*chosen].waiting.push_back(*next);
            at.queue.erase(next);
        }
    }

    void begin_pass()
    {
        double longest_ms = 0;
        for (rank& one : this->group) {
            if (this->enabled) {
                std::stable_sort(one.waiting.begin(), one.waiting.end(),
                                 [](const stream& first, const stream& second) {
                                     return first.order.priority < second.order.priority;
                                 });
            }
            while (!one.waiting.empty() && one.writing.size() < slots) {
                one.writing.push_back(one.waiting.front());
                one.waiting.erase(one.waiting.begin());
            }
            int writers = 0;
            double room = tokens_per_pass;
            double read = 0;
            for (stream& running : one.writing) {
                writers += running.prompt_left <= 0 ? 1 : 0;
                const double part = std::min(room, std::max(0.0, running.prompt_left));
                running.prompt_left -= part;
                room -= part;
                read += part;
            }
            longest_ms =
                std::max(longest_ms, steps * (5.85 + 0.426 * writers) + read / tokens_per_ms);
        }
        longest_ms *= this->day.slowness(this->now_ms);
        this->pass_end_ms = this->now_ms + static_cast<int>(longest_ms);
        this->last_pass_ms = static_cast<int>(longest_ms);
    }

    void end_pass()
    {
        for (std::size_t i = 0; i < ranks; ++i) {
            std::vector<stream> going_on;
            for (stream& running : this->group[i].writing) {
                if (running.prompt_left > 0) {
                    going_on.push_back(running);
                    continue;
                }
                if (running.first_event_ms < 0) {
                    running.first_event_ms = this->pass_end_ms;
                }
                else {
                    running.longest_pause_ms =
                        std::max(running.longest_pause_ms, this->last_pass_ms);
                }
                if (--running.events_left > 0) {
                    going_on.push_back(running);
                    continue;
                }
                this->finish(running, i);
            }
            this->group[i].writing = std::move(going_on);
        }
    }

    void finish(const stream& done, std::size_t rank)
    {
        entry& at = this->entry_states[static_cast<std::size_t>(done.entry)];
        at.completions.add(this->now());
        ++at.ended[rank];
        outcome& own = this->result[static_cast<std::size_t>(done.kind)];
        const int wait = done.first_event_ms - done.asked_ms;
        own.longest_wait_ms = std::max(own.longest_wait_ms, wait);
        const bool in_time = wait <= usual[static_cast<std::size_t>(done.kind)].aim_ms &&
                             done.longest_pause_ms <= pause_target_ms;
        (in_time ? own.in_time : own.late) += 1;
        (in_time ? this->second(done.asked_ms).in_time : this->second(done.asked_ms).late) += 1;
    }

    outcome& second(int at_ms)
    {
        const auto at = static_cast<std::size_t>(at_ms / 1000);
        if (this->by_second.size() <= at) {
            this->by_second.resize(at + 1);
        }
        return this->by_second[at];
    }

    const played_day day;
    const bool enabled;
    const service_policy policy = make_policy();
    std::mt19937 random;
    int now_ms = 0;
    int pass_end_ms = 0;
    int last_pass_ms = 0;
    std::array<rank, ranks> group;
    std::array<entry, entries> entry_states;
    std::array<int, ranks> older{};
    std::vector<stream> returning;
    std::array<outcome, kinds> result;
    std::vector<outcome> by_second;
};

using outcomes = std::array<outcome, kinds>;

inline std::ostream& operator<<(std::ostream& out, const outcomes& all)
{
    for (const outcome& one : all) {
        out << one.asked << " asked, " << one.in_time << " in time, " << one.late << " late, "
            << one.refused << " refused, longest wait " << one.longest_wait_ms << " ms\n";
    }
    return out;
}

inline constexpr int flood_begin_ms = 4000;
inline constexpr int flood_end_ms = 12000;

inline bool in_flood(int at_ms)
{
    return at_ms >= flood_begin_ms && at_ms < flood_end_ms;
}

inline played_day flood_of(int flooding_kind, double factor)
{
    played_day day;
    day.factor = [flooding_kind, factor](int kind, int at_ms) {
        return in_flood(at_ms) && (flooding_kind < 0 || kind == flooding_kind) ? factor : 1;
    };
    return day;
}

inline constexpr int urgent = 0;
inline constexpr int middle = 1;
inline constexpr int unhurried = 2;
inline constexpr int all_kinds = -1;

} // namespace sardinestream::played

#endif // SARDINESTREAM_BACKENDS_PLAYED_RANK_GROUP_H_
