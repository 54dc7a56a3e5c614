#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/testing/emulator/rank_group.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class rank_group_test : public ::testing::Test {
protected:
    static steady_time soon() { return steady_clock::now() + milliseconds(2000); }

    // The first map with one more copy of an expert on the last rank.
    [[nodiscard]] json next_map() const
    {
        json sets = json::array();
        for (int set = 0; set < this->options.shape.sets; ++set) {
            json ranks = json::array();
            for (int rank = 0; rank < this->options.shape.ranks; ++rank) {
                ranks.push_back(json::array());
            }
            for (int expert = 0; expert < this->options.shape.experts; ++expert) {
                ranks[static_cast<std::size_t>(expert % this->options.shape.ranks)].push_back(
                    expert);
            }
            ranks.back().push_back(0);
            sets.push_back(ranks);
        }
        return sets;
    }

    void prepare_all(std::int64_t version)
    {
        for (int rank = 0; rank < this->options.shape.ranks; ++rank) {
            EXPECT_EQ(this->group.order(rank, {{"operation", "prepare"},
                                               {"version", version},
                                               {"epoch", 1},
                                               {"map", this->next_map()}}),
                      202);
        }
        std::this_thread::sleep_for(milliseconds(100));
    }

    int arm(int rank, std::int64_t version, std::int64_t step)
    {
        return this->group.order(rank,
                                 {{"operation", "arm"}, {"version", version}, {"step", step}});
    }

    rank_group_options options{.name = "g"};
    std::vector<std::string> mixed;
    rank_group group{options, [this](const std::string& what) { this->mixed.push_back(what); }};
};

TEST_F(rank_group_test, an_idle_group_makes_no_passes)
{
    std::this_thread::sleep_for(milliseconds(50));
    EXPECT_EQ(this->group.passes(), 0);
    rank_group::stream stream(this->group, 0);
    EXPECT_TRUE(stream.wait_for_pass(soon()));
}

TEST_F(rank_group_test, holds_a_pass_until_it_is_released)
{
    const json held = {{"operation", "hold"}, {"step", 3}};
    EXPECT_EQ(this->group.order(1, held), 202);
    rank_group::stream stream(this->group, 0);
    while (stream.wait_for_pass(steady_clock::now() + milliseconds(100))) {
    }
    EXPECT_EQ(this->group.passes(), 2);
    EXPECT_EQ(this->group.order(1, {{"operation", "go"}, {"step", 3}}), 200);
    EXPECT_TRUE(stream.wait_for_pass(soon()));
}

TEST_F(rank_group_test, uses_a_map_from_the_armed_pass_on)
{
    this->prepare_all(5);
    for (int rank = 0; rank < this->options.shape.ranks; ++rank) {
        EXPECT_EQ(this->arm(rank, 5, 2), 202);
    }
    rank_group::stream stream(this->group, 0);
    while (this->group.passes() < 2) {
        ASSERT_TRUE(stream.wait_for_pass(soon()));
    }
    EXPECT_EQ(this->group.map_version(), 5);
    EXPECT_TRUE(this->mixed.empty());
}

TEST_F(rank_group_test, tells_of_a_pass_with_two_maps)
{
    this->prepare_all(5);
    EXPECT_EQ(this->arm(0, 5, 1), 202);
    rank_group::stream stream(this->group, 0);
    ASSERT_TRUE(stream.wait_for_pass(soon()));
    EXPECT_FALSE(this->mixed.empty());
}

TEST_F(rank_group_test, refuses_to_arm_what_is_not_prepared_or_has_begun)
{
    EXPECT_EQ(this->arm(0, 5, 9), 409);
    this->prepare_all(5);
    EXPECT_EQ(this->arm(0, 5, 0), 409);
}

TEST_F(rank_group_test, a_returned_rank_forms_a_new_epoch_with_the_first_map)
{
    this->prepare_all(5);
    this->group.end_rank(2);
    EXPECT_FALSE(this->group.is_open());
    this->group.return_rank(2);
    std::this_thread::sleep_for(this->options.form_time + milliseconds(20));
    EXPECT_TRUE(this->group.is_open());
    EXPECT_EQ(this->group.report(0)["group"]["epoch"], 2);
    EXPECT_FALSE(this->group.report(0).contains("prepared"));
    EXPECT_EQ(this->group.order(0, {{"operation", "hold"}, {"step", 9}, {"epoch", 1}}), 409);
}

TEST_F(rank_group_test, all_ranks_wait_for_a_slow_one)
{
    constexpr double slowness = 10;
    this->group.set_slowness(1, slowness);
    rank_group::stream stream(this->group, 0);
    EXPECT_TRUE(stream.wait_for_pass(soon()));
    const steady_time begun = steady_clock::now();
    EXPECT_TRUE(stream.wait_for_pass(soon()));
    EXPECT_TRUE(stream.wait_for_pass(soon()));
    EXPECT_GT(steady_clock::now() - begun, this->options.pass_time * slowness);
}

TEST_F(rank_group_test, passes_are_late_until_the_time_that_was_set)
{
    const steady_time until = steady_clock::now() + milliseconds(200);
    this->group.delay_passes(until);
    rank_group::stream stream(this->group, 0);
    EXPECT_TRUE(stream.wait_for_pass(soon()));
    EXPECT_GE(steady_clock::now(), until);
}

} // namespace
} // namespace sardinestream::testing
