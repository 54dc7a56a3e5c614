#include <gtest/gtest.h>

#include "sardinestream/backends/server_state.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

backend_server make_server()
{
    backend_server server;
    server.id = "one";
    server.data_centre = "a";
    server.slots = 12;
    return server;
}

class server_state_test : public testing::Test {
protected:
    [[nodiscard]] server_load load_at(steady_time now, int processes = 1) const
    {
        return this->state.load(12, load_view{"a", processes}, service_pace{20, 50}, now);
    }

    server_state state{make_server()};
    const steady_time start = steady_clock::now();
};

TEST_F(server_state_test, counts_own_requests_for_every_process_without_a_report)
{
    this->state.begin_attempt(this->start);
    this->state.begin_attempt(this->start);
    EXPECT_EQ(this->load_at(this->start, 4).occupancy, 8);
}

TEST_F(server_state_test, corrects_a_report_by_what_was_sent_since)
{
    server_report report;
    report.running = 5;
    report.waiting = 1;
    this->state.begin_attempt(this->start);
    this->state.apply_report(report, this->start);
    EXPECT_EQ(this->load_at(this->start).occupancy, 6);
    this->state.begin_attempt(this->start);
    EXPECT_EQ(this->load_at(this->start).occupancy, 7);
    this->state.end_attempt(attempt_result::succeeded, false, milliseconds(10), this->start);
    EXPECT_EQ(this->load_at(this->start).occupancy, 6);
}

// Entries that see the same free slot in a report must not all fill it.
TEST_F(server_state_test, counts_what_it_has_begun_for_every_process_if_asked_to)
{
    load_view view{"a", 6};
    view.counts_others = true;
    server_report report;
    report.running = 2;
    this->state.apply_report(report, this->start);
    const auto occupancy = [&] {
        return this->state.load(12, view, service_pace{20, 50}, this->start).occupancy;
    };
    EXPECT_EQ(occupancy(), 2);
    this->state.begin_attempt(this->start);
    EXPECT_EQ(occupancy(), 8);
    // The others never fill all that is free, so that one process alone can go on.
    this->state.begin_attempt(this->start);
    EXPECT_NEAR(occupancy(), 4 + 0.7 * 8, 1e-9);
    view.counts_others = false;
    EXPECT_EQ(occupancy(), 4);
}

TEST_F(server_state_test, is_as_slow_as_its_answers_by_comparison_with_the_quickest)
{
    this->state.begin_attempt(this->start);
    this->state.end_attempt(attempt_result::succeeded, false, milliseconds(60), this->start);
    EXPECT_DOUBLE_EQ(this->load_at(this->start).slowness, 3);
    const service_pace quick{0.05, 0};
    EXPECT_DOUBLE_EQ(this->state.load(12, load_view{"a"}, quick, this->start).slowness, 6);
}

// Guards against a server that gets no requests for seconds because it took a millisecond where
// others took less.
TEST_F(server_state_test, is_not_slow_by_a_few_milliseconds)
{
    const service_pace quick{0.05, 0};
    for (int answers = 0; answers < 5; ++answers) {
        this->state.begin_attempt(this->start);
        this->state.end_attempt(attempt_result::succeeded, false, milliseconds(9), this->start);
        EXPECT_EQ(this->state.load(12, load_view{"a"}, quick, this->start).slowness, 1);
    }
}

// If one rank of a group is slow, the steps of all its ranks take as long as its own.
TEST_F(server_state_test, is_as_slow_as_the_steps_of_its_group)
{
    server_report report;
    report.step_ms = 200;
    this->state.apply_report(report, this->start);
    EXPECT_EQ(this->load_at(this->start).slowness, 4);
    report.slowness = 3;
    this->state.apply_report(report, this->start);
    EXPECT_EQ(this->load_at(this->start).slowness, 12);
}

TEST_F(server_state_test, is_not_slow_while_its_engine_runs_no_steps)
{
    this->state.apply_report(server_report(), this->start);
    EXPECT_EQ(this->load_at(this->start).slowness, 1);
}

TEST_F(server_state_test, reports_why_it_is_not_used)
{
    const load_view view{"a", 1};
    EXPECT_EQ(this->state.usage_status(view, this->start), "yes");
    server_report broken;
    broken.group_broken = true;
    this->state.apply_report(broken, this->start);
    EXPECT_EQ(this->state.usage_status(view, this->start), "no: group broken");
    EXPECT_EQ(this->state.usage_status(view, this->start + milliseconds(600)),
              "last: agent silent");
    this->state.begin_attempt(this->start);
    this->state.end_attempt(attempt_result::unreachable, false, milliseconds(1), this->start);
    EXPECT_EQ(this->state.usage_status(view, this->start), "no: left alone after a failure");
    this->state.mark_leaving();
    EXPECT_EQ(this->state.usage_status(view, this->start), "no: leaving");
}

TEST_F(server_state_test, gets_no_requests_while_it_holds_off)
{
    this->state.begin_hold_off(this->start + milliseconds(1000), milliseconds(0));
    EXPECT_FALSE(this->load_at(this->start + milliseconds(999)).available);
    EXPECT_EQ(this->state.usage_status(load_view{"a", 1}, this->start), "no: holds off");
    EXPECT_TRUE(this->load_at(this->start + milliseconds(1000)).available);
}

