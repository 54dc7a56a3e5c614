// Simulates groups of ranks that work in lock-step, fed by entries that know their own requests and
// reports that are out of date, and compares placement by cost with placement by count.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/answer_estimator.h"
#include "sardinestream/backends/choose_server.h"
#include "sardinestream/backends/dispatcher.h"
#include "sardinestream/backends/request_cost.h"
#include "sardinestream/backends/server_state.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

enum class policy { by_count, by_cost };

struct scenario {
    int ranks = 63;
    int entries = 6;
    double requests_per_s = 220;
    // Share of a rank's work for tokens that only this rank does.
    double own_share = 1;
    // Requests that come at once after five seconds, all of the greatest size.
    int flood = 0;
    // The first rank reports that it is idle.
    bool lying_rank = false;
    // The first entry starts after five seconds, without any knowledge.
    bool late_entry = false;
};

struct first_event {
    // Engine time that the request took.
    double size_ms = 0;
    double taken_ms = 0;
};

struct outcome {
    std::vector<first_event> first_events;
    std::vector<double> pauses_ms;

    // Returns the times to the first event of the requests from one share of the sizes to another.
    [[nodiscard]] std::vector<double> first_events_ms(double from, double to)
    {
        std::sort(this->first_events.begin(), this->first_events.end(),
                  [](const first_event& first, const first_event& second) {
                      return first.size_ms < second.size_ms;
                  });
        const auto count = static_cast<double>(this->first_events.size());
        std::vector<double> times;
        for (auto i = static_cast<std::size_t>(from * count);
             i < static_cast<std::size_t>(to * count); ++i) {
            times.push_back(this->first_events[i].taken_ms);
        }
        return times;
    }

    void add(const outcome& more)
    {
        this->first_events.insert(this->first_events.end(), more.first_events.begin(),
                                  more.first_events.end());
        this->pauses_ms.insert(this->pauses_ms.end(), more.pauses_ms.begin(), more.pauses_ms.end());
    }
};

