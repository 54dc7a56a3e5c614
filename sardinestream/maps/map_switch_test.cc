// Tests the map switch under randomized schedules: orders that are lost, executed seconds late,
// after newer orders or twice; agents that fail, freeze and resume; ranks that restart. The
// simulated engine group checks at the beginning of every step that all ranks use the same map.

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/maps/map_switch.h"

namespace sardinestream {
namespace {

constexpr int ranks = 8;
// Simulated milliseconds.
constexpr int step_ms = 60;
constexpr int schedule_ms = 20000;

struct engine_rank {
    rank_report report;
    std::int64_t newest_version = 0;
    std::int64_t copying_version = 0;
    int copy_complete_at = 0;
};

// Simulates a group that advances in lock-step, as the engines of the platform do.
class engine_group {
public:
    engine_group() : all(ranks) {}

    rank_report read(int rank) { return this->all[static_cast<std::size_t>(rank)].report; }

    // Returns true if the engine accepts the order.
    bool execute(const rank_order& order, std::int64_t epoch, int now)
    {
        engine_rank& rank = this->all[static_cast<std::size_t>(order.rank)];
        if (epoch != this->epoch) {
            return false;
        }
        switch (order.kind) {
        case order_kind::prepare:
            if (order.version <= rank.newest_version || rank.report.armed.has_value()) {
                return false;
            }
            rank.newest_version = order.version;
            rank.copying_version = order.version;
            rank.copy_complete_at = now + 300;
            rank.report.prepared_version = 0;
            return true;
        case order_kind::arm:
            if (rank.report.prepared_version != order.version || order.step <= this->step) {
                return false;
            }
            rank.report.armed = armed_switch{order.version, order.step};
            return true;
        case order_kind::hold:
            if (order.step <= this->step) {
                return false;
            }
            rank.report.held_step = order.step;
            return true;
        case order_kind::release:
            if (rank.report.held_step == order.step) {
                rank.report.held_step.reset();
            }
            return true;
        }
        return false;
    }

    void advance(int now)
    {
        for (engine_rank& rank : this->all) {
            if (rank.copying_version != 0 && now >= rank.copy_complete_at) {
                rank.report.prepared_version = rank.copying_version;
                rank.copying_version = 0;
            }
        }
        if (now < this->next_step_at || this->is_held()) {
            this->held_ms += this->is_held() && now >= this->next_step_at ? 1 : 0;
            return;
        }
        this->next_step_at = now + step_ms;
        ++this->step;
        for (engine_rank& rank : this->all) {
            rank.report.step = this->step;
            if (rank.report.armed.has_value() && rank.report.armed->step == this->step) {
                rank.report.map_version = rank.report.armed->version;
                rank.report.prepared_version = 0;
                rank.report.armed.reset();
            }
            this->mixed =
                this->mixed || rank.report.map_version != this->all.front().report.map_version;
        }
    }

    void form_again()
    {
        ++this->epoch;
        for (engine_rank& rank : this->all) {
            const std::int64_t newest = rank.newest_version;
            rank = {};
            rank.newest_version = newest;
            rank.report.epoch = this->epoch;
            rank.report.step = this->step;
        }
    }

    bool mixed = false;
    int held_ms = 0;
    std::int64_t step = 0;
    std::int64_t epoch = 0;
    std::vector<engine_rank> all;

private:
    [[nodiscard]] bool is_held() const
    {
        return std::any_of(this->all.begin(), this->all.end(), [&](const engine_rank& rank) {
            return rank.report.held_step == this->step + 1;
        });
    }

    int next_step_at = 0;
};

struct late_order {
    rank_order order;
    std::int64_t epoch = 0;
    int when = 0;
};

// Which safeguards of the protocol the coordinator keeps. The last two variants each omit one, to
// show that the schedules detect it.
enum class variant { whole, without_hold, releases_early };

struct schedule_result {
    bool mixed = false;
    int switches = 0;
    int held_ms = 0;
    bool held_at_end = false;
};

class schedule {
public:
    schedule(unsigned seed, variant played) : random(seed), played(played) {}

