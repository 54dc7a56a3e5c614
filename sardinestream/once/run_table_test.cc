#include <atomic>
#include <map>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "sardinestream/once/request_key.h"
#include "sardinestream/once/run_table.h"

namespace sardinestream::once {
namespace {

const digest128 request_a = digest_of_request("POST", "/orders/dispatch", "pallet 7");
const digest128 request_b = digest_of_request("POST", "/orders/dispatch", "pallet 8");

digest128 key_number(int number)
{
    return digest_of_caller_key("orders", "dispatch", std::to_string(number));
}

absl::Time soon()
{
    return absl::Now() + absl::Seconds(30);
}

TEST(run_table, gives_the_permit_to_the_first_caller_only)
{
    const auto table = run_table::create();
    const run_admission first = table->begin(key_number(1), request_a);
    EXPECT_EQ(first.decision, run_decision::run);
    EXPECT_EQ(table->begin(key_number(1), request_a).decision, run_decision::join);
}

TEST(run_table, replays_the_answer)
{
    const auto table = run_table::create();
    run_admission first = table->begin(key_number(1), request_a);
    first.permit.mark_sent();
    first.permit.finish({201, {{"x-pallet", "7"}}, "confirmed"});
    const run_admission second = table->begin(key_number(1), request_a);
    ASSERT_EQ(second.decision, run_decision::replay);
    EXPECT_EQ(second.answer->http_status, 201);
    EXPECT_EQ(second.answer->body, "confirmed");
}

TEST(run_table, gives_the_answer_to_waiting_callers)
{
    const auto table = run_table::create();
    run_admission first = table->begin(key_number(1), request_a);
    const run_admission second = table->begin(key_number(1), request_a);
    first.permit.mark_sent();
    std::thread runner([&first] { first.permit.finish({200, {}, "done"}); });
    const run_result result = second.running->wait(soon(), {});
    runner.join();
    ASSERT_EQ(result.end, run_end::answered);
    EXPECT_EQ(result.answer->body, "done");
}

TEST(run_table, frees_a_key_whose_run_was_never_sent)
{
    const auto table = run_table::create();
    run_admission first = table->begin(key_number(1), request_a);
    const run_admission second = table->begin(key_number(1), request_a);
    first.permit.fail_not_sent();
    EXPECT_EQ(second.running->wait(soon(), {}).end, run_end::not_sent);
    EXPECT_EQ(table->begin(key_number(1), request_a).decision, run_decision::run);
}

TEST(run_table, never_runs_a_key_again_whose_end_is_unknown)
{
    const auto table = run_table::create();
    {
        run_admission first = table->begin(key_number(1), request_a);
        first.permit.mark_sent();
    }
    EXPECT_EQ(table->begin(key_number(1), request_a).decision, run_decision::unknown);
}

TEST(run_table, treats_not_sent_after_sent_as_unknown)
{
    const auto table = run_table::create();
    run_admission first = table->begin(key_number(1), request_a);
    first.permit.mark_sent();
    first.permit.fail_not_sent();
    EXPECT_EQ(table->begin(key_number(1), request_a).decision, run_decision::unknown);
}

TEST(run_table, frees_a_key_whose_connection_was_never_established)
{
    const auto table = run_table::create();
    run_admission first = table->begin(key_number(1), request_a);
    first.permit.mark_sent();
    first.permit.fail_not_connected();
    EXPECT_EQ(table->begin(key_number(1), request_a).decision, run_decision::run);
}

TEST(run_table, refuses_another_request_under_the_same_key)
{
    const auto table = run_table::create();
    run_admission first = table->begin(key_number(1), request_a);
    EXPECT_EQ(table->begin(key_number(1), request_b).decision, run_decision::key_reused);
}

TEST(run_table, keeps_the_key_after_dropping_the_answer)
{
    const auto table = run_table::create({.max_answer_bytes = 10});
    run_admission first = table->begin(key_number(1), request_a);
    first.permit.mark_sent();
    first.permit.finish({202, {}, "longer than ten bytes"});
    const run_admission again = table->begin(key_number(1), request_a);
    EXPECT_EQ(again.decision, run_decision::answer_expired);
    EXPECT_EQ(again.http_status, 202);
}

TEST(run_table, drops_answers_by_age_oldest_first)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    const auto table =
        run_table::create({.max_answer_age = absl::Seconds(60), .now = [&now] { return now; }});
    for (int number : {1, 2}) {
        run_admission first = table->begin(key_number(number), request_a);
        first.permit.mark_sent();
        first.permit.finish({200, {}, "done"});
        now += absl::Seconds(40);
    }
    EXPECT_EQ(table->begin(key_number(1), request_a).decision, run_decision::answer_expired);
    EXPECT_EQ(table->begin(key_number(2), request_a).decision, run_decision::replay);
}

TEST(run_table, looks_up_without_accepting)
{
    const auto table = run_table::create();
    EXPECT_EQ(table->look_up(key_number(1), request_a).decision, run_decision::not_found);
    EXPECT_EQ(table->counts().keys, 0U);
}

TEST(run_table, refuses_new_keys_when_full_and_still_replays_old_ones)
{
    const auto table = run_table::create({.max_keys = 1});
    run_admission first = table->begin(key_number(1), request_a);
    first.permit.mark_sent();
    first.permit.finish({200, {}, "done"});
    EXPECT_EQ(table->begin(key_number(2), request_a).decision, run_decision::table_full);
    EXPECT_EQ(table->begin(key_number(1), request_a).decision, run_decision::replay);
}

TEST(run_table, stops_waiting_when_the_caller_disconnects)
{
    const auto table = run_table::create();
    const run_admission first = table->begin(key_number(1), request_a);
    const run_admission second = table->begin(key_number(1), request_a);
    EXPECT_EQ(second.running->wait(soon(), [] { return true; }).end, run_end::cancelled);
}

TEST(run_table, stops_waiting_at_the_deadline)
{
    const auto table = run_table::create();
    const run_admission first = table->begin(key_number(1), request_a);
    const run_admission second = table->begin(key_number(1), request_a);
    EXPECT_EQ(second.running->wait(absl::Now(), {}).end, run_end::deadline);
}

TEST(run_table, separates_teams_services_and_tickets)
{
    const digest128 key = digest_of_caller_key("a", "bc", "1");
    EXPECT_NE(key, digest_of_caller_key("ab", "c", "1"));
    EXPECT_NE(key, digest_of_caller_key("b", "bc", "1"));
    EXPECT_NE(key, digest_of_ticket_key("a", "bc", "1"));
}

TEST(run_table, runs_each_key_once_among_many_threads)
{
    const auto table = run_table::create();
    std::map<int, std::atomic<int>> runs;
    for (int number = 0; number < 50; ++number) {
        runs[number] = 0;
    }
    constexpr int caller_count = 8;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int caller = 0; caller < caller_count; ++caller) {
        callers.emplace_back([&table, &runs] {
            for (auto& [number, count] : runs) {
                run_admission admitted = table->begin(key_number(number), request_a);
                if (admitted.decision == run_decision::run) {
                    admitted.permit.mark_sent();
                    ++count;
                    admitted.permit.finish({200, {}, "done"});
                }
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    for (const auto& [number, count] : runs) {
        EXPECT_EQ(count, 1) << "key " << number;
    }
}

// Generates random schedules of callers that begin, send, answer, fail or destroy their permit, in
// any order.
RC_GTEST_PROP(run_table, sends_no_key_twice_under_any_schedule, ())
{
    enum step { begin, send, answer, give_up, vanish, steps };
    absl::Time now = absl::FromUnixSeconds(1000);
    const auto table = run_table::create({.max_answer_bytes = 40,
                                          .max_answer_age = absl::Seconds(20),
                                          .now = [&now] { return now; }});
    struct runner {
        int key;
        bool sent;
        run_permit permit;
    };
    std::vector<runner> runners;
    std::map<int, int> sends;
    const int length = *rc::gen::inRange(1, 200);
    for (int i = 0; i < length; ++i) {
        now += absl::Seconds(*rc::gen::inRange(0, 3));
        const int step = *rc::gen::inRange(0, static_cast<int>(steps));
        if (step == begin || runners.empty()) {
            const int number = *rc::gen::inRange(0, 4);
            run_admission admitted = table->begin(key_number(number), request_a);
            if (admitted.decision == run_decision::run) {
                runners.push_back({number, false, std::move(admitted.permit)});
            }
            continue;
        }
        const auto chosen = runners.begin() + *rc::gen::inRange<int>(0, runners.size());
        if (step == send && !chosen->sent) {
            chosen->permit.mark_sent();
            chosen->sent = true;
            ++sends[chosen->key];
            continue;
        }
        if (step == answer && chosen->sent) {
            chosen->permit.finish({200, {}, "an answer of some bytes"});
        }
        if (step == give_up) {
            chosen->permit.fail_not_sent();
        }
        runners.erase(chosen);
    }
    for (const auto& [number, sent] : sends) {
        RC_ASSERT(sent <= 1);
    }
}

std::size_t allocated_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

TEST(run_table, holds_a_finished_key_in_under_one_hundred_bytes)
{
    constexpr int keys = 100'000;
    const std::size_t before = allocated_bytes();
    const auto table = run_table::create({.max_answer_bytes = 0});
    for (int number = 0; number < keys; ++number) {
        run_admission admitted = table->begin(key_number(number), request_a);
        admitted.permit.mark_sent();
        admitted.permit.finish({200, {}, "done"});
    }
    const double bytes_per_key = static_cast<double>(allocated_bytes() - before) / keys;
    RecordProperty("bytes_per_key", std::to_string(bytes_per_key));
    EXPECT_EQ(table->counts().keys, static_cast<std::size_t>(keys));
    EXPECT_LT(bytes_per_key, 100);
}

} // namespace
} // namespace sardinestream::once
