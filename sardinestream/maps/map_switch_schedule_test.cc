// Tests the map switch under randomized schedules: orders that are lost, executed seconds late,
// after newer orders or twice; coordinators that fail; machines that freeze, mostly right after
// they have given an order, and wake; groups that are idle, or form again. The simulated engine
// group checks at the beginning of every step that all ranks use the same map.
//
// While its machine is frozen, a rank's engine goes on but nobody reaches it, and its agent does
// nothing. A coordinator that wakes acts once on the reports that it had before.

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/maps/map_switch.h"
#include "sardinestream/maps/stalled_hold_guard.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// All times are in simulated milliseconds.
constexpr int step_ms = 60;
constexpr int copy_ms = 300;
constexpr int faults_end = 20000;
// Without faults after `faults_end`, so that each schedule can show that the group goes on.
constexpr int schedule_end = 40000;
constexpr int coordinate_interval = 5;
constexpr int guard_interval = 25;
constexpr int order_interval = 45;
constexpr int takeover_time = 700;

struct engine_rank {
    rank_report report;
    std::int64_t newest_version = 0;
    std::int64_t copying_version = 0;
    int copy_complete_at = 0;
};

// Simulates a group that advances in lock-step, as the engines of the platform do.
class engine_group {
public:
    explicit engine_group(int ranks) : all(static_cast<std::size_t>(ranks)) {}

    rank_report read(int rank) const { return this->all[static_cast<std::size_t>(rank)].report; }

