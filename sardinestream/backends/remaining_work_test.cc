// Tests the work that is left on a server.

#include <gtest/gtest.h>

#include "sardinestream/backends/remaining_work.h"

namespace sardinestream {
namespace {

engine_model make_engine()
{
    engine_model engine;
    engine.slots = 10;
    engine.steps_per_pass = 5;
    engine.step_ms = 5;
    engine.step_ms_per_request = 0.5;
    engine.read_tokens_per_s = 50000;
    engine.max_tokens_per_step = 500;
    engine.memory_tokens = 10000;
    engine.usual_prompt_tokens = 500;
    engine.usual_answer_tokens = 100;
    return engine;
}

TEST(request_cost, is_time_of_the_engine)
{
    // 20 ms to read, two steps of 5 ms, 200 tokens at 0.5 ms.
    const request_cost cost = cost_of(1000, 200, make_engine());
    EXPECT_DOUBLE_EQ(cost.read_ms, 30);
    EXPECT_DOUBLE_EQ(cost.write_ms, 100);
    EXPECT_DOUBLE_EQ(cost.memory_tokens, 1200);
}

TEST(request_cost, is_unknown_without_a_declared_speed)
{
    EXPECT_FALSE(cost_of(1000, 200, engine_model{}).is_known());
}

TEST(request_cost, bounds_what_callers_state)
{
    const engine_model engine = make_engine();
    EXPECT_EQ(cost_of(0, 0, engine), usual_cost(engine));
    EXPECT_EQ(cost_of(-5, -1e300, engine), usual_cost(engine));
    EXPECT_EQ(cost_of(1e300, 1e300, engine), cost_of(10000, 10000, engine));
    EXPECT_LE(cost_of(1e300, 1e300, engine).memory_tokens, 10000);
    EXPECT_TRUE(exceeds_memory(10001, engine));
    EXPECT_FALSE(exceeds_memory(10000, engine));
}

TEST(remaining_work, shrinks_with_each_event)
{
    const engine_model engine = make_engine();
    remaining_work work;
    placed_work first = work.place(cost_of(1000, 200, engine));
    const placed_work second = work.place(cost_of(500, 100, engine));
    EXPECT_DOUBLE_EQ(work.total().read_ms, 45);
    EXPECT_DOUBLE_EQ(work.total().write_ms, 150);
    EXPECT_EQ(work.unread(), 2);
    work.note_progress(first, 60);
    work.note_progress(first, 80);
    EXPECT_DOUBLE_EQ(work.total().read_ms, 15);
    EXPECT_DOUBLE_EQ(work.total().write_ms, 70);
    EXPECT_EQ(work.unread(), 1);
    work.remove(first);
    work.remove(second);
    EXPECT_EQ(work.total(), request_cost{});
    EXPECT_EQ(work.requests(), 0);
    EXPECT_EQ(work.unread(), 0);
}

TEST(remaining_work, an_answer_beyond_its_size_goes_on_for_a_while)
{
    remaining_work work;
    placed_work placed = work.place(cost_of(1000, 200, make_engine()));
    work.note_progress(placed, 400);
    EXPECT_DOUBLE_EQ(work.total().write_ms, 100);
}

TEST(remaining_work, requests_of_unknown_cost_leave_no_trace)
{
    remaining_work work;
    placed_work placed = work.place({});
    work.note_progress(placed, 10);
    work.remove(placed);
    EXPECT_EQ(work.requests(), 0);
    EXPECT_EQ(work.total(), request_cost{});
}

TEST(remaining_work, requests_of_others_are_of_usual_size)
{
    const engine_model engine = make_engine();
    remaining_work work;
    const placed_work own = work.place(cost_of(1000, 200, engine));
    // Three of others: one waits, two are halfway. A usual request takes 15 and 50 ms.
    const request_cost left = work_left({work, 4, 2}, engine);
    EXPECT_DOUBLE_EQ(left.read_ms, 30 + 15);
    EXPECT_DOUBLE_EQ(left.write_ms, 100 + 50 + 50);
    EXPECT_DOUBLE_EQ(as_requests(left, usual_cost(engine)), 4.9);
    work.remove(own);
}

} // namespace
} // namespace sardinestream
