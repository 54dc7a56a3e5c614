// What the ledger finds around planned stops and reloads, and what the rules excuse.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/testing/soak/promise_ledger_fixture.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;
using ::testing::AllOf;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::StartsWith;

using promise_ledger_stops_test = promise_ledger_test;

TEST_F(promise_ledger_stops_test, finds_a_request_lost_at_a_planned_stop)
{
    const sent_request request = this->send(soak_kind::non_idempotent);
    this->ledger.note_begun(make_run(request));
    this->ledger.note_planned_stop("entry");
    this->ledger.note_lost(request.id, "entry");
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, allows_a_loss_in_unplanned_trouble)
{
    const sent_request request = this->send(soak_kind::non_idempotent);
    this->ledger.note_begun(make_run(request));
    this->ledger.note_trouble(steady_clock::now());
    this->ledger.note_planned_stop("entry");
    this->ledger.note_lost(request.id, "entry");
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, finds_a_stream_cut_in_the_middle_at_a_planned_stop)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(),
                ElementsAre(AllOf(StartsWith("lost"), HasSubstr("log=entry.out"))));
}

TEST_F(promise_ledger_stops_test, finds_an_answer_that_was_reset_after_its_run)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_ended(request.id);
    this->ledger.note_lost(request.id, "entry", absl::UnavailableError("reset"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, finds_a_cut_until_the_end_of_a_stop)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_ended(request.id);
    pass(grace + milliseconds(20));
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, allows_a_cut_long_after_the_stop)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_ended(request.id);
    pass(grace + milliseconds(1020));
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, allows_a_cut_where_no_stop_was_planned)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_lost(request.id, "another entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, allows_a_cut_of_what_crossed_the_close_and_was_not_passed_on)
{
    const sent_request request = this->send(soak_kind::streaming);
    this->ledger.note_written(request.id);
    this->ledger.note_planned_stop("entry");
    this->ledger.note_lost(request.id, "entry", absl::UnavailableError("reset"));
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, finds_a_cut_of_what_was_not_passed_on_in_time)
{
    const sent_request request = this->send(soak_kind::streaming);
    this->ledger.note_written(request.id);
    pass(milliseconds(220));
    this->ledger.note_planned_stop("entry");
    this->ledger.note_lost(request.id, "entry", absl::UnavailableError("reset"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, a_slow_upload_is_young_until_its_last_byte)
{
    const sent_request request = this->send(soak_kind::streaming);
    pass(milliseconds(220));
    this->ledger.note_written(request.id);
    this->ledger.note_planned_stop("entry");
    this->ledger.note_lost(request.id, "entry", absl::UnavailableError("reset"));
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, allows_a_cut_of_a_run_that_its_server_broke_off)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_broke_off(request.id);
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, finds_a_cut_of_a_sound_run_behind_one_that_broke_off)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_broke_off(request.id);
    this->ledger.note_begun(make_run(request));
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, allows_a_cut_when_the_time_of_the_caller_is_up)
{
    sent_request request = make_request(soak_kind::streaming);
    request.timeout = milliseconds(30);
    this->ledger.note_sent(request);
    this->ledger.note_begun(make_run(request));
    this->ledger.note_planned_stop("entry");
    pass(milliseconds(40));
    this->ledger.note_lost(request.id, "entry", absl::DeadlineExceededError("late"));
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, allows_a_cut_of_a_run_in_the_last_sixth_of_the_grace)
{
    const sent_request request = this->begin_before_stop();
    pass(grace - milliseconds(10));
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    this->ledger.note_ended(request.id);
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, finds_a_cut_in_the_last_sixth_of_a_run_that_had_ended)
{
    const sent_request request = this->begin_before_stop();
    pass(milliseconds(60));
    this->ledger.note_ended(request.id);
    pass(milliseconds(50));
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, allows_a_cut_in_the_last_sixth_of_a_stop_beside_a_reload)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_planned_reload("entry");
    pass(grace - milliseconds(10));
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    this->ledger.note_ended(request.id);
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_stops_test, finds_a_cut_before_the_last_sixth_of_a_stop_beside_a_reload)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_planned_reload("entry");
    pass(grace / 2);
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, finds_a_cut_beside_a_reload_of_a_run_that_had_ended)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_planned_reload("entry");
    pass(milliseconds(60));
    this->ledger.note_ended(request.id);
    pass(milliseconds(50));
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, finds_a_late_cut_beside_a_reload_where_nothing_stops)
{
    const sent_request request = this->send(soak_kind::streaming);
    this->ledger.note_begun(make_run(request));
    this->ledger.note_planned_reload("entry");
    pass(grace - milliseconds(10));
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, finds_a_cut_by_a_planned_reload)
{
    const sent_request request = this->send(soak_kind::streaming);
    this->ledger.note_begun(make_run(request));
    this->ledger.note_planned_reload("entry");
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("lost")));
}

TEST_F(promise_ledger_stops_test, allows_a_cut_in_the_middle_in_unplanned_trouble)
{
    const sent_request request = this->begin_before_stop();
    this->ledger.note_trouble(steady_clock::now());
    this->ledger.note_lost(request.id, "entry", absl::DataLossError("cut"));
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

} // namespace
} // namespace sardinestream::testing
