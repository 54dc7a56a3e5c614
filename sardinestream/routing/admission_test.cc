#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/routing/admission.h"

namespace sardinestream::routing {
namespace {

using catalogue::priority_class;

constexpr absl::Duration long_time = absl::Seconds(60);

std::unique_ptr<admission_controller> make_queue(admission_options options)
{
    options.max_wait = long_time;
    return std::move(admission_controller::create(options)).value();
}

// Waits until the queue holds `count` requests.
void wait_for_queued(const admission_controller& queue, std::uint32_t count)
{
    const absl::Time deadline = absl::Now() + long_time;
    while (queue.load().queued != count && absl::Now() < deadline) {
        std::this_thread::yield();
    }
    ASSERT_EQ(queue.load().queued, count);
}

TEST(admission_test, options_out_of_range_are_refused)
{
    EXPECT_FALSE(admission_controller::create({.slots = 0}).ok());
    EXPECT_FALSE(admission_controller::create({.slots = 2, .reserved_slots = 2}).ok());
}

TEST(admission_test, a_request_that_cannot_start_in_time_is_refused_at_once)
{
    auto queue = make_queue({.slots = 1, .initial_service_time = absl::Seconds(1)});
    admission_result running = queue->admit({});
    ASSERT_TRUE(running.ok());
    admission_result late = queue->admit({.remaining_time = absl::Milliseconds(500)});
    ASSERT_FALSE(late.ok());
    EXPECT_EQ(late.refusal_reason().code, refusal_code::deadline_too_short);
    EXPECT_EQ(late.refusal_reason().outcome, run_outcome::not_run);
    EXPECT_GE(late.refusal_reason().retry_after, absl::Seconds(1));
}

TEST(admission_test, the_queue_is_bounded_by_time)
{
    auto queue = std::move(admission_controller::create({.slots = 1,
                                                         .max_wait = absl::Milliseconds(500),
                                                         .initial_service_time = absl::Seconds(1)}))
                     .value();
    admission_result running = queue->admit({});
    admission_result refused = queue->admit({});
    ASSERT_FALSE(refused.ok());
    EXPECT_EQ(refused.refusal_reason().code, refusal_code::overloaded);
}

TEST(admission_test, interactive_starts_before_batch)
{
    auto queue = make_queue({.slots = 1});
    std::optional<admission_result> running(queue->admit({}));
    std::atomic<int> order{0};
    int batch_order = 0;
    int interactive_order = 0;
    std::thread batch([&] {
        admission_result result = queue->admit({.priority = priority_class::batch});
        batch_order = ++order;
    });
    wait_for_queued(*queue, 1);
    std::thread interactive([&] {
        admission_result result = queue->admit({});
        interactive_order = ++order;
    });
    wait_for_queued(*queue, 2);
    running.reset();
    batch.join();
    interactive.join();
    EXPECT_LT(interactive_order, batch_order);
}

TEST(admission_test, reserved_slots_are_not_used_by_other_classes)
{
    auto queue = make_queue({.slots = 2, .reserved_slots = 1});
    admission_result first = queue->admit({});
    EXPECT_TRUE(first.ok());
    EXPECT_GT(queue->expected_wait(priority_class::interactive), absl::ZeroDuration());
    EXPECT_EQ(queue->expected_wait(priority_class::reserved), absl::ZeroDuration());
    admission_result dispatch = queue->admit({.priority = priority_class::reserved});
    EXPECT_TRUE(dispatch.ok());
}

TEST(admission_test, an_exclusive_request_runs_alone)
{
    auto queue = make_queue({.slots = 4});
    std::optional<admission_result> running(queue->admit({}));
    std::atomic<bool> suspect_runs{false};
    std::atomic<bool> may_end{false};
    std::atomic<bool> other_runs{false};
    std::thread suspect([&] {
        admission_result result = queue->admit({.exclusive = true});
        suspect_runs = true;
        suspect_runs.notify_all();
        may_end.wait(false);
        EXPECT_FALSE(other_runs);
    });
    wait_for_queued(*queue, 1);
    EXPECT_FALSE(suspect_runs);
    running.reset();
    suspect_runs.wait(false);
    std::thread other([&] {
        admission_result result = queue->admit({});
        other_runs = true;
    });
    wait_for_queued(*queue, 1);
    may_end = true;
    may_end.notify_all();
    suspect.join();
    other.join();
    EXPECT_TRUE(other_runs);
}

TEST(admission_test, a_cancelled_request_leaves_the_queue)
{
    auto queue = make_queue({.slots = 1});
    admission_result running = queue->admit({});
    admission_result waiting = queue->admit({.cancelled = [] { return true; }});
    ASSERT_FALSE(waiting.ok());
    EXPECT_EQ(waiting.refusal_reason().code, refusal_code::cancelled);
    EXPECT_EQ(queue->load().queued, 0U);
}

TEST(admission_test, a_request_whose_time_passes_leaves_the_queue)
{
    auto queue = make_queue({.slots = 1, .initial_service_time = absl::Milliseconds(1)});
    admission_result running = queue->admit({});
    admission_result waiting = queue->admit({.remaining_time = absl::Milliseconds(100)});
    ASSERT_FALSE(waiting.ok());
    EXPECT_EQ(waiting.refusal_reason().code, refusal_code::deadline_exceeded);
}

TEST(admission_test, draining_refuses_new_requests_and_lets_running_ones_end)
{
    auto queue = make_queue({.slots = 2});
    std::optional<admission_result> running(queue->admit({}));
    queue->drain();
    EXPECT_EQ(queue->admit({}).refusal_reason().code, refusal_code::draining);
    EXPECT_TRUE(queue->load().leaving);
    EXPECT_FALSE(queue->wait_until_idle(absl::Now()));
    running.reset();
    EXPECT_TRUE(queue->wait_until_idle(absl::Now() + long_time));
}

TEST(admission_test, a_failure_is_reported_until_a_request_succeeds)
{
    auto queue = make_queue({.slots = 1});
    {
        admission_result lost = queue->admit({});
        lost.slot().fail();
    }
    EXPECT_TRUE(queue->load().failing);
    admission_result good = queue->admit({});
    good.slot().complete({.service_time = absl::Milliseconds(5)});
    EXPECT_FALSE(queue->load().failing);
}

TEST(admission_test, a_stalled_server_raises_the_expected_wait)
{
    std::atomic<std::int64_t> seconds{0};
    auto queue =
        make_queue({.slots = 1, .initial_service_time = absl::Milliseconds(10), .now = [&] {
                        return absl::FromUnixSeconds(seconds);
                    }});
    admission_result running = queue->admit({});
    seconds = 5;
    EXPECT_GE(queue->expected_wait(priority_class::interactive), absl::Seconds(5));
    EXPECT_EQ(queue->load().no_progress_for, absl::Seconds(5));
}

} // namespace
} // namespace sardinestream::routing
