// Tests the versions that a coordinator chooses for its plans.

#include <gtest/gtest.h>

#include "sardinestream/maps/map_coordinator.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr map_shape shape = {.sets = 1, .ranks = 4, .experts = 8, .max_experts_per_rank = 4};
constexpr int most_rounds = 200;

// Returns the state of a rank under the initial map, with most requests on the experts of rank 0.
rank_state make_state(int rank, const prepare_record& prepares)
{
    const expert_map map = initial_map(shape);
    rank_state state;
    state.rank = rank;
    state.prepares = prepares;
    for (int set = 0; set < shape.sets; ++set) {
        state.experts.push_back(map.experts_of(set, rank));
    }
    for (int expert = 0; expert < shape.experts; ++expert) {
        state.counts.push_back(map.holds(0, 0, expert) ? 900 : 10);
    }
    return state;
}

// Returns the version of the first plan of a coordinator whose ranks report these records; zero if
// it plans nothing.
std::int64_t first_planned_version(const std::vector<prepare_record>& records, bool stops = false)
{
    coordinator_options options;
    options.shape = shape;
    map_coordinator coordinator(options);
    if (stops) {
        coordinator.begin_nothing();
    }
    steady_time now = steady_clock::now();
    for (int round = 0; round < most_rounds; ++round) {
        now += milliseconds(100);
        for (int rank = 0; rank < shape.ranks; ++rank) {
            coordinator.update_rank_state(make_state(rank, records[static_cast<std::size_t>(rank)]),
                                          now);
        }
        for (const rank_order& order : coordinator.next_orders(now)) {
            if (order.kind == order_kind::prepare) {
                return order.version;
            }
        }
    }
    return 0;
}

engine_order prepare_order(std::int64_t version)
{
    engine_order order;
    order.version = version;
    return order;
}

// The highest version that an agent may draw for its own engine in an idle group.
const std::int64_t highest_draw = version_after(0, ~std::uint64_t{0});

// Guards against a group that stands for good: an order to prepare that got no answer is carried
// out seconds later, and discards the map for which all other ranks are armed.
TEST(map_coordinator, plans_above_every_version_that_an_engine_may_still_prepare)
{
    std::vector<prepare_record> records(shape.ranks);
    const std::int64_t unanswered = version_after(highest_draw, ~std::uint64_t{0});
    records[1].record_outcome(prepare_order(unanswered), order_outcome::no_answer);
    const std::int64_t planned = first_planned_version(records);
    ASSERT_GT(planned, 0);
    EXPECT_GT(planned, unanswered);
}

// Guards against the same with an agent that has restarted and forgotten the order.
TEST(map_coordinator, plans_above_the_versions_that_agents_draw_for_their_own_engines)
{
    const std::int64_t planned = first_planned_version(std::vector<prepare_record>(shape.ranks));
    ASSERT_GT(planned, 0);
    EXPECT_GT(planned, highest_draw);
}

TEST(map_coordinator, plans_nothing_while_it_stops)
{
    EXPECT_EQ(first_planned_version(std::vector<prepare_record>(shape.ranks), true), 0);
}

TEST(prepare_record, keeps_the_newest_version_sent_whatever_the_answer)
{
    prepare_record record;
    record.record_outcome(prepare_order(5), order_outcome::no_answer);
    record.record_outcome(prepare_order(3), order_outcome::accepted);
    EXPECT_EQ(record.sent, 5);
    EXPECT_EQ(record.accepted, 3);
    EXPECT_EQ(record.newest(), 5);
}

} // namespace
} // namespace sardinestream
