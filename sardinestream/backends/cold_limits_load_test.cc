// Simulates processes that send one cold server as much as their limits allow: with drawn starts,
// partitions, demand and slow connections, and the return of all after a loss of power.

#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/cold_limits.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds step{50};
constexpr milliseconds second_of_bound{1000};
// Processes hear of each other, at the latest by way of the agents, within this time.
constexpr milliseconds hearing_time{400};

struct cold_load {
    int processes = 1;
    int servers = 1;
    double cold_rate = 26;
    cold_bound bound{1.5, 5};
    // Of each process.
    milliseconds latest_start{0};
    // Processes of different sides do not hear each other, from a drawn time on.
    int sides = 1;
    // Share of the steps in which a process has requests, and of these that are never sent.
    double demand = 1;
    double abandoned = 0;
    milliseconds slowest_connection{0};
    milliseconds length{6000};
};

class cold_simulation {
public:
    cold_simulation(const cold_load& offered, unsigned seed) : load(offered), random(seed)
    {
        service_policies declared;
        declared["s"].cold_rate = offered.cold_rate;
        declared["s"].cold_period = seconds(60);
        for (int i = 0; i < offered.servers; ++i) {
            backend_server server;
            server.id = "i-" + std::to_string(i);
            server.service = "s";
            this->servers.push_back(server);
        }
        this->arrivals.resize(this->servers.size());
        for (int i = 0; i < offered.processes; ++i) {
            process one{cold_limits(offered.bound),
                        this->up_to(offered.latest_start),
                        this->pick(offered.sides),
                        {}};
            one.limits.set_policies(declared);
            one.limits.set_servers(this->servers, this->at(one.start));
            this->processes.push_back(std::move(one));
        }
        this->cut = this->up_to(offered.length);
    }

    void simulate()
    {
        for (; this->now < this->load.length; this->now += step) {
            for (std::size_t i = 0; i < this->processes.size(); ++i) {
                this->run_process(i);
            }
        }
    }

    // Returns the most requests that one server got in any second.
    [[nodiscard]] int most_in_a_second()
    {
        int most = 0;
        for (std::vector<milliseconds>& sent : this->arrivals) {
            std::sort(sent.begin(), sent.end());
            for (auto first = sent.begin(); first != sent.end(); ++first) {
                const auto end = std::upper_bound(first, sent.end(), *first + second_of_bound);
                most = std::max(most, static_cast<int>(end - first));
            }
        }
        return most;
    }

    [[nodiscard]] int allowed() const
    {
        return static_cast<int>(this->load.cold_rate * this->load.bound.overage +
                                this->load.bound.slack + 1e-9);
    }

    // Returns the requests per second that all servers got together after `begin`.
    [[nodiscard]] double rate_after(milliseconds begin) const
    {
        std::size_t total = 0;
        for (const std::vector<milliseconds>& sent : this->arrivals) {
            total += static_cast<std::size_t>(
                std::count_if(sent.begin(), sent.end(), [&](milliseconds at) {
                    return at >= begin && at < this->load.length;
                }));
        }
        return static_cast<double>(total) * 1000 /
               static_cast<double>((this->load.length - begin).count());
    }

private:
    struct opening {
        milliseconds opens{0};
        int server = 0;
        bool abandoned = false;
    };
    struct process {
        cold_limits limits;
        milliseconds start{0};
        int side = 0;
        std::vector<opening> connections;
    };

    [[nodiscard]] static steady_time at(milliseconds time)
    {
        return steady_time{} + std::chrono::hours(1) + time;
    }
    [[nodiscard]] int pick(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(this->random);
    }
    [[nodiscard]] milliseconds up_to(milliseconds most)
    {
        return milliseconds(this->pick(static_cast<int>(most.count()) + 1));
    }
    [[nodiscard]] bool happens(double share) { return this->pick(1000) < share * 1000; }

    void tell_processes(std::size_t own)
    {
        process_group group;
        group.own = static_cast<std::uint32_t>(own);
        for (std::size_t i = 0; i < this->processes.size(); ++i) {
            const process& other = this->processes[i];
            if (i == own || other.start + hearing_time > this->now) {
                continue;
            }
            const bool heard = this->now < this->cut || other.side == this->processes[own].side;
            (heard ? group.others : group.silent).push_back(static_cast<std::uint32_t>(i));
        }
        this->processes[own].limits.set_processes(group, at(this->now));
    }

