// Simulates several processes that have more requests for a server than it accepts, and that
// hear of its limit from its answers and from each other.

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/server_limits.h"
#include "sardinestream/backends/simulated_clock.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a server may get in any span of this length: one and a half times its limit and five more.
constexpr seconds span{4};
constexpr seconds time_to_learn{3};
constexpr double tolerance = 1.5;
constexpr int tolerated_requests = 5;

struct limit_load {
    int processes = 1;
    double max_rate = 2;
    // Processes that have requests for the server; the others have none.
    int with_requests = 1;
    bool restarts = false;
};

class limit_simulation {
public:
    limit_simulation(const limit_load& offered, unsigned seed) : load(offered), random(seed)
    {
        this->server.id = "i-1";
        this->server.born_ms = 1;
        for (int i = 0; i < offered.processes; ++i) {
            this->start(i);
            this->gossip(i);
            if (i < offered.with_requests) {
                this->ask(i);
            }
        }
        if (offered.restarts) {
            this->restart_one();
        }
    }

    void simulate(milliseconds length) { this->time.run(length); }

    [[nodiscard]] int most_in_a_span() const
    {
        int most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            if (*first < this->time.start() + time_to_learn) {
                continue;
            }
            const auto end = std::lower_bound(first, this->arrivals.end(), *first + span);
            most = std::max(most, static_cast<int>(end - first));
        }
        return most;
    }

    [[nodiscard]] double rate_after_learning() const
    {
        const auto begin = std::lower_bound(this->arrivals.begin(), this->arrivals.end(),
                                            this->time.start() + time_to_learn);
        const std::chrono::duration<double> elapsed = this->time.elapsed() - time_to_learn;
        return static_cast<double>(this->arrivals.end() - begin) / elapsed.count();
    }

private:
    static constexpr milliseconds ask_interval{20};
    static constexpr milliseconds gossip_interval{400};
    static constexpr milliseconds answer_time{150};
    static constexpr milliseconds reply_time{30};

    void start(int process)
    {
        process_group group;
        group.own = static_cast<std::uint32_t>(process);
        for (int other = 0; other < this->load.processes; ++other) {
            if (other != process) {
                group.others.push_back(static_cast<std::uint32_t>(other));
            }
        }
        this->limits.resize(static_cast<std::size_t>(this->load.processes));
        this->limits[static_cast<std::size_t>(process)] = server_limits();
        this->limits[static_cast<std::size_t>(process)].set_processes(group);
    }

    void restart_one()
    {
        this->time.schedule(seconds(2), [this] {
            const int process = static_cast<int>(this->draw() * this->load.processes);
            this->start(process);
            this->time.schedule(reply_time, [this, process] { this->tell_to(process); });
            this->restart_one();
        });
    }

    // The others answer the first message of a process that has started.
    void tell_to(int process)
    {
        for (server_limits& other : this->limits) {
            for (const limit_statement& statement : other.own_statements(this->time.now())) {
                this->limits[static_cast<std::size_t>(process)].note_statement(statement,
                                                                               this->time.now());
            }
        }
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    milliseconds jittered(milliseconds interval)
    {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(interval.count()) *
                                                      (0.5 + this->draw())));
    }

    void ask(int process)
    {
        this->time.schedule(this->jittered(ask_interval), [this, process] { this->ask(process); });
        server_limits& own = this->limits[static_cast<std::size_t>(process)];
        const steady_time now = this->time.now();
        if (own.next_request_time(this->server, now) > now) {
            return;
        }
        own.note_request(this->server, now);
        this->arrivals.push_back(now);
        this->time.schedule(answer_time, [this, process] {
            this->limits[static_cast<std::size_t>(process)].note_answer(
                this->server, this->load.max_rate, this->time.now());
        });
    }

    void gossip(int process)
    {
        this->time.schedule(this->jittered(gossip_interval),
                            [this, process] { this->gossip(process); });
        const steady_time now = this->time.now();
        for (const limit_statement& statement :
             this->limits[static_cast<std::size_t>(process)].own_statements(now)) {
            for (server_limits& other : this->limits) {
                other.note_statement(statement, now);
            }
        }
    }

    const limit_load load;
    std::mt19937 random;
    simulated_clock time;
    backend_server server;
    std::vector<server_limits> limits;
    std::vector<steady_time> arrivals;
};

int most_allowed(double max_rate)
{
    return static_cast<int>(tolerance * max_rate * static_cast<double>(span.count())) +
           tolerated_requests;
}

TEST(server_limits_load, processes_together_keep_every_rate)
{
    for (const int processes : {1, 4, 20, 60}) {
        for (const double max_rate : {0.0, 0.3, 1.0, 2.1, 7.5, 40.0}) {
            for (const unsigned seed : {1U, 2U, 3U}) {
                limit_simulation run({processes, max_rate, processes, false}, seed);
                run.simulate(seconds(40));
                EXPECT_LE(run.most_in_a_span(), most_allowed(max_rate))
                    << processes << " processes, " << max_rate << " per second, seed " << seed;
            }
        }
    }
}

TEST(server_limits_load, a_server_gets_most_of_the_rate_it_accepts)
{
    for (const int processes : {1, 4, 20}) {
        limit_simulation run({processes, 8, processes, false}, 1);
        run.simulate(seconds(40));
        EXPECT_GT(run.rate_after_learning(), 0.8 * 8) << processes << " processes";
    }
}

TEST(server_limits_load, processes_that_restart_keep_the_rate_as_well)
{
    for (const int processes : {4, 20}) {
        for (const unsigned seed : {1U, 2U, 3U}) {
            limit_simulation run({processes, 2.1, processes, true}, seed);
            run.simulate(seconds(40));
            EXPECT_LE(run.most_in_a_span(), most_allowed(2.1))
                << processes << " processes, seed " << seed;
        }
    }
}

TEST(server_limits_load, a_server_is_used_though_the_processes_that_may_use_it_have_no_requests)
{
    limit_simulation run({20, 0.6, 1, false}, 1);
    run.simulate(seconds(120));
    EXPECT_GT(run.rate_after_learning(), 0);
}

} // namespace
} // namespace sardinestream
