// Tests the vote on expert maps with real voters, real links and stand-in engines.

#include <gtest/gtest.h>

#include "sardinestream/testing/rank_group_agents.h"

namespace sardinestream::experts {
namespace {

using ::sardinestream::testing::find_split_step;
using ::sardinestream::testing::link_fault_kind;
using ::sardinestream::testing::order_fault_kind;
using ::sardinestream::testing::outage_mode;
using ::sardinestream::testing::rank_group_agents;
using ::sardinestream::testing::rank_group_agents_options;

absl::Time soon()
{
    return absl::Now() + absl::Seconds(40);
}

class map_vote_test : public ::testing::Test {
protected:
    void start(rank_group_agents_options options = {})
    {
        this->group = rank_group_agents::create(options).value();
        ASSERT_TRUE(this->group->wait_for_steps(5, soon()));
    }

    // Proposes new maps until one is committed. The group must be able to do so after any fault.
    [[nodiscard]] bool commits_again(int proposer)
    {
        const absl::Time deadline = soon();
        for (std::uint64_t seed = 1000; absl::Now() < deadline; ++seed) {
            if (this->group->move(proposer, this->group->make_map(seed)).value_or(false)) {
                return true;
            }
        }
        return false;
    }

    void expect_progress_on_one_map()
    {
        EXPECT_TRUE(this->group->wait_for_steps(20, soon()));
        EXPECT_EQ(find_split_step(this->group->engine_group().ledger()), std::nullopt);
    }

    [[nodiscard]] std::uint64_t epoch_of(int rank)
    {
        const auto seen = this->group->engine_group().read(rank);
        return seen.ok() ? (seen->due.has_value() ? seen->due->epoch : seen->current.epoch) : 0;
    }

    // Returns a proposal for epoch 2 at a distant step, whose map is staged at `rank`. It names
    // `agent_incarnation` as the incarnation of that rank's agent.
    [[nodiscard]] map_proposalT stage_proposal(int rank, std::uint64_t agent_incarnation)
    {
        map_proposalT proposal;
        proposal.id = 77;
        proposal.group = this->group->agent(rank).voter().options().group;
        proposal.group_incarnation = this->group->engine_group().read(rank)->group_incarnation;
        proposal.agent_incarnations.assign(4, 1);
        proposal.agent_incarnations[rank] = agent_incarnation;
        proposal.hold_step = 1U << 30;
        proposal.map = std::make_unique<expert_mapT>(this->group->make_map(1));
        proposal.map->epoch = 2;
        map_stageT order;
        order.group = proposal.group;
        order.group_incarnation = proposal.group_incarnation;
        order.map = std::make_unique<expert_mapT>(*proposal.map);
        EXPECT_TRUE(this->group->agent(rank).voter().stage(order, soon()).ok());
        return proposal;
    }

