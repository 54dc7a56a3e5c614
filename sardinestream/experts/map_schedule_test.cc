// Property test of the vote on expert maps under random schedules of faults from RapidCheck.
//
// After each schedule the faults end. The group must then continue, commit a further map, and the
// ledger must show no step that ran on two maps. RC_PARAMS fixes the seed (see CMakeLists.txt).

#include <array>
#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "sardinestream/testing/rank_group_agents.h"

namespace sardinestream::experts {
namespace {

using ::sardinestream::testing::find_split_step;
using ::sardinestream::testing::link_fault_kind;
using ::sardinestream::testing::order_fault_kind;
using ::sardinestream::testing::outage_mode;
using ::sardinestream::testing::rank_group_agents;
using ::sardinestream::testing::rank_group_agents_options;

constexpr int ranks = 4;

enum class action_kind : int {
    propose,
    propose_from_two,
    propose_and_restart,
    restart_agent,
    link_fault,
    engine_fault,
    stall_rank,
    restart_engine,
    store_outage,
    count,
};

constexpr std::array<const char*, static_cast<int>(action_kind::count)> action_names = {
    "propose",      "propose_from_two", "propose_and_restart", "restart_agent", "link_fault",
    "engine_fault", "stall_rank",       "restart_engine",      "store_outage",
};

struct action {
    action_kind kind = action_kind::propose;
    int rank = 0;
    int other_rank = 0;
    int fault = 0;
};

std::ostream& operator<<(std::ostream& out, const action& shown)
{
    return out << action_names[static_cast<int>(shown.kind)] << " rank=" << shown.rank
               << " other=" << shown.other_rank << " fault=" << shown.fault;
}

rc::Gen<action> any_action()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(action_kind::count)),
                                       rc::gen::inRange(0, ranks), rc::gen::inRange(0, ranks),
                                       rc::gen::inRange(0, 12)),
                        [](const std::tuple<int, int, int, int>& drawn) {
                            return action{static_cast<action_kind>(std::get<0>(drawn)),
                                          std::get<1>(drawn), std::get<2>(drawn),
                                          std::get<3>(drawn)};
                        });
}

class fault_schedule {
public:
    fault_schedule(rank_group_agents& under_test, std::uint64_t map_seed)
        : group(under_test), next_map(map_seed)
    {
    }

    void run(const action& each)
    {
        switch (each.kind) {
        case action_kind::propose:
            return this->propose(each.rank);
        case action_kind::propose_from_two: {
            std::thread other([this, &each] { this->propose(each.other_rank); });
            this->propose(each.rank);
            return other.join();
        }
        case action_kind::propose_and_restart: {
            if (each.rank == each.other_rank) {
                return this->restart_agent(each.rank);
            }
            std::thread proposing([this, &each] { this->propose(each.rank); });
            this->restart_agent(each.other_rank);
            return proposing.join();
        }
        case action_kind::restart_agent:
            return this->restart_agent(each.rank);
        case action_kind::link_fault:
            return this->group.arm(
                each.rank, each.other_rank,
                {static_cast<link_fault_kind>(1 + each.fault % 5), 1 + each.fault});
        case action_kind::engine_fault:
            return this->break_engine(each);
        case action_kind::stall_rank:
            return this->group.engine_group().stall(each.rank, each.fault % 2 == 0);
        case action_kind::restart_engine:
            this->group.engine_group().kill(each.rank);
            return this->group.engine_group().start_again(each.rank);
        case action_kind::store_outage:
            return this->group.platform().set_outage(each.fault % 2 == 0 ? outage_mode::drop
                                                                         : outage_mode::none);
        case action_kind::count:
            return;
        }
    }

    void end_faults()
    {
        this->group.heal_links();
        this->group.platform().set_outage(outage_mode::none);
        for (int rank = 0; rank < ranks; ++rank) {
            this->group.engine_group().stall(rank, false);
        }
    }

    [[nodiscard]] bool commits_again()
    {
        const absl::Time deadline = absl::Now() + absl::Seconds(60);
        while (absl::Now() < deadline) {
            if (this->group.move(0, this->group.make_map(++this->next_map)).value_or(false)) {
                return true;
            }
        }
        return false;
    }

private:
    void propose(int rank) { (void)this->group.move(rank, this->group.make_map(++this->next_map)); }

    void restart_agent(int rank)
    {
        this->group.stop_agent(rank);
        this->group.start_agent(rank);
    }

    void break_engine(const action& drawn)
    {
        constexpr std::array<const char*, 4> orders = {"hold", "map", "release", "stage"};
        constexpr std::array<order_fault_kind, 3> kinds = {
            order_fault_kind::lose_answer, order_fault_kind::delay, order_fault_kind::drop};
        this->group.server().arm(drawn.rank, orders[drawn.fault % orders.size()],
                                 {kinds[drawn.other_rank % kinds.size()], 1 + drawn.fault % 3,
                                  absl::Milliseconds(drawn.fault % 2 == 0 ? 40 : 250)});
    }

    rank_group_agents& group;
    std::atomic<std::uint64_t> next_map;
};

void check_schedules(bool honours_fencing)
{
    rank_group_agents_options options;
    options.engines.ranks = ranks;
    options.engines.honours_fencing = honours_fencing;
    options.engine_timeout = absl::Milliseconds(150);
    // Short enough that the group often reaches the step before the outcome is known.
    options.proposer.margin = absl::Milliseconds(8);
    options.proposer.staging_timeout = absl::Seconds(1);
    options.proposer.vote_timeout = absl::Milliseconds(300);
    options.proposer.outcome_timeout = absl::Seconds(1);
    const auto group = rank_group_agents::create(options).value();
    std::uint64_t map_seed = 0;
    const bool held = rc::check("no schedule of faults splits or stops the group", [&] {
        const auto schedule =
            *rc::gen::resize(8, rc::gen::container<std::vector<action>>(any_action()));
        fault_schedule running(*group, map_seed += 1000);
        for (const action& each : schedule) {
            running.run(each);
        }
        running.end_faults();
        RC_ASSERT(group->wait_for_steps(10, absl::Now() + absl::Seconds(60)));
        RC_ASSERT(running.commits_again());
        RC_ASSERT(find_split_step(group->engine_group().ledger()) == std::nullopt);
    });
    EXPECT_TRUE(held);
    std::cout << "steps=" << group->engine_group().stats().steps
              << " epoch=" << group->engine_group().read(0)->current.epoch << std::endl;
}

TEST(map_schedule_test, engines_that_honour_fencing_numbers_run_on_one_map)
{
    check_schedules(true);
}

TEST(map_schedule_test, engines_that_ignore_fencing_numbers_run_on_one_map)
{
    check_schedules(false);
}

} // namespace
} // namespace sardinestream::experts
