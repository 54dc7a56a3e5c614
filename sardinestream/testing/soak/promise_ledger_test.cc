// Each broken promise is found: the ledger is shown one run that breaks it.

#include <string>
#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/testing/soak/promise_ledger_fixture.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::StartsWith;

TEST_F(promise_ledger_test, keeps_quiet_about_a_request_that_ran_once)
{
    const sent_request request = this->send(soak_kind::non_idempotent);
    this->ledger.note_begun(make_run(request));
    this->ledger.note_answer(request.id, 200);
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_test, finds_a_run_that_nobody_asked_for)
{
    this->ledger.note_begun(make_run(make_request(soak_kind::idempotent)));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("unasked")));
}

TEST_F(promise_ledger_test, finds_a_body_that_was_changed)
{
    begun_run run = make_run(this->send(soak_kind::idempotent));
    run.body = "fifty";
    this->ledger.note_begun(run);
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("unasked")));
}

TEST_F(promise_ledger_test, finds_a_run_for_another_team)
{
    begun_run run = make_run(this->send(soak_kind::idempotent));
    run.team = "sleman";
    this->ledger.note_begun(run);
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("unasked")));
}

TEST_F(promise_ledger_test, finds_a_second_run_of_what_must_run_once)
{
    const sent_request request = this->send(soak_kind::non_idempotent);
    this->ledger.note_begun(make_run(request));
    this->ledger.note_begun(make_run(request));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("twice")));
}

TEST_F(promise_ledger_test, finds_more_servers_than_the_route_allows)
{
    const sent_request request = this->send(soak_kind::idempotent);
    for (int i = 0; i < 3; ++i) {
        this->ledger.note_begun(make_run(request));
    }
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("attempts")));
}

TEST_F(promise_ledger_test, finds_a_refusal_of_what_runs_later)
{
    const sent_request request = this->send(soak_kind::idempotent);
    this->ledger.note_answer(request.id, 503);
    this->ledger.note_begun(make_run(request));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("refused")));
}

TEST_F(promise_ledger_test, finds_the_wrong_service)
{
    begun_run run = make_run(this->send(soak_kind::idempotent));
    run.service = "till-b";
    this->ledger.note_begun(run);
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("route")));
}

TEST_F(promise_ledger_test, finds_a_run_where_the_route_led_long_ago)
{
    this->ledger.note_config("till-a");
    this->ledger.note_config("till-b");
    std::this_thread::sleep_for(milliseconds(40));
    sent_request request = make_request(soak_kind::idempotent);
    request.service.clear();
    this->ledger.note_sent(request);
    this->ledger.note_begun(make_run(request));
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("config")));
}

TEST_F(promise_ledger_test, allows_either_service_right_after_a_change)
{
    this->ledger.note_config("till-a");
    std::this_thread::sleep_for(milliseconds(40));
    this->ledger.note_config("till-b");
    sent_request request = make_request(soak_kind::idempotent);
    request.service.clear();
    this->ledger.note_sent(request);
    this->ledger.note_begun(make_run(request));
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_test, finds_servers_that_work_on_after_their_callers_have_left)
{
    std::vector<std::string> ids;
    for (int i = 0; i < 4; ++i) {
        sent_request request = make_request(soak_kind::streaming);
        request.id += std::to_string(i);
        this->ledger.note_sent(request);
        this->ledger.note_begun(make_run(request));
        this->ledger.note_left(request.id);
        ids.push_back(request.id);
    }
    std::this_thread::sleep_for(milliseconds(600));
    for (const std::string& id : ids) {
        this->ledger.note_ended(id);
    }
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("left")));
}

TEST_F(promise_ledger_test, finds_more_arrivals_than_the_budget_allows)
{
    const sent_request request = this->send(soak_kind::idempotent);
    for (int i = 0; i < 4; ++i) {
        this->ledger.note_arrival(request.id, "till-a", "i-1");
    }
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("budget")));
}

// Guards against a budget that counts only the requests that reached a server.
TEST_F(promise_ledger_test, requests_that_never_arrive_count_for_the_budget)
{
    const sent_request request = this->send(soak_kind::idempotent);
    for (int i = 0; i < 4; ++i) {
        this->ledger.note_arrival(request.id, "till-a", "i-1");
    }
    for (int i = 0; i < 9; ++i) {
        sent_request refused = make_request(soak_kind::idempotent);
        refused.id = absl::StrCat("refused-", i);
        refused.service = i == 0 ? "" : "till-a";
        this->ledger.note_config("till-a");
        this->ledger.note_sent(refused);
    }
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

// Guards against a budget of one service that requests for another one fill.
TEST_F(promise_ledger_test, requests_for_another_service_do_not_count_for_the_budget)
{
    const sent_request request = this->send(soak_kind::idempotent);
    for (int i = 0; i < 4; ++i) {
        this->ledger.note_arrival(request.id, "till-a", "i-1");
    }
    for (int i = 0; i < 9; ++i) {
        sent_request other = make_request(soak_kind::idempotent);
        other.id = absl::StrCat("other-", i);
        other.service = "till-b";
        this->ledger.note_sent(other);
    }
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("budget: till-a got 2")));
}