    // Returns true if the engine accepts the order.
    bool execute(const rank_order& order, std::int64_t order_epoch, int copy_time, int now)
    {
        engine_rank& rank = this->all[static_cast<std::size_t>(order.rank)];
        if (order_epoch != this->epoch) {
            return false;
        }
        switch (order.kind) {
        case order_kind::prepare:
            if (order.version <= rank.newest_version || rank.report.armed.has_value()) {
                return false;
            }
            rank.newest_version = order.version;
            rank.copying_version = order.version;
            rank.copy_complete_at = now + copy_time;
            rank.report.prepared_version = 0;
            return true;
        case order_kind::arm:
            if (rank.report.prepared_version != order.version || order.step <= this->step) {
                return false;
            }
            rank.report.armed = armed_switch{order.version, order.step};
            return true;
        case order_kind::hold:
            if (order.step <= this->step || rank.report.held_step.has_value()) {
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
        if (now < this->next_step_at || now < this->idle_until) {
            return;
        }
        if (this->is_held()) {
            ++this->standing_ms;
            this->longest_standing_ms = std::max(this->longest_standing_ms, this->standing_ms);
            return;
        }
        this->standing_ms = 0;
        this->next_step_at = now + step_ms;
        this->begin_step();
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
    // The group has no requests until then, and begins no step.
    int idle_until = 0;
    int standing_ms = 0;
    int longest_standing_ms = 0;
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

    void begin_step()
    {
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

    int next_step_at = 0;
};

struct late_order {
    rank_order order;
    std::int64_t epoch = 0;
    int copy_time = 0;
    int when = 0;
};

// Which safeguards of the protocol are kept. All variants but the first omit one, to show that the
// schedules detect it.
enum class variant {
    whole,
    without_hold,
    releases_early,
    // Arms all ranks as soon as the hold is in force.
    arms_all_at_once,
};

struct schedule_options {
    int ranks = 8;
    // Each order freezes the machine that gave it with a probability of one in this many; zero for
    // never.
    int freeze_after_orders = 0;
    // If set, only coordinators freeze, right after a hold, and no order is lost.
    bool only_coordinators_freeze = false;
};

struct schedule_result {
    bool mixed = false;
    int switches = 0;
    int longest_standing_ms = 0;
    bool stands_at_end = false;
};

class schedule {
public:
    schedule(unsigned seed, variant chosen, const schedule_options& given)
        : options(given), random(seed), played(chosen), group(given.ranks),
          machines(static_cast<std::size_t>(given.ranks)),
          newest_sent(static_cast<std::size_t>(given.ranks))
    {
    }

    schedule_result run()
    {
        // Share of orders that get no answer.
        const bool loses = !this->options.only_coordinators_freeze && this->draw(3) != 0;
        this->lost_share = loses ? 0.35 : 0.0;
        this->become_coordinator(0);
        for (int now = 0; now < schedule_end && !this->group.mixed; ++now) {
            if (now < faults_end) {
                this->inject_faults(now);
            }
            else {
                this->lost_share = 0;
            }
            this->deliver_late_orders(now);
            this->group.advance(now);
            this->replace_coordinator(now);
            if (now % coordinate_interval == 0 && !this->is_frozen(this->own_rank, now)) {
                this->coordinate(now);
            }
            if (now % guard_interval == 0) {
                this->run_guards(now);
            }
        }
        schedule_result result;
        result.mixed = this->group.mixed;
        result.switches = this->switches;
        result.longest_standing_ms = this->group.longest_standing_ms;
        result.stands_at_end = this->group.standing_ms > step_ms;
        return result;
    }

private:
    struct machine {
        int frozen_until = 0;
        stalled_hold_guard guard;
    };

    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(this->random); }

    [[nodiscard]] machine& machine_of(int rank)
    {
        return this->machines[static_cast<std::size_t>(rank)];
    }

    [[nodiscard]] bool is_frozen(int rank, int now) { return now < machine_of(rank).frozen_until; }

    void become_coordinator(int rank)
    {
        this->own_rank = rank;
        this->coordinator = std::make_unique<map_switch>(switch_options{});
        this->wanted = 0;
        this->sent.clear();
    }

    void freeze(int rank, int now)
    {
        constexpr int longest_freeze = 5000;
        machine_of(rank).frozen_until = now + 1 + this->draw(longest_freeze);
        if (rank == this->own_rank && !this->take_over_at.has_value()) {
            this->take_over_at = now + takeover_time;
        }
    }

    void replace_coordinator(int now)
    {
        if (!this->take_over_at.has_value() || now < *this->take_over_at) {
            return;
        }
        const int successor = this->draw(this->options.ranks);
        if (this->is_frozen(successor, now)) {
            return;
        }
        this->take_over_at.reset();
        this->superseded.push_back({this->own_rank, this->coordinator_reports, this->wanted});
        this->become_coordinator(successor);
    }

    void inject_faults(int now)
    {
        this->act_on_old_reports(now);
        if (this->options.only_coordinators_freeze) {
            return;
        }
        if (this->draw(4000) == 0 && !this->take_over_at.has_value()) {
            // The coordinating agent fails; its orders may still be executed.
            this->take_over_at = now + takeover_time + this->draw(takeover_time);
        }
        if (this->draw(5000) == 0) {
            this->freeze(this->draw(this->options.ranks), now);
        }
        if (this->draw(2000) == 0) {
            this->group.idle_until = now + this->draw(2000);
        }
        if (this->draw(12000) == 0) {
            this->group.form_again();
            this->wanted = 0;
            this->coordinator->begin_epoch();
        }
    }

    // A superseded coordinator wakes: other agents refuse its orders, but its own agent and the
    // engine of the holder do not.
    void act_on_old_reports(int now)
    {
        for (auto it = this->superseded.begin(); it != this->superseded.end();) {
            if (this->is_frozen(it->rank, now)) {
                ++it;
                continue;
            }
            map_switch former{switch_options{}};
            for (const rank_order& order : former.next_orders(it->reports, it->wanted)) {
                if (order.rank == it->rank || order.kind == order_kind::hold) {
                    this->execute_or_lose(order, copy_ms, it->rank, now);
                }
            }
            it = this->superseded.erase(it);
        }
    }

    void deliver_late_orders(int now)
    {
        for (auto it = this->late.begin(); it != this->late.end();) {
            if (it->when > now) {
                ++it;
                continue;
            }
            this->group.execute(it->order, it->epoch, it->copy_time, now);
            it = this->late.erase(it);
        }
    }

    // Executes an order that `giver` sends to an engine, unless it gets lost or is delayed.
    void execute_or_lose(const rank_order& order, int copy_time, int giver, int now)
    {
        if (order.kind == order_kind::prepare) {
            std::int64_t& sent = this->newest_sent[static_cast<std::size_t>(order.rank)];
            sent = std::max(sent, order.version);
        }
        if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->lost_share) {
            const int delay = this->draw(2) == 0 ? 1 + this->draw(600) : 2000 + this->draw(10000);
            this->late.push_back({order, this->group.epoch, copy_time, now + delay});
        }
        else if (!this->is_frozen(order.rank, now)) {
            this->group.execute(order, this->group.epoch, copy_time, now);
        }
        if (now<faults_end&& this->options.freeze_after_orders> 0 &&
            (!this->options.only_coordinators_freeze || order.kind == order_kind::hold) &&
            this->draw(this->options.freeze_after_orders) == 0) {
            this->freeze(giver, now);
        }
    }

    void send_once(const rank_order& order, int now)
    {
        int& last =
            this->sent
                .try_emplace({order.rank, static_cast<int>(order.kind), order.version, order.step},
                             -1000)
                .first->second;
        if (now - last < order_interval || this->is_frozen(order.rank, now)) {
            return;
        }
        last = now;
        // The coordinator orders a hold itself; all other orders are given by the rank's agent.
        const int giver = order.kind == order_kind::hold ? this->own_rank : order.rank;
        this->execute_or_lose(order, copy_ms, giver, now);
    }

    void run_guards(int now)
    {
        const steady_time time = steady_time{} + std::chrono::hours(1) + milliseconds(now);
        for (int rank = 0; rank < this->options.ranks; ++rank) {
            if (this->is_frozen(rank, now)) {
                continue;
            }
            const rank_report own = this->group.read(rank);
            switch (
                this->machine_of(rank).guard.next_action(own, rank, this->options.ranks, time)) {
            case stalled_hold_guard::action::none:
                break;
            case stalled_hold_guard::action::supersede:
                this->supersede(rank, now);
                break;
            case stalled_hold_guard::action::release:
                this->execute_or_lose({rank, order_kind::release, 0, *own.held_step}, 0, rank, now);
                break;
            }
        }
    }

    void supersede(int rank, int now)
    {
        const engine_rank& engine = this->group.all[static_cast<std::size_t>(rank)];
        const std::int64_t newest =
            std::max(engine.newest_version, this->newest_sent[static_cast<std::size_t>(rank)]);
        const std::int64_t newer = this->draw_version(
            [this, newest] { return version_after(newest, this->random()); }, rank);
        this->execute_or_lose({rank, order_kind::prepare, newer, 0}, 0, rank, now);
    }

    // Returns the first version drawn that is not held on `rank`.
    std::int64_t draw_version(const std::function<std::int64_t()>& next, int rank)
    {
        std::int64_t version = 0;
        do {
            version = next();
        } while (holding_rank(version, this->options.ranks) == rank);
        return version;
    }

    void choose_wanted(const std::vector<rank_report>& reports)
    {
        if (this->wanted != 0 && reports.front().map_version >= this->wanted) {
            ++this->switches;
            this->wanted = 0;
        }
        std::int64_t newest = this->wanted;
        for (const engine_rank& rank : this->group.all) {
            newest = std::max(newest, rank.newest_version);
        }
        newest =
            std::max(newest, *std::max_element(this->newest_sent.begin(), this->newest_sent.end()));
        if (!is_switching(reports) && (this->wanted == 0 || newest > this->wanted)) {
            this->wanted = this->draw_version(
                [this, newest] { return plan_version_after(newest, this->random()); },
                this->own_rank);
        }
    }

    void coordinate(int now)
    {
        std::vector<rank_report> reports;
        for (int rank = 0; rank < this->options.ranks; ++rank) {
            if (this->is_frozen(rank, now)) {
                return;
            }
            reports.push_back(this->group.read(rank));
        }
        this->coordinator_reports = reports;
        this->choose_wanted(reports);
        for (const rank_order& order : this->coordinator->next_orders(reports, this->wanted)) {
            if (this->is_frozen(this->own_rank, now)) {
                return;
            }
            this->send_as_played(order, now);
        }
    }

    void send_to_all(order_kind kind, const rank_order& order, int now)
    {
        for (int rank = 0; rank < this->options.ranks; ++rank) {
            this->send_once({rank, kind, order.version, order.step}, now);
        }
    }

    void send_as_played(const rank_order& order, int now)
    {
        const bool arms_all =
            (this->played == variant::without_hold && order.kind == order_kind::hold) ||
            (this->played == variant::arms_all_at_once && order.kind == order_kind::arm);
        if (arms_all) {
            this->send_to_all(order_kind::arm, order, now);
            return;
        }
        this->send_once(order, now);
        if (this->played == variant::releases_early && order.kind == order_kind::arm) {
            this->send_to_all(order_kind::release, order, now);
        }
    }

    // What a coordinator knew when another one took over.
    struct superseded_coordinator {
        int rank = 0;
        std::vector<rank_report> reports;
        std::int64_t wanted = 0;
    };

    const schedule_options options;
    std::mt19937 random;
    const variant played;
    engine_group group;
    std::vector<machine> machines;
    // The highest version of which each rank was sent an order to prepare, answered or not.
    std::vector<std::int64_t> newest_sent;
    double lost_share = 0;
    int own_rank = 0;
    std::unique_ptr<map_switch> coordinator;
    std::vector<rank_report> coordinator_reports;
    std::vector<superseded_coordinator> superseded;
    std::optional<int> take_over_at;
    std::vector<late_order> late;
    std::map<std::tuple<int, int, std::int64_t, std::int64_t>, int> sent;
    std::int64_t wanted = 0;
    int switches = 0;
};

// The number of schedules and ranks can be set through the environment for a long manual run.
int from_environment(const char* name, int otherwise)
{
    const char* const given = std::getenv(name);
    return given == nullptr ? otherwise : std::atoi(given);
}

int schedules()
{
    return from_environment("SARDINE_MAP_SCHEDULES", 1500);
}
int ranks()
{
    return from_environment("SARDINE_MAP_RANKS", 8);
}

schedule_options with_freezes()
{
    schedule_options options;
    options.ranks = ranks();
    options.freeze_after_orders = 40 * options.ranks;
    return options;
}

void expect_one_map_in_every_step(const schedule_options& options)
{
    int switches = 0;
    for (int seed = 1; seed <= schedules(); ++seed) {
        const schedule_result result =
            schedule(static_cast<unsigned>(seed), variant::whole, options).run();
        ASSERT_FALSE(result.mixed) << "seed " << seed;
        ASSERT_FALSE(result.stands_at_end) << "seed " << seed;
        switches += result.switches;
    }
    EXPECT_GT(switches, schedules() * 5);
}

int mixed_schedules(variant played)
{
    int mixed = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        mixed += schedule(seed, played, with_freezes()).run().mixed ? 1 : 0;
    }
    return mixed;
}

TEST(map_switch_schedules, no_step_begins_with_two_maps)
{
    schedule_options options;
    options.ranks = ranks();
    expect_one_map_in_every_step(options);
}

TEST(map_switch_schedules, no_step_begins_with_two_maps_when_machines_freeze_after_an_order)
{
    expect_one_map_in_every_step(with_freezes());
}

// The machine of a coordinator may freeze for seconds right after each hold that it orders.
TEST(map_switch_schedules, a_frozen_coordinator_stops_its_group_for_less_than_half_a_second)
{
    schedule_options options;
    options.ranks = ranks();
    options.freeze_after_orders = 2;
    options.only_coordinators_freeze = true;
    constexpr int bound_ms = 500;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        const schedule_result result = schedule(seed, variant::whole, options).run();
        ASSERT_FALSE(result.mixed) << "seed " << seed;
        ASSERT_LT(result.longest_standing_ms, bound_ms) << "seed " << seed;
    }
}

