// Randomized schedules of the map switch over a simulated group: orders that are lost, executed
// seconds late, after newer orders or twice; coordinators that fail; machines that freeze, mostly
// right after they have given an order, and wake; groups that are idle, or form again.
//
// While its machine is frozen, a rank's engine goes on but cannot be reached, and its agent does
// nothing. A coordinator that wakes acts once on the reports that it had before. All times are in
// simulated milliseconds.

#ifndef SARDINESTREAM_MAPS_MAP_SWITCH_SCHEDULE_H_
#define SARDINESTREAM_MAPS_MAP_SWITCH_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

#include "sardinestream/maps/map_switch.h"
#include "sardinestream/maps/simulated_engine_group.h"
#include "sardinestream/maps/stalled_hold_guard.h"

namespace sardinestream {

inline constexpr int copy_ms = 300;
inline constexpr int faults_end = 20000;
// Without faults after `faults_end`, so that each schedule can show that the group goes on.
inline constexpr int schedule_end = 40000;
inline constexpr int coordinate_interval = 5;
inline constexpr int guard_interval = 25;
inline constexpr int order_interval = 45;
inline constexpr int takeover_time = 700;

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
    schedule(unsigned seed, variant chosen, const schedule_options& wanted)
        : options(wanted), random(seed), played(chosen), group(wanted.ranks),
          machines(static_cast<std::size_t>(wanted.ranks)),
          newest_sent(static_cast<std::size_t>(wanted.ranks))
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
        const steady_time time =
            steady_time{} + std::chrono::hours(1) + std::chrono::milliseconds(now);
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

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_MAP_SWITCH_SCHEDULE_H_
