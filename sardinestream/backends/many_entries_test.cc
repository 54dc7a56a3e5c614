// Simulates many entries that place requests on one fleet, each with knowledge of its own requests
// and of reports that are out of date, and compares selection policies.

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/choose_server.h"

namespace sardinestream {
namespace {

struct fleet_load {
    int servers = 0;
    int entries = 0;
    int slots = 0;
    double requests_per_s = 0;
    double service_s = 0;
    double report_interval_s = 0;
    // An entry takes the others to have begun as many requests as itself.
    bool counts_others = false;
};

struct fleet_result {
    int requests = 0;
    // Requests that found their server full and waited there (`queued`) or were refused by it
    // (`shed`).
    int queued = 0;
    int shed = 0;
    // Requests refused by the entry because it knew of no free capacity.
    int unplaced = 0;
    std::vector<double> waits_s;

    [[nodiscard]] double wait_at(double share) const
    {
        std::vector<double> sorted = this->waits_s;
        std::sort(sorted.begin(), sorted.end());
        return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    }
};

using choice =
    std::function<std::optional<std::size_t>(absl::Span<const server_load>, std::mt19937& random)>;

// Simulates the fleet by running events in order of simulated time.
class fleet_simulation {
public:
    fleet_simulation(const fleet_load& offered, choice chosen, unsigned seed)
        : load(offered), choose(std::move(chosen)), random(seed),
          running(static_cast<std::size_t>(offered.servers)),
          waiting(static_cast<std::size_t>(offered.servers)),
          known_occupancy(static_cast<std::size_t>(offered.entries),
                          std::vector<int>(static_cast<std::size_t>(offered.servers))),
          begun(this->known_occupancy)
    {
    }

    fleet_result simulate(double length_s)
    {
        for (std::size_t server = 0; server < this->running.size(); ++server) {
            this->at(this->uniform() * this->load.report_interval_s,
                     [this, server] { this->report(server); });
        }
        this->at(0, [this] { this->arrive(); });
        while (!this->events.empty() && this->events.begin()->first < length_s) {
            const auto next = this->events.begin();
            this->now = next->first;
            const std::function<void()> event = std::move(next->second);
            this->events.erase(next);
            event();
        }
        return this->result;
    }

private:
    struct request {
        std::size_t entry = 0;
        double arrival = 0;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    void at(double delay, std::function<void()> event)
    {
        this->events.emplace(this->now + delay, std::move(event));
    }

    void report(std::size_t server)
    {
        const int occupancy =
            this->running[server] + static_cast<int>(this->waiting[server].size());
        for (std::vector<int>& by_server : this->known_occupancy) {
            by_server[server] = occupancy;
        }
        for (std::vector<int>& by_server : this->begun) {
            by_server[server] = 0;
        }
        this->at(this->load.report_interval_s, [this, server] { this->report(server); });
    }

    // As in `server_state`.
    [[nodiscard]] double begun_by_others(std::size_t entry, std::size_t server) const
    {
        const double free = this->load.slots - this->known_occupancy[entry][server];
        const double alike = this->begun[entry][server] * (this->load.entries - 1.0);
        return this->load.counts_others ? std::clamp(alike, 0.0, std::max(0.0, free * 0.7)) : 0;
    }

    void arrive()
    {
        this->at(std::exponential_distribution<double>(this->load.requests_per_s)(this->random),
                 [this] { this->arrive(); });
        ++this->result.requests;
        const auto entry = static_cast<std::size_t>(this->uniform() * this->load.entries);
        std::vector<server_load> loads(this->running.size());
        for (std::size_t server = 0; server < loads.size(); ++server) {
            loads[server].occupancy = this->known_occupancy[entry][server];
            loads[server].capacity = this->load.slots;
            loads[server].occupancy += this->begun_by_others(entry, server);
        }
        const std::optional<std::size_t> chosen = this->choose(loads, this->random);
        if (!chosen.has_value()) {
            ++this->result.unplaced;
            return;
        }
        ++this->known_occupancy[entry][*chosen];
        ++this->begun[entry][*chosen];
        this->accept_or_queue(*chosen, {entry, this->now});
    }

    void accept_or_queue(std::size_t server, const request& placed)
    {
        constexpr std::size_t queue_length = 12;
        if (this->running[server] < this->load.slots) {
            this->run(server, placed);
            return;
        }
        if (this->waiting[server].size() < queue_length) {
            ++this->result.queued;
            this->waiting[server].push_back(placed);
            return;
        }
        ++this->result.shed;
        --this->known_occupancy[placed.entry][server];
    }

    void run(std::size_t server, const request& placed)
    {
        this->result.waits_s.push_back(this->now - placed.arrival);
        ++this->running[server];
        const double length =
            std::gamma_distribution<double>(2, this->load.service_s / 2)(this->random);
        this->at(length, [this, server, placed] { this->finish(server, placed.entry); });
    }