    void end_connections(process& one)
    {
        std::erase_if(one.connections, [&](const opening& connection) {
            if (connection.opens > this->now) {
                return false;
            }
            const auto index = static_cast<std::size_t>(connection.server);
            if (connection.abandoned) {
                one.limits.note_never_sent(this->servers[index]);
                return true;
            }
            one.limits.note_sent(this->servers[index], at(this->now));
            this->arrivals[index].push_back(this->now);
            return true;
        });
    }

    void run_process(std::size_t own)
    {
        process& one = this->processes[own];
        if (one.start > this->now) {
            return;
        }
        if ((this->now - one.start) % hearing_time < step) {
            this->tell_processes(own);
        }
        this->end_connections(one);
        if (!this->happens(this->load.demand)) {
            return;
        }
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            while (one.limits.next_request_time(this->servers[i], at(this->now)) <= at(this->now)) {
                one.limits.note_placed(this->servers[i]);
                one.connections.push_back({this->now + this->up_to(this->load.slowest_connection),
                                           static_cast<int>(i),
                                           this->happens(this->load.abandoned)});
            }
        }
        this->end_connections(one);
    }

    const cold_load load;
    std::minstd_rand random;
    std::vector<backend_server> servers;
    std::vector<process> processes;
    // When the requests were sent, by server.
    std::vector<std::vector<milliseconds>> arrivals;
    milliseconds cut{0};
    milliseconds now{0};
};

cold_load draw_load(std::minstd_rand& random)
{
    const auto pick = [&](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    cold_load load;
    // A process that knows no other takes itself for one of 32.
    load.processes = pick(0, 9) == 0 ? pick(1, 32) : pick(1, 8);
    load.cold_rate = pick(1, 60);
    load.bound = {pick(5, 20) / 10.0, static_cast<double>(pick(0, 10))};
    load.sides = pick(1, 3);
    load.demand = pick(1, 10) / 10.0;
    load.abandoned = pick(0, 5) / 10.0;
    load.slowest_connection = milliseconds(pick(0, 1) * pick(0, 1500));
    return load;
}

TEST(cold_limits_load, no_second_has_more_than_the_bound)
{
    constexpr int schedules = 10000;
    std::minstd_rand random(11);
    for (int i = 0; i < schedules; ++i) {
        cold_load load = draw_load(random);
        // Processes start within the time in which all assume that they are many.
        load.latest_start = milliseconds(std::uniform_int_distribution<int>(0, 2500)(random));
        cold_simulation simulation(load, static_cast<unsigned>(i));
        simulation.simulate();
        ASSERT_LE(simulation.most_in_a_second(), simulation.allowed())
            << "schedule " << i << ", " << load.processes << " processes";
    }
}

TEST(cold_limits_load, processes_that_start_later_are_within_the_bound)
{
    for (unsigned seed = 0; seed < 500; ++seed) {
        cold_load load;
        load.processes = 2 + static_cast<int>(seed % 7);
        load.latest_start = milliseconds(8000);
        load.length = milliseconds(13000);
        cold_simulation simulation(load, seed);
        simulation.simulate();
        ASSERT_LE(simulation.most_in_a_second(), simulation.allowed()) << "seed " << seed;
    }
}

TEST(cold_limits_load, after_a_loss_of_power_few_servers_get_no_more_than_they_bear)
{
    // All processes are back within half a second; three servers have opened.
    cold_load load;
    load.processes = 6;
    load.servers = 3;
    load.latest_start = milliseconds(500);
    load.slowest_connection = milliseconds(200);
    cold_simulation simulation(load, 1);
    simulation.simulate();
    EXPECT_LE(simulation.most_in_a_second(), 44);
    // Once the processes know each other, they use what the parts allow: six each, of 44.
    EXPECT_GT(simulation.rate_after(milliseconds(4500)), 0.75 * 3 * 36);
}

TEST(cold_limits_load, a_cold_fleet_serves_what_the_parts_allow)
{
    for (const int processes : {1, 2, 6, 14, 40, 60}) {
        cold_load load;
        load.processes = processes;
        load.servers = 4;
        load.length = milliseconds(12000);
        cold_simulation simulation(load, 1);
        simulation.simulate();
        const int shared = 40;
        // A single process never hears of another, and stays with the part of one of 32.
        const int parts = processes == 1 ? 1 : std::min(shared / processes * processes, shared);
        const double expected = 4.0 * (parts > 0 ? parts : shared);
        EXPECT_GT(simulation.rate_after(milliseconds(4000)), 0.9 * expected) << processes;
        EXPECT_LE(simulation.rate_after(milliseconds(4000)), 4.0 * 44) << processes;
    }
}

} // namespace
} // namespace sardinestream