TEST(map_switch_schedules, detect_a_protocol_without_hold)
{
    EXPECT_GT(mixed_schedules(variant::without_hold), 0);
}

TEST(map_switch_schedules, detect_a_release_before_all_ranks_are_armed)
{
    EXPECT_GT(mixed_schedules(variant::releases_early), 0);
}

TEST(map_switch_schedules, detect_ranks_that_are_armed_before_the_holder)
{
    EXPECT_GT(mixed_schedules(variant::arms_all_at_once), 0);
}

// Holds a group of eight ranks that have prepared `version` at step 1, and returns the holder.
int hold_before_first_step(engine_group& group, std::int64_t version)
{
    const int holder = holding_rank(version, 8);
    for (int rank = 0; rank < 8; ++rank) {
        EXPECT_TRUE(group.execute({rank, order_kind::prepare, version, 0}, 0, 0, 0));
    }
    EXPECT_TRUE(group.execute({holder, order_kind::hold, version, 1}, 0, 0, 0));
    group.advance(1);
    return holder;
}

TEST(map_switch_schedules, an_arm_order_is_refused_after_the_guard_has_ended_the_hold)
{
    engine_group group(8);
    const std::int64_t version = version_after(0, 5);
    const int holder = hold_before_first_step(group, version);
    stalled_hold_guard guard;
    for (int now = 0; group.read(holder).held_step.has_value(); now += guard_interval) {
        ASSERT_LT(now, 1000);
        const auto action =
            guard.next_action(group.read(holder), holder, 8,
                              steady_time{} + std::chrono::hours(1) + milliseconds(now));
        if (action == stalled_hold_guard::action::supersede) {
            group.execute({holder, order_kind::prepare, version + 1, 0}, 0, 0, now);
            group.idle_until = 2000;
            group.advance(now);
        }
        if (action == stalled_hold_guard::action::release) {
            group.execute({holder, order_kind::release, 0, 1}, 0, 0, now);
        }
    }
    EXPECT_FALSE(group.execute({holder, order_kind::arm, version, 1}, 0, 0, 1000));
}

// Shows that the guard has to supersede the version: a late arm order would still be accepted.
TEST(map_switch_schedules, an_arm_order_is_accepted_after_a_release_alone)
{
    engine_group group(8);
    const std::int64_t version = version_after(0, 5);
    const int holder = hold_before_first_step(group, version);
    EXPECT_TRUE(group.execute({holder, order_kind::release, 0, 1}, 0, 0, 1));
    EXPECT_TRUE(group.execute({holder, order_kind::arm, version, 1}, 0, 0, 1));
}

} // namespace
} // namespace sardinestream
