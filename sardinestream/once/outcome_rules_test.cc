#include <gtest/gtest.h>

#include "sardinestream/once/outcome_rules.h"

namespace sardinestream::once {
namespace {

const binding bound{"agent-7", 41};

TEST(outcome_rules, classify_the_bound_incarnation_as_live)
{
    EXPECT_EQ(state_of_bound_agent(bound, {.live_incarnation = 41}), bound_agent_state::live);
}

TEST(outcome_rules, classify_a_slot_with_another_incarnation_as_gone)
{
    EXPECT_EQ(state_of_bound_agent(bound, {.live_incarnation = 42}), bound_agent_state::gone);
}

TEST(outcome_rules, classify_a_silent_agent_as_unreachable)
{
    EXPECT_EQ(state_of_bound_agent(bound, {}), bound_agent_state::unreachable);
}

TEST(outcome_rules, classify_a_silent_and_removed_agent_as_gone)
{
    EXPECT_EQ(state_of_bound_agent(bound, {std::nullopt, true}), bound_agent_state::gone);
}

TEST(outcome_rules, return_a_final_refusal_when_the_agent_is_gone)
{
    const refusal refused = refusal_of_bound_agent(bound, bound_agent_state::gone);
    EXPECT_EQ(refused.code, refusal_code::bound_agent_gone);
    EXPECT_EQ(refused.outcome, run_outcome::unknown);
    EXPECT_EQ(refused.retry_after, absl::ZeroDuration());
    EXPECT_EQ(refused.peer, "agent-7");
}

TEST(outcome_rules, return_a_retry_time_when_the_agent_is_unreachable)
{
    const refusal refused = refusal_of_bound_agent(bound, bound_agent_state::unreachable);
    EXPECT_EQ(refused.code, refusal_code::bound_agent_unreachable);
    EXPECT_EQ(refused.outcome, run_outcome::unknown);
    EXPECT_GT(refused.retry_after, absl::ZeroDuration());
}

TEST(outcome_rules, report_not_run_for_a_failed_bind_only_of_a_first_sending)
{
    const absl::Status failure = absl::UnavailableError("store out");
    EXPECT_EQ(refusal_of_failed_bind(failure, true).outcome, run_outcome::not_run);
    EXPECT_EQ(refusal_of_failed_bind(failure, false).outcome, run_outcome::unknown);
    EXPECT_GT(refusal_of_failed_bind(failure, true).retry_after, absl::ZeroDuration());
}

TEST(outcome_rules, report_ran_when_the_answer_was_evicted)
{
    EXPECT_EQ(refusal_of_decision(run_decision::answer_expired).outcome, run_outcome::ran);
}

TEST(outcome_rules, report_unknown_when_the_run_was_sent_and_lost)
{
    EXPECT_EQ(refusal_of_decision(run_decision::unknown).outcome, run_outcome::unknown);
    EXPECT_EQ(refusal_of_run_end(run_end::unknown).outcome, run_outcome::unknown);
}

TEST(outcome_rules, report_not_run_when_nothing_was_sent)
{
    EXPECT_EQ(refusal_of_decision(run_decision::table_full).outcome, run_outcome::not_run);
    EXPECT_EQ(refusal_of_decision(run_decision::not_found).outcome, run_outcome::not_run);
    EXPECT_EQ(refusal_of_run_end(run_end::not_sent).outcome, run_outcome::not_run);
}

TEST(outcome_rules, report_unknown_for_an_expired_ticket_and_not_run_for_a_forged_one)
{
    EXPECT_EQ(refusal_of_ticket(ticket_error::expired).outcome, run_outcome::unknown);
    EXPECT_EQ(refusal_of_ticket(ticket_error::forged).outcome, run_outcome::not_run);
}

} // namespace
} // namespace sardinestream::once