TEST_F(promise_ledger_test, finds_a_request_at_a_server_long_after_it_said_that_it_leaves)
{
    const sent_request first = this->send(soak_kind::idempotent);
    this->ledger.note_leaving_said(first.id, "i-1");
    this->ledger.note_answer(first.id, 200);
    this->reach("soon");
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
    std::this_thread::sleep_for(milliseconds(40));
    this->reach("late");
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("leaving: late")));
}

TEST_F(promise_ledger_test, asks_nothing_of_an_entry_that_has_started_again)
{
    const sent_request first = this->send(soak_kind::idempotent);
    this->ledger.note_leaving_said(first.id, "i-1");
    this->ledger.note_answer(first.id, 200);
    this->ledger.note_entry_restart(first.entry);
    std::this_thread::sleep_for(milliseconds(40));
    this->reach("late");
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_test, finds_the_third_request_at_a_server_that_holds_off)
{
    const sent_request first = this->send(soak_kind::idempotent);
    this->ledger.note_hold_off_said(first.id, "i-1", steady_clock::now() + std::chrono::seconds(5));
    this->reach("on-its-way");
    std::this_thread::sleep_for(milliseconds(520));
    this->reach("one");
    this->reach("two");
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
    this->reach("three");
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("hold_off: three")));
}

TEST_F(promise_ledger_test, finds_an_excess_over_the_rate_that_a_server_names)
{
    const sent_request first = this->send(soak_kind::idempotent);
    this->ledger.note_limit_said(first.id, "i-1", 0.5, far_future());
    for (const char* const id : {"1", "2", "3", "4", "5", "6", "7", "8", "9"}) {
        this->reach(absl::StrCat("early", id));
    }
    std::this_thread::sleep_for(milliseconds(520));
    for (const char* const id : {"1", "2", "3", "4", "5", "6", "7", "8"}) {
        this->reach(id);
    }
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
    this->reach("9");
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("limit: 9")));
}

TEST_F(promise_ledger_test, a_rate_binds_no_longer_than_the_server_names_it)
{
    this->ledger.note_limit_said(this->send(soak_kind::idempotent).id, "i-1", 0,
                                 steady_clock::now() + milliseconds(520));
    std::this_thread::sleep_for(milliseconds(560));
    for (const char* const id : {"1", "2", "3", "4", "5", "6", "7"}) {
        this->reach(id);
    }
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_test, an_entry_that_starts_again_does_not_know_a_rate)
{
    this->ledger.note_limit_said(this->send(soak_kind::idempotent).id, "i-1", 0, far_future());
    std::this_thread::sleep_for(milliseconds(520));
    this->ledger.note_entry_restart("");
    std::this_thread::sleep_for(milliseconds(60));
    for (const char* const id : {"1", "2", "3", "4", "5", "6", "7"}) {
        this->reach(id);
    }
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
}

TEST_F(promise_ledger_test, finds_requests_that_go_on_crashing_servers)
{
    const auto arrive = [this](const std::string& id) {
        sent_request request = make_request(soak_kind::streaming);
        request.id = id;
        request.crashes_servers = true;
        this->ledger.note_sent(request);
        this->ledger.note_arrival(id, "assistant", "i-1");
    };
    for (const char* const id : {"1", "2", "3", "4", "5"}) {
        arrive(id);
        this->ledger.note_crash();
    }
    arrive("in time to react");
    std::this_thread::sleep_for(milliseconds(60));
    arrive("6");
    arrive("7");
    arrive("8");
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
    arrive("9");
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("crashing: 9")));
}

// Those that come in time to react, from elsewhere or after its end are no violation.
TEST_F(promise_ledger_test, finds_a_request_that_reaches_an_evacuated_data_centre)
{
    const auto arrive = [&](const std::string& id, const std::string& data_centre) {
        this->reach(id);
        this->ledger.check_evacuation(id, "i-1", data_centre);
    };
    this->ledger.note_evacuation("a");
    arrive("in time to react", "a");
    std::this_thread::sleep_for(milliseconds(60));
    arrive("elsewhere", "b");
    EXPECT_THAT(this->ledger.judge(), IsEmpty());
    arrive("late", "a");
    this->ledger.note_evacuation_end("a");
    arrive("afterwards", "a");
    EXPECT_THAT(this->ledger.judge(), ElementsAre(StartsWith("evacuated: late")));
}

} // namespace
} // namespace sardinestream::testing