    void finish(std::size_t server, std::size_t entry)
    {
        --this->running[server];
        --this->known_occupancy[entry][server];
        if (!this->waiting[server].empty()) {
            const request next = this->waiting[server].front();
            this->waiting[server].pop_front();
            this->run(server, next);
        }
    }

    const fleet_load load;
    const choice choose;
    std::mt19937 random;
    double now = 0;
    std::multimap<double, std::function<void()>> events;
    std::vector<int> running;
    std::vector<std::deque<request>> waiting;
    // Indexed by entry and server: the last reported occupancy, corrected by the entry's own
    // requests.
    std::vector<std::vector<int>> known_occupancy;
    // Requests that the entry has sent since the last report.
    std::vector<std::vector<int>> begun;
    fleet_result result;
};

std::optional<std::size_t> best_of_all(absl::Span<const server_load> loads, std::mt19937& random)
{
    return choose_server(loads, std::uniform_real_distribution<double>(0, 1)(random));
}

std::optional<std::size_t> best_of_sample(absl::Span<const server_load> loads, std::mt19937& random)
{
    std::array<double, server_sample_size> draws{};
    for (double& draw : draws) {
        draw = std::uniform_real_distribution<double>(0, 1)(random);
    }
    return choose_from_sample(loads, draws);
}

std::optional<std::size_t> any_with_capacity(absl::Span<const server_load> loads,
                                             std::mt19937& random)
{
    const std::array<double, 1> draw = {std::uniform_real_distribution<double>(0, 1)(random)};
    return choose_from_sample(loads, draw);
}

constexpr fleet_load large_fleet = {192, 20, 6, 400, 1.8, 0.576};
constexpr double simulated_s = 12;

TEST(many_entries, sampling_sheds_less_than_one_request_in_two_hundred)
{
    const fleet_result sampled =
        fleet_simulation(large_fleet, best_of_sample, 1).simulate(simulated_s);
    EXPECT_LT(sampled.shed, sampled.requests / 200);
    EXPECT_LT(sampled.unplaced, sampled.requests / 200);
}

TEST(many_entries, sampling_starts_most_requests_immediately)
{
    const fleet_result sampled =
        fleet_simulation(large_fleet, best_of_sample, 1).simulate(simulated_s);
    constexpr double first_event_target_s = 0.5;
    EXPECT_EQ(sampled.wait_at(0.9), 0);
    EXPECT_LT(sampled.wait_at(0.99), first_event_target_s * 2);
}

// Shows the effect of entries that all select the apparently best server at the same time.
TEST(many_entries, best_of_all_and_random_selection_make_more_requests_wait)
{
    const fleet_result sampled =
        fleet_simulation(large_fleet, best_of_sample, 1).simulate(simulated_s);
    EXPECT_GT(fleet_simulation(large_fleet, best_of_all, 1).simulate(simulated_s).queued,
              2 * sampled.queued);
    EXPECT_GT(fleet_simulation(large_fleet, any_with_capacity, 1).simulate(simulated_s).queued,
              sampled.queued);
}

TEST(many_entries, a_small_fleet_with_fresh_reports_is_served_as_well)
{
    constexpr fleet_load small_fleet = {16, 4, 12, 75, 2.0, 0.1};
    const fleet_result sampled =
        fleet_simulation(small_fleet, best_of_sample, 1).simulate(simulated_s);
    const fleet_result best = fleet_simulation(small_fleet, best_of_all, 1).simulate(simulated_s);
    EXPECT_LE(sampled.queued + sampled.unplaced,
              best.queued + best.unplaced + sampled.requests / 100);
}

// The load of a group that is nearly full, with six entries and old reports.
TEST(many_entries, counting_the_others_makes_fewer_requests_wait_at_full_servers)
{
    fleet_load full = {63, 6, 10, 270, 2.1, 0.3};
    const fleet_result alone = fleet_simulation(full, best_of_sample, 1).simulate(simulated_s);
    full.counts_others = true;
    const fleet_result counted = fleet_simulation(full, best_of_sample, 1).simulate(simulated_s);
    EXPECT_LT(counted.queued, alone.queued);
}

TEST(many_entries, counting_the_others_turns_nobody_away_at_low_load)
{
    for (const int servers : {1, 3, 63}) {
        const fleet_load low = {servers, 6, 10, servers * 1.5, 2, 0.3, true};
        const fleet_result result = fleet_simulation(low, best_of_sample, 1).simulate(60);
        EXPECT_LE(result.unplaced, result.requests / 100) << servers;
    }
}

} // namespace
} // namespace sardinestream
