// The queue of admission while the time of day is set.

#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/routing/admission.h"
#include "sardinestream/testing/stepped_clock.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace sardinestream::routing {
namespace {

constexpr absl::Duration generous = absl::Seconds(60);
// Longer than the queue needs to look at its deadlines.
constexpr absl::Duration several_polls = absl::Milliseconds(300);

// Guards against queued requests that are refused when the time of day is set.
TEST(admission_clock_test, a_step_of_the_clock_refuses_no_queued_request)
{
    auto queue = admission_controller::create({.slots = 1, .max_wait = generous}).value();
    std::optional<admission_result> running(queue->admit({}));
    ASSERT_TRUE(running->ok());
    bool is_admitted = false;
    absl::Notification ended;
    std::thread waiting([&] {
        is_admitted = queue->admit({.remaining_time = generous}).ok();
        ended.Notify();
    });
    while (queue->load().queued == 0) {
        std::this_thread::yield();
    }
    testing::step_clock(std::chrono::hours(1));
    absl::SleepFor(several_polls);
    EXPECT_FALSE(ended.HasBeenNotified());
    EXPECT_LT(queue->load().no_progress_for, generous);
    running.reset();
    waiting.join();
    EXPECT_TRUE(is_admitted);
    testing::step_clock(std::chrono::seconds(0));
}

} // namespace
} // namespace sardinestream::routing
