// Tests the start, the end and the waits of a group of threads.

#include <atomic>
#include <csignal>
#include <ctime>
#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include "sardinestream/base/thread_group.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

TEST(thread_group_test, a_wait_ends_at_its_deadline_or_with_the_last_thread)
{
    std::atomic<bool> may_end = false;
    thread_group group;
    ASSERT_TRUE(group.spawn([&] {
        while (!may_end) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }));
    const auto begun = steady_clock::now();
    EXPECT_FALSE(group.wait_until_empty(begun + milliseconds(50)));
    EXPECT_GE(steady_clock::now() - begun, milliseconds(50));
    may_end = true;
    EXPECT_TRUE(group.wait_until_empty(steady_clock::now() + milliseconds(5000)));
    EXPECT_EQ(group.size(), 0);
}

// Interrupts the calling thread again and again, for longer than a short thread runs. The thread
// runs for `gap_ns` after each interruption: one that woke late would otherwise meet the next at
// its end.
class interruptions {
public:
    interruptions()
    {
        struct sigaction action = {};
        action.sa_flags = SA_SIGINFO;
        action.sa_sigaction = [](int, siginfo_t* info, void*) {
            const timespec pause = {0, pause_ns};
            ::nanosleep(&pause, nullptr);
            static_cast<interruptions*>(info->si_value.sival_ptr)->interrupt_after_gap();
        };
        ::sigaction(SIGUSR1, &action, nullptr);
        sigevent event = {};
        event.sigev_notify = SIGEV_THREAD_ID;
        event.sigev_signo = SIGUSR1;
        event.sigev_value.sival_ptr = this;
        event._sigev_un._tid = ::gettid();
        ::timer_create(CLOCK_MONOTONIC, &event, &this->timer);
        this->interrupt_after_gap();
    }
    ~interruptions() { ::timer_delete(this->timer); }
    interruptions(const interruptions&) = delete;
    interruptions& operator=(const interruptions&) = delete;

private:
    static constexpr long pause_ns = 300'000;
    static constexpr long gap_ns = 100'000;

    // Safe in a signal handler.
    void interrupt_after_gap()
    {
        const itimerspec once = {{0, 0}, {0, gap_ns}};
        ::timer_settime(this->timer, 0, &once, nullptr);
    }

    timer_t timer{};
};

// Guards against a process that ends because a thread ended while it was being detached.
TEST(thread_group_test, threads_that_end_as_they_are_started_are_counted_and_end_no_process)
{
    constexpr int spawners = 4;
    const auto end = steady_clock::now() + milliseconds(4000);
    std::atomic<int> refused = 0;
    std::atomic<int> started = 0;
    std::atomic<int> ran = 0;
    std::vector<std::thread> threads;
    threads.reserve(spawners);
    for (int i = 0; i < spawners; ++i) {
        threads.emplace_back([&] {
            thread_group group;
            const interruptions interrupted;
            while (steady_clock::now() < end) {
                ++(group.spawn([&ran] { ++ran; }) ? started : refused);
            }
            group.wait_until_empty();
            EXPECT_EQ(group.size(), 0);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(refused, 0);
    EXPECT_EQ(ran, started);
}

// Guards against a process that ends because a group's last owner is one of its threads.
TEST(thread_group_test, a_group_may_end_with_the_captures_of_its_last_thread)
{
    std::atomic<bool> goes_on = false;
    std::weak_ptr<thread_group> observed;
    {
        auto group = std::make_shared<thread_group>();
        observed = group;
        ASSERT_TRUE(group->spawn([group, &goes_on] {
            while (!goes_on) {
                std::this_thread::sleep_for(milliseconds(1));
            }
        }));
    }
    goes_on = true;
    const auto end = steady_clock::now() + milliseconds(5000);
    while (!observed.expired() && steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    EXPECT_TRUE(observed.expired());
}

} // namespace
} // namespace sardinestream