    std::unique_ptr<rank_group_agents> group;
};

TEST_F(map_vote_test, a_group_forms_and_runs_on_one_map)
{
    this->start();
    this->expect_progress_on_one_map();
}

TEST_F(map_vote_test, all_ranks_change_the_map_at_the_same_step)
{
    this->start();
    EXPECT_TRUE(this->group->move(0, this->group->make_map(1)).value());
    EXPECT_TRUE(this->group->move(0, this->group->make_map(2)).value());
    this->expect_progress_on_one_map();
    for (int rank = 0; rank < 4; ++rank) {
        EXPECT_EQ(this->epoch_of(rank), 3U);
    }
}

TEST_F(map_vote_test, any_rank_may_propose)
{
    this->start();
    EXPECT_TRUE(this->group->move(2, this->group->make_map(1)).value());
    this->expect_progress_on_one_map();
}

TEST_F(map_vote_test, an_engine_that_refuses_the_hold_aborts_the_map)
{
    this->start();
    this->group->server().arm(3, "hold", {order_fault_kind::drop, 1, absl::ZeroDuration()});
    EXPECT_FALSE(this->group->move(0, this->group->make_map(1)).value());
    this->expect_progress_on_one_map();
    EXPECT_EQ(this->epoch_of(0), 1U);
    EXPECT_TRUE(this->commits_again(0));
}

TEST_F(map_vote_test, a_hold_that_is_carried_out_late_is_released)
{
    this->start();
    this->group->server().arm(3, "hold", {order_fault_kind::delay, 1, absl::Seconds(1)});
    EXPECT_FALSE(this->group->move(0, this->group->make_map(1)).value());
    this->expect_progress_on_one_map();
    EXPECT_TRUE(this->commits_again(0));
    this->expect_progress_on_one_map();
}

TEST_F(map_vote_test, lost_engine_answers_do_not_affect_the_outcome)
{
    this->start();
    for (const char* order : {"map", "release"}) {
        this->group->server().arm(1, order,
                                  {order_fault_kind::lose_answer, 1, absl::ZeroDuration()});
    }
    EXPECT_TRUE(this->group->move(0, this->group->make_map(1)).value());
    this->expect_progress_on_one_map();
}

TEST_F(map_vote_test, votes_reach_ranks_that_the_proposer_cannot_reach)
{
    this->start();
    // Answers to the proposer are lost; the other ranks receive each other's votes.
    for (int rank = 1; rank < 4; ++rank) {
        this->group->arm(0, rank, {link_fault_kind::lose_answer, 100});
    }
    (void)this->group->move(0, this->group->make_map(1));
    this->expect_progress_on_one_map();
}

TEST_F(map_vote_test, a_rank_without_the_proposal_votes_no_when_queried)
{
    this->start();
    // Rank 3 stages the map but does not receive the proposal; the other ranks hold and query it.
    this->group->arm(
        0, 3, {link_fault_kind::drop, 1000, absl::ZeroDuration(), {wire::frame_type::map_propose}});
    EXPECT_FALSE(this->group->move(0, this->group->make_map(1)).value());
    this->expect_progress_on_one_map();
    EXPECT_EQ(this->epoch_of(1), 1U);
    this->group->heal_links();
    EXPECT_TRUE(this->commits_again(0));
}

TEST_F(map_vote_test, a_restarted_proposer_recovers_its_vote_from_the_engine)
{
    rank_group_agents_options options;
    options.proposer.vote_timeout = absl::Milliseconds(200);
    options.proposer.outcome_timeout = absl::Milliseconds(200);
    this->start(options);
    // Only rank 0 holds, and its queries are lost, so its engine remains held.
    for (int rank = 1; rank < 4; ++rank) {
        this->group->arm(0, rank,
                         {link_fault_kind::drop,
                          1000,
                          absl::ZeroDuration(),
                          {wire::frame_type::map_propose, wire::frame_type::map_query}});
    }
    EXPECT_FALSE(this->group->move(0, this->group->make_map(1)).ok());
    EXPECT_TRUE(this->group->engine_group().read(0)->hold.has_value());
    this->group->stop_agent(0);
    this->group->heal_links();
    this->group->start_agent(0);
    this->expect_progress_on_one_map();
    EXPECT_TRUE(this->commits_again(1));
    this->expect_progress_on_one_map();
}

TEST_F(map_vote_test, concurrent_proposals_commit_at_most_one_map)
{
    this->start();
    std::thread other([this] { (void)this->group->move(3, this->group->make_map(2)); });
    (void)this->group->move(0, this->group->make_map(1));
    other.join();
    this->expect_progress_on_one_map();
    EXPECT_TRUE(this->commits_again(0));
    this->expect_progress_on_one_map();
}

TEST_F(map_vote_test, a_restarted_agent_recovers_its_vote_from_the_engine)
{
    this->start();
    for (int round = 0; round < 3; ++round) {
        std::thread proposing(
            [this, round] { (void)this->group->move(0, this->group->make_map(round)); });
        this->group->stop_agent(2);
        this->group->start_agent(2);
        proposing.join();
        this->expect_progress_on_one_map();
    }
    EXPECT_TRUE(this->commits_again(0));
}

TEST_F(map_vote_test, a_vote_never_changes)
{
    this->start();
    map_voter& voter = this->group->agent(2).voter();
    const map_proposalT proposal = this->stage_proposal(2, voter.options().agent_incarnation);
    EXPECT_EQ(voter.answer_query(proposal).choice, vote_choice::no);
    EXPECT_EQ(voter.vote_on(proposal).choice, vote_choice::no);
    EXPECT_FALSE(this->group->engine_group().read(2)->hold.has_value());
}

TEST_F(map_vote_test, a_process_that_the_proposal_does_not_name_votes_no)
{
    this->start();
    map_voter& voter = this->group->agent(2).voter();
    const map_proposalT proposal = this->stage_proposal(2, voter.options().agent_incarnation + 1);
    EXPECT_EQ(voter.vote_on(proposal).reason, "incarnation_not_named");
    EXPECT_EQ(voter.answer_query(proposal).choice, vote_choice::no);
}

TEST_F(map_vote_test, a_proposal_of_an_earlier_group_incarnation_is_not_voted_on)
{
    this->start();
    map_voter& voter = this->group->agent(2).voter();
    map_proposalT proposal = this->stage_proposal(2, voter.options().agent_incarnation);
    proposal.group_incarnation -= 1;
    EXPECT_EQ(voter.vote_on(proposal).choice, vote_choice::undecided);
    EXPECT_FALSE(this->group->engine_group().read(2)->hold.has_value());
}

// Ranks 0 and 1 commit after rank 2's yes, which rank 3 does not receive. Rank 2's agent restarts
// before its engine has the map, so rank 3 can learn of the vote only from the new process.
TEST_F(map_vote_test, a_restarted_agent_keeps_the_yes_of_its_predecessor)
{
    rank_group_agents_options options;
    options.proposer.margin = absl::Milliseconds(300);
    this->start(options);
    this->group->server().arm(2, "map", {order_fault_kind::drop, 100000, absl::ZeroDuration()});
    const auto drop = [this](int from, int to, wire::frame_type type) {
        this->group->arm(from, to, {link_fault_kind::drop, 100000, absl::ZeroDuration(), {type}});
    };
    drop(0, 3, wire::frame_type::map_outcome);
    drop(2, 3, wire::frame_type::map_vote);
    for (int rank = 0; rank < 3; ++rank) {
        drop(3, rank, wire::frame_type::map_query);
    }
    ASSERT_TRUE(this->group->move(0, this->group->make_map(1)).value());
    this->group->stop_agent(2);
    this->group->start_agent(2);
    this->group->server().arm(2, "map", {});
    this->group->arm(3, 2, {});
    EXPECT_TRUE(this->group->wait_for_steps(1000, soon())); // well past the map's first step
    this->group->heal_links();
    this->expect_progress_on_one_map();
    for (int rank = 0; rank < 4; ++rank) {
        EXPECT_EQ(this->epoch_of(rank), 2U);
    }
}

TEST_F(map_vote_test, a_group_runs_and_changes_maps_during_a_store_outage)
{
    this->start();
    this->group->platform().set_outage(outage_mode::hang);
    EXPECT_TRUE(this->group->move(0, this->group->make_map(1)).value());
    this->expect_progress_on_one_map();
    this->group->stop_agent(1);
    this->group->start_agent(1);
    EXPECT_TRUE(this->commits_again(0));
    this->expect_progress_on_one_map();
    this->group->platform().set_outage(outage_mode::none);
}

TEST_F(map_vote_test, a_restarted_engine_causes_a_new_group_incarnation)
{
    this->start();
    EXPECT_TRUE(this->group->move(0, this->group->make_map(1)).value());
    this->group->engine_group().kill(2);
    this->group->engine_group().start_again(2);
    this->expect_progress_on_one_map();
    EXPECT_EQ(this->group->engine_group().read(0)->group_incarnation, 2U);
    EXPECT_TRUE(this->commits_again(3));
    this->expect_progress_on_one_map();
}

TEST_F(map_vote_test, a_group_forms_although_the_answer_to_its_write_is_lost)
{
    this->start();
    this->group->platform().lose_answers("PUT", rank_group_kind, 1);
    this->group->engine_group().kill(1);
    this->group->engine_group().start_again(1);
    this->expect_progress_on_one_map();
}

} // namespace
} // namespace sardinestream::experts