TEST_F(server_state_test, a_refusal_during_a_hold_off_is_not_a_failure)
{
    this->state.begin_attempt(this->start);
    this->state.begin_hold_off(this->start + milliseconds(10), milliseconds(0));
    this->state.end_attempt(attempt_result::refused, false, milliseconds(1), this->start);
    EXPECT_FALSE(this->state.is_excluded(this->start + milliseconds(1)));
    EXPECT_EQ(this->load_at(this->start + milliseconds(20)).failure_share, 0);
    EXPECT_TRUE(this->load_at(this->start + milliseconds(20)).available);
}

TEST_F(server_state_test, is_out_from_its_first_refusal_until_it_accepts_a_request)
{
    const load_view view{"a", 1};
    const auto refuse = [this](steady_time at) {
        this->state.begin_attempt(at);
        this->state.end_attempt(attempt_result::refused, false, milliseconds(1), at);
    };
    EXPECT_FALSE(this->state.outage(view, this->start).has_value());
    refuse(this->start);
    refuse(this->start + milliseconds(500));
    const std::optional<server_outage> outage =
        this->state.outage(view, this->start + milliseconds(600));
    ASSERT_TRUE(outage.has_value());
    EXPECT_EQ(outage->since, this->start);
    EXPECT_EQ(outage->last_seen, this->start + milliseconds(500));
    EXPECT_FALSE(this->state.outage(view, this->start + milliseconds(5500)).has_value());
    this->state.begin_attempt(this->start + milliseconds(600));
    this->state.note_accepted();
    EXPECT_FALSE(this->state.outage(view, this->start + milliseconds(600)).has_value());
}

// A server that refuses requests while it works on accepted ones is full, not out of service.
TEST_F(server_state_test, serves_while_it_works_on_what_it_has_accepted)
{
    const load_view view{"a", 1};
    this->state.begin_attempt(this->start);
    this->state.note_accepted();
    this->state.begin_attempt(this->start);
    this->state.end_attempt(attempt_result::refused, false, milliseconds(1), this->start);
    EXPECT_FALSE(this->state.outage(view, this->start).has_value());
    this->state.end_attempt(attempt_result::unreachable, true, milliseconds(1), this->start);
    EXPECT_TRUE(this->state.outage(view, this->start).has_value());
}

TEST_F(server_state_test, is_out_while_its_agent_reports_a_broken_group)
{
    const load_view view{"a", 1};
    server_report broken;
    broken.group_broken = true;
    this->state.apply_report(broken, this->start);
    this->state.apply_report(broken, this->start + milliseconds(100));
    const std::optional<server_outage> outage =
        this->state.outage(view, this->start + milliseconds(150));
    ASSERT_TRUE(outage.has_value());
    EXPECT_TRUE(outage->group_broken);
    EXPECT_EQ(outage->since, this->start);
    EXPECT_EQ(outage->last_seen, this->start + milliseconds(100));
    EXPECT_FALSE(this->state.can_be_probed(view, this->start + milliseconds(150)));
    this->state.apply_report(server_report(), this->start + milliseconds(200));
    EXPECT_FALSE(this->state.outage(view, this->start + milliseconds(200)).has_value());
}

TEST_F(server_state_test, ignores_an_expired_report)
{
    server_report report;
    report.running = 9;
    this->state.apply_report(report, this->start);
    EXPECT_EQ(this->load_at(this->start + milliseconds(2000)).occupancy, 0);
}

TEST_F(server_state_test, counts_as_slow_while_its_agent_is_silent)
{
    this->state.apply_report(server_report(), this->start);
    EXPECT_EQ(this->load_at(this->start + milliseconds(200)).slowness, 1);
    EXPECT_GT(this->load_at(this->start + milliseconds(500)).slowness, 2);
    EXPECT_TRUE(this->load_at(this->start + milliseconds(500)).available);
}

TEST_F(server_state_test, is_excluded_for_longer_with_each_failure_to_reach_it)
{
    this->state.begin_attempt(this->start);
    this->state.end_attempt(attempt_result::unreachable, false, milliseconds(0), this->start);
    EXPECT_FALSE(this->load_at(this->start + milliseconds(200)).available);
    EXPECT_TRUE(this->load_at(this->start + milliseconds(300)).available);
    this->state.begin_attempt(this->start);
    this->state.end_attempt(attempt_result::unreachable, false, milliseconds(0), this->start);
    EXPECT_FALSE(this->load_at(this->start + milliseconds(300)).available);
}

TEST_F(server_state_test, failures_decay_so_that_a_recovered_server_is_tried_again)
{
    for (int i = 0; i < 10; ++i) {
        this->state.begin_attempt(this->start);
        this->state.end_attempt(attempt_result::failed, false, milliseconds(10), this->start);
    }
    EXPECT_GT(this->load_at(this->start).failure_share, 0.8);
    EXPECT_LT(this->load_at(this->start + std::chrono::seconds(9)).failure_share, 0.2);
}

TEST_F(server_state_test, an_abandoned_attempt_does_not_count_as_a_failure)
{
    this->state.begin_attempt(this->start);
    this->state.end_attempt(attempt_result::abandoned, false, milliseconds(10), this->start);
    EXPECT_EQ(this->load_at(this->start).failure_share, 0);
    EXPECT_EQ(this->load_at(this->start).occupancy, 0);
}

TEST_F(server_state_test, a_broken_group_gets_no_requests)
{
    server_report report;
    report.group_broken = true;
    this->state.apply_report(report, this->start);
    EXPECT_FALSE(this->load_at(this->start).available);
}

} // namespace
} // namespace sardinestream