    schedule_result run()
    {
        // Share of orders that get no answer.
        this->lost_share = this->draw(3) == 0 ? 0.0 : 0.35;
        this->become_coordinator();
        for (int now = 0; now < schedule_ms; ++now) {
            this->inject_faults(now);
            this->deliver_late_orders(now);
            this->group.advance(now);
            if (now % 5 == 0 && now >= this->frozen_until) {
                this->coordinate(now);
            }
            if (this->group.mixed) {
                break;
            }
        }
        schedule_result result;
        result.mixed = this->group.mixed;
        result.switches = this->switches;
        result.held_ms = this->group.held_ms;
        return result;
    }

private:
    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(this->random); }

    void become_coordinator()
    {
        switch_options options;
        options.holding_rank = this->draw(ranks);
        this->coordinator = std::make_unique<map_switch>(options);
        this->wanted = 0;
        this->sent.clear();
    }

    void inject_faults(int now)
    {
        if (this->draw(4000) == 0) {
            // The coordinating agent fails or is replaced; its orders may still be executed.
            this->become_coordinator();
            this->frozen_until = now + 700 + this->draw(600);
        }
        if (this->draw(5000) == 0) {
            this->frozen_until = now + this->draw(4000);
        }
        if (this->draw(12000) == 0) {
            this->group.form_again();
            this->wanted = 0;
            this->coordinator->reset();
        }
    }

    void deliver_late_orders(int now)
    {
        for (auto it = this->late.begin(); it != this->late.end();) {
            if (it->when > now) {
                ++it;
                continue;
            }
            this->group.execute(it->order, it->epoch, now);
            it = this->late.erase(it);
        }
    }

    void send_once(const rank_order& order, int now)
    {
        int& last =
            this->sent
                .try_emplace({order.rank, static_cast<int>(order.kind), order.version, order.step},
                             -1000)
                .first->second;
        if (now - last < 45) {
            return;
        }
        last = now;
        if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->lost_share) {
            this->late.push_back({order, this->group.epoch, now + 2000 + this->draw(10000)});
            return;
        }
        this->group.execute(order, this->group.epoch, now);
    }

    void coordinate(int now)
    {
        std::vector<rank_report> reports;
        reports.reserve(ranks);
        for (int rank = 0; rank < ranks; ++rank) {
            reports.push_back(this->group.read(rank));
        }
        if (this->wanted != 0 && reports.front().map_version >= this->wanted) {
            ++this->switches;
            this->wanted = 0;
        }
        const bool refused = std::any_of(
            this->group.all.begin(), this->group.all.end(),
            [&](const engine_rank& rank) { return rank.newest_version > this->wanted; });
        if (!is_switching(reports) && (this->wanted == 0 || refused)) {
            for (const engine_rank& rank : this->group.all) {
                this->newest = std::max(this->newest, rank.newest_version);
            }
            this->wanted = ++this->newest;
        }
        for (rank_order order : this->coordinator->next_orders(reports, this->wanted)) {
            if (this->played == variant::without_hold && order.kind == order_kind::hold) {
                // Arms immediately, without a guarantee that all orders arrive in time.
                for (int rank = 0; rank < ranks; ++rank) {
                    this->send_once({rank, order_kind::arm, order.version, order.step}, now);
                }
                continue;
            }
            this->send_once(order, now);
            if (this->played == variant::releases_early && order.kind == order_kind::arm) {
                for (int rank = 0; rank < ranks; ++rank) {
                    this->send_once({rank, order_kind::release, 0, order.step}, now);
                }
            }
        }
    }

    std::mt19937 random;
    const variant played;
    engine_group group;
    double lost_share = 0;
    std::unique_ptr<map_switch> coordinator;
    std::vector<late_order> late;
    std::map<std::tuple<int, int, std::int64_t, std::int64_t>, int> sent;
    std::int64_t wanted = 0;
    std::int64_t newest = 0;
    int frozen_until = 0;
    int switches = 0;
};