double at(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

engine_model make_engine()
{
    engine_model engine;
    engine.slots = 10;
    engine.steps_per_pass = 6;
    engine.step_ms = 5.85;
    engine.step_ms_per_request = 0.426;
    engine.read_tokens_per_s = 61200;
    engine.max_tokens_per_step = 512;
    engine.memory_tokens = 310000;
    engine.usual_prompt_tokens = 847;
    engine.usual_answer_tokens = 139;
    return engine;
}

class group_simulation {
public:
    group_simulation(const scenario& played, policy chosen, unsigned seed)
        : plan(played), by(chosen), random(seed), entries(static_cast<std::size_t>(played.entries)),
          ranks(static_cast<std::size_t>(played.ranks))
    {
        this->view.processes = played.entries;
        this->view.report_interval = report_interval;
        for (entry& each : this->entries) {
            for (int rank = 0; rank < played.ranks; ++rank) {
                backend_server server;
                server.id = absl::StrCat("r", rank);
                server.service = "service";
                server.slots = this->engine.slots;
                each.servers.emplace_back(server);
            }
            each.sizes = std::make_unique<answer_estimator>();
        }
    }

    outcome simulate(double length_ms)
    {
        double next_arrival = 0;
        double next_report = 0;
        double next_pass = 0;
        while (this->now < length_ms) {
            this->now = std::min({next_arrival, next_report, next_pass});
            if (this->now == next_report) {
                this->report();
                next_report += static_cast<double>(report_interval.count());
            }
            else if (this->now == next_arrival) {
                this->arrive(false);
                next_arrival += std::exponential_distribution<double>(this->plan.requests_per_s /
                                                                      ms_per_s)(this->random);
            }
            else {
                this->end_pass();
                next_pass = this->now + this->begin_pass();
            }
        }
        return std::move(this->result);
    }

private:
    static constexpr double ms_per_s = 1000;
    static constexpr double middle_ms = 5000;
    static constexpr std::chrono::milliseconds report_interval{200};
    static constexpr double largest_prompt = 2880;
    static constexpr double largest_events = 58;

    struct request {
        std::size_t entry = 0;
        std::size_t rank = 0;
        double arrival = 0;
        double prompt = 0;
        int events = 0;
        stated_size stated;
        std::string team;
        request_cost cost;
        placed_work work;
        double unread = 0;
        int done = 0;
        bool reads = false;
        double last_event = 0;
    };
    struct entry {
        std::vector<server_state> servers;
        std::unique_ptr<answer_estimator> sizes;
        std::deque<std::unique_ptr<request>> waiting;
    };
    struct rank {
        std::vector<std::unique_ptr<request>> requests;
        server_report last;
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    double draw_size(double mean, double spread, double largest)
    {
        const double sigma = std::sqrt(std::log(1 + spread * spread));
        std::lognormal_distribution<double> sizes(std::log(mean) - sigma * sigma / 2, sigma);
        return std::min(sizes(this->random), largest);
    }
    steady_time clock() const
    {
        return steady_time{} + std::chrono::hours(1) +
               std::chrono::microseconds(static_cast<std::int64_t>(this->now * ms_per_s));
    }

    void arrive(bool of_flood)
    {
        if (!of_flood && this->plan.flood > 0 && !this->flooded && this->now >= middle_ms) {
            this->flooded = true;
            for (int i = 0; i < this->plan.flood; ++i) {
                this->arrive(true);
            }
        }
        auto made = std::make_unique<request>();
        const bool skips_first = this->plan.late_entry && this->now < middle_ms;
        const std::size_t first = skips_first ? 1 : 0;
        made->entry = first + static_cast<std::size_t>(
                                  this->draw() * static_cast<double>(this->entries.size() - first));
        made->arrival = this->now;
        constexpr double shared_tokens = 40;
        constexpr std::array<double, 3> prompt_means = {674, 960, 787};
        const auto kind = static_cast<std::size_t>(this->draw() * prompt_means.size());
        made->prompt = shared_tokens + this->draw_size(prompt_means.at(kind), 1.0, largest_prompt);
        made->events = std::max(1, static_cast<int>(this->draw_size(23, 0.8, largest_events)));
        if (of_flood) {
            made->prompt = largest_prompt;
            made->events = static_cast<int>(largest_events);
        }
        made->unread = made->prompt;
        made->team = absl::StrCat("t", static_cast<int>(this->draw() * 24));
        constexpr double hint_sigma = 0.5;
        const double tokens = made->events * this->engine.steps_per_pass;
        made->stated.hint_tokens =
            tokens * std::lognormal_distribution<double>(0, hint_sigma)(this->random);
        made->stated.max_tokens = largest_events * this->engine.steps_per_pass;
        entry& own = this->entries[made->entry];
        if (this->by == policy::by_cost) {
            made->cost = cost_of(made->prompt,
                                 own.sizes->expect({"service", "route", made->team}, made->stated,
                                                   this->engine.usual_answer_tokens),
                                 this->engine);
        }
        own.waiting.push_back(std::move(made));
        this->serve(own);
    }

    void serve(entry& own)
    {
        while (!own.waiting.empty()) {
            request& first = *own.waiting.front();
            std::vector<server_load> loads;
            for (server_state& state : own.servers) {
                loads.push_back(state.load(this->engine.slots, this->view, {}, this->clock()));
                state.weigh(first.cost, this->engine, this->view, this->clock(), loads.back());
            }
            std::array<double, server_sample_size> draws{};
            for (double& each : draws) {
                each = this->draw();
            }
            const std::optional<std::size_t> chosen = choose_from_sample(loads, draws);
            if (!chosen.has_value()) {
                return;
            }
            first.rank = *chosen;
            own.servers[*chosen].begin_attempt(this->clock());
            first.work = own.servers[*chosen].work().place(first.cost);
            this->ranks[*chosen].requests.push_back(std::move(own.waiting.front()));
            own.waiting.pop_front();
        }
    }

    // Entries get what the agents saw one interval ago.
    void report()
    {
        for (std::size_t i = 0; i < this->ranks.size(); ++i) {
            rank& each = this->ranks[i];
            for (entry& own : this->entries) {
                const bool is_late = &own == &this->entries.front() && this->plan.late_entry &&
                                     this->now < middle_ms;
                if (!is_late) {
                    own.servers[i].apply_report(each.last, this->clock());
                }
            }
            each.last = {};
            const bool lies = this->plan.lying_rank && i == 0;
            for (const std::unique_ptr<request>& held : each.requests) {
                each.last.running += held->done > 0 && !lies ? 1 : 0;
                each.last.waiting += held->done > 0 || lies ? 0 : 1;
            }
        }
    }

    // Returns the time that the pass takes. Reads prompts as far as the pass allows.
    double begin_pass()
    {
        bool writes = false;
        for (const rank& each : this->ranks) {
            writes = writes || std::any_of(each.requests.begin(), each.requests.end(),
                                           [](const auto& held) { return held->unread <= 0; });
        }
        const int steps = writes ? this->engine.steps_per_pass : 1;
        double longest = 0;
        double mean = 0;
        for (rank& each : this->ranks) {
            const double spent = this->work(each, steps);
            longest = std::max(longest, spent);
            mean += spent / static_cast<double>(this->ranks.size());
        }
        return steps * this->engine.step_ms + this->plan.own_share * longest +
               (1 - this->plan.own_share) * mean;
    }

    double work(rank& each, int steps) const
    {
        double room = static_cast<double>(steps) * this->engine.max_tokens_per_step;
        double read = 0;
        int writers = 0;
        for (std::size_t i = 0; i < each.requests.size(); ++i) {
            request& held = *each.requests[i];
            if (static_cast<int>(i) >= this->engine.slots) {
                break;
            }
            held.reads = held.unread > 0;
            if (!held.reads) {
                ++writers;
                continue;
            }
            const double part = std::min(room, held.unread);
            held.unread -= part;
            room -= part;
            read += part;
        }
        return steps * this->engine.step_ms_per_request * writers +
               read * ms_per_s / this->engine.read_tokens_per_s;
    }

    void end_pass()
    {
        for (rank& each : this->ranks) {
            for (std::size_t i = 0; i < each.requests.size(); ++i) {
                if (each.requests[i]->unread <= 0) {
                    this->deliver(*each.requests[i]);
                }
            }
            std::erase_if(each.requests, [&](const auto& held) { return this->ends(*held); });
        }
        for (entry& own : this->entries) {
            this->serve(own);
        }
    }

    void deliver(request& held)
    {
        ++held.done;
        if (held.done == 1) {
            const request_cost cost =
                cost_of(held.prompt, held.events * this->engine.steps_per_pass, this->engine);
            this->result.first_events.push_back(
                {cost.read_ms + cost.write_ms, this->now - held.arrival});
        }
        else {
            this->result.pauses_ms.push_back(this->now - held.last_event);
        }
        held.last_event = this->now;
        this->entries[held.entry].servers[held.rank].work().note_progress(
            held.work, held.done * this->engine.steps_per_pass * write_ms_per_token(this->engine));
    }

    bool ends(const request& held)
    {
        if (held.done < held.events) {
            return false;
        }
        entry& own = this->entries[held.entry];
        own.servers[held.rank].end_attempt(attempt_result::succeeded, false,
                                           std::chrono::milliseconds(10), this->clock());
        own.servers[held.rank].work().remove(held.work);
        own.sizes->observe({"service", "route", held.team}, held.stated,
                           held.events * this->engine.steps_per_pass);
        return true;
    }

    const scenario plan;
    const policy by;
    const engine_model engine = make_engine();
    std::mt19937 random;
    load_view view;
    double now = 0;
    bool flooded = false;
    std::vector<entry> entries;
    std::vector<rank> ranks;
    outcome result;
};

struct comparison {
    outcome counted;
    outcome weighed;
};

void print(const char* what, const std::vector<double>& counted, const std::vector<double>& weighed)
{
    std::printf("  %-28s", what);
    for (const double share : {0.5, 0.95, 0.99}) {
        std::printf("  %2.0f in 100: %5.0f %5.0f", 100 * share, at(counted, share),
                    at(weighed, share));
    }
    std::printf("\n");
}

// Plays both policies with the same requests and prints their times, in milliseconds, side by side:
// by count, then by cost.
comparison play(const char* name, const scenario& played)
{
    constexpr double length_ms = 20000;
    comparison all;
    for (const unsigned seed : {1U, 2U, 3U}) {
        all.counted.add(group_simulation(played, policy::by_count, seed).simulate(length_ms));
        all.weighed.add(group_simulation(played, policy::by_cost, seed).simulate(length_ms));
    }
    std::printf("%s\n", name);
    print("first event", all.counted.first_events_ms(0, 1), all.weighed.first_events_ms(0, 1));
    print("first event, smallest half", all.counted.first_events_ms(0, 0.5),
          all.weighed.first_events_ms(0, 0.5));
    print("first event, largest tenth", all.counted.first_events_ms(0.9, 1),
          all.weighed.first_events_ms(0.9, 1));
    print("pause", all.counted.pauses_ms, all.weighed.pauses_ms);
    return all;
}

// Returns how much of the time to the first event by count remains by cost.
double remaining_share(comparison& both, double share)
{
    return at(both.weighed.first_events_ms(0, 1), share) /
           at(both.counted.first_events_ms(0, 1), share);
}

// Returns the same for the longest pauses.
double remaining_pause(const comparison& both)
{
    constexpr double share = 0.99;
    return at(both.weighed.pauses_ms, share) / at(both.counted.pauses_ms, share);
}

constexpr double most = 0.99;
constexpr double nearly_all = 0.95;

TEST(placement_by_cost, first_events_come_sooner_and_pauses_are_no_longer)
{
    for (const int entries : {6, 14}) {
        comparison small = play("63 ranks, 220/s", {.entries = entries});
        EXPECT_LT(remaining_share(small, nearly_all), 0.95);
        EXPECT_LT(remaining_share(small, most), 0.9);
        EXPECT_LT(remaining_pause(small), 1.02);
        comparison large =
            play("72 ranks, 260/s", {.ranks = 72, .entries = entries, .requests_per_s = 260});
        EXPECT_LT(remaining_share(large, nearly_all), 0.95);
        EXPECT_LT(remaining_share(large, most), 0.95);
        EXPECT_LT(remaining_pause(large), 1.02);
    }
}

// Most of an expert-parallel engine's work for tokens is shared by all ranks.
TEST(placement_by_cost, little_is_gained_where_ranks_share_most_work)
{
    comparison light = play("63 ranks that share, 220/s", {.own_share = 0.15});
    EXPECT_LT(remaining_share(light, most), 1.02);
    comparison heavy =
        play("63 ranks that share, 420/s", {.requests_per_s = 420, .own_share = 0.15});
    EXPECT_LT(remaining_share(heavy, most), 0.95);
}

TEST(placement_by_cost, a_flood_of_long_requests_delays_others_less)
{
    comparison both = play("200 of the longest at once", {.flood = 200});
    EXPECT_LT(remaining_share(both, nearly_all), 1);
    EXPECT_LT(remaining_share(both, most), 0.95);
}

TEST(placement_by_cost, a_rank_that_reports_no_load_gains_no_more_requests)
{
    comparison both = play("a rank reports no load", {.lying_rank = true});
    EXPECT_LT(remaining_share(both, nearly_all), 0.95);
    EXPECT_LT(remaining_share(both, most), 0.95);
}

TEST(placement_by_cost, an_entry_that_starts_without_knowledge_does_as_well)
{
    comparison both = play("an entry starts empty", {.late_entry = true});
    EXPECT_LT(remaining_share(both, nearly_all), 1);
    EXPECT_LT(remaining_share(both, most), 0.95);
}

// Prints what a choice takes; nothing depends on it.
TEST(placement_by_cost, time_of_a_choice)
{
    for (const std::size_t servers : {std::size_t{72}, std::size_t{10000}}) {
        std::vector<server_load> loads(servers);
        for (std::size_t i = 0; i < servers; ++i) {
            loads[i].capacity = 10;
            loads[i].occupancy = static_cast<double>(i % 9);
            loads[i].work = loads[i].occupancy / 2;
        }
        constexpr std::array<double, server_sample_size> draws = {0.1, 0.5, 0.9};
        constexpr int rounds = 1000;
        std::size_t sum = 0;
        const steady_time begun = steady_clock::now();
        for (int i = 0; i < rounds; ++i) {
            sum += *choose_from_sample(loads, draws);
        }
        const std::chrono::duration<double, std::micro> taken = steady_clock::now() - begun;
        std::printf("choice among %zu loads: %.2f us\n", servers, taken.count() / rounds);
        EXPECT_GT(sum, 0U);
    }
}

// Prints what a whole placement takes, from the request to its end.
TEST(placement_by_cost, time_of_a_placement)
{
    for (const bool by_cost : {false, true}) {
        dispatcher servers{dispatcher_options{}};
        service_policies policies;
        policies["service"].engine = by_cost ? make_engine() : engine_model{};
        servers.set_policies(policies);
        std::vector<backend_server> list;
        constexpr int ranks = 72;
        for (int rank = 0; rank < ranks; ++rank) {
            backend_server server;
            server.id = absl::StrCat("r", rank);
            server.service = "service";
            server.slots = 10;
            server.endpoint = {absl::StrCat("10.0.0.", rank), 80};
            list.push_back(server);
        }
        servers.set_servers(list);
        for (const backend_server& server : list) {
            server_report report;
            report.group = "group";
            servers.apply_report(server.endpoint.ip, report);
        }
        placement_request wanted;
        wanted.service = "service";
        wanted.cost = cost_of(1000, 100, policies["service"].engine);
        constexpr int rounds = 2000;
        int placed = 0;
        const steady_time begun = steady_clock::now();
        for (int i = 0; i < rounds; ++i) {
            const absl::StatusOr<placement> assigned = servers.place(wanted, hangup_watch());
            if (assigned.ok()) {
                ++placed;
                servers.finish(*assigned, attempt_result::succeeded, std::chrono::milliseconds(1));
            }
        }
        const std::chrono::duration<double, std::micro> taken = steady_clock::now() - begun;
        std::printf("placement among %d servers by %s: %.2f us\n", ranks,
                    by_cost ? "cost" : "count", taken.count() / rounds);
        EXPECT_EQ(placed, rounds);
    }
}

} // namespace
} // namespace sardinestream