// The number of schedules can be raised through the environment for a long manual run.
unsigned schedules()
{
    const char* const given = std::getenv("SARDINE_MAP_SCHEDULES");
    constexpr unsigned default_schedules = 1500;
    return given == nullptr ? default_schedules : static_cast<unsigned>(std::atoi(given));
}

TEST(map_switch_schedules, no_step_begins_with_two_maps)
{
    int switches = 0;
    for (unsigned seed = 1; seed <= schedules(); ++seed) {
        const schedule_result result = schedule(seed, variant::whole).run();
        ASSERT_FALSE(result.mixed) << "seed " << seed;
        switches += result.switches;
    }
    EXPECT_GT(switches, static_cast<int>(schedules()) * 5);
}

TEST(map_switch_schedules, detect_a_protocol_without_hold)
{
    int mixed = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        mixed += schedule(seed, variant::without_hold).run().mixed ? 1 : 0;
    }
    EXPECT_GT(mixed, 0);
}

TEST(map_switch_schedules, detect_a_release_before_all_ranks_are_armed)
{
    int mixed = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        mixed += schedule(seed, variant::releases_early).run().mixed ? 1 : 0;
    }
    EXPECT_GT(mixed, 0);
}

std::vector<rank_report> idle_reports()
{
    std::vector<rank_report> reports(ranks);
    for (rank_report& report : reports) {
        report.step = 100;
    }
    return reports;
}

TEST(map_switch, prepares_every_rank_first)
{
    map_switch coordinator({3, 2});
    const std::vector<rank_order> orders = coordinator.next_orders(idle_reports(), 7);
    ASSERT_EQ(orders.size(), 8U);
    for (const rank_order& order : orders) {
        EXPECT_EQ(order.kind, order_kind::prepare);
        EXPECT_EQ(order.version, 7);
    }
}

TEST(map_switch, holds_before_the_first_arm)
{
    map_switch coordinator({3, 2});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = 7;
    }
    const std::vector<rank_order> orders = coordinator.next_orders(reports, 7);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::hold);
    EXPECT_EQ(orders[0].rank, 2);
    EXPECT_EQ(orders[0].step, 103);
}

TEST(map_switch, releases_only_when_all_are_armed)
{
    map_switch coordinator({3, 2});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = 7;
        report.armed = armed_switch{7, 103};
    }
    reports[2].held_step = 103;
    reports[5].armed.reset();
    std::vector<rank_order> orders = coordinator.next_orders(reports, 7);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::arm);
    EXPECT_EQ(orders[0].rank, 5);
    reports[5].armed = armed_switch{7, 103};
    orders = coordinator.next_orders(reports, 7);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::release);
}

TEST(map_switch, completes_a_switch_started_by_another_agent)
{
    map_switch successor({3, 0});
    std::vector<rank_report> reports = idle_reports();
    for (rank_report& report : reports) {
        report.prepared_version = 7;
    }
    reports[4].held_step = 103;
    const std::vector<rank_order> orders = successor.next_orders(reports, 0);
    ASSERT_EQ(orders.size(), 8U);
    EXPECT_EQ(orders[0].kind, order_kind::arm);
    EXPECT_EQ(orders[0].step, 103);
}

TEST(map_switch, releases_a_hold_that_was_executed_late)
{
    map_switch coordinator({3, 0});
    std::vector<rank_report> reports = idle_reports();
    reports[1].held_step = 104;
    const std::vector<rank_order> orders = coordinator.next_orders(reports, 0);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].kind, order_kind::release);
    EXPECT_EQ(orders[0].rank, 1);
}

TEST(map_switch, orders_nothing_across_epochs)
{
    map_switch coordinator({3, 0});
    std::vector<rank_report> reports = idle_reports();
    reports[3].epoch = 1;
    EXPECT_TRUE(coordinator.next_orders(reports, 7).empty());
}

} // namespace
} // namespace sardinestream
