// Tests the receipt of signals. Each test runs in a process of its own, since signals are received
// until the process ends.

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

#include <gtest/gtest.h>
#include <unistd.h>

#include "sardinestream/base/shutdown_signal.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr int held = 0;
constexpr int broken = 1;

void send(int number, milliseconds delay)
{
    std::thread([number, delay] {
        std::this_thread::sleep_for(delay);
        ::kill(::getpid(), number);
    }).detach();
}

[[noreturn]] void stop_during_a_slow_reload()
{
    shutdown_signal signal = shutdown_signal::install();
    const auto begun = std::chrono::steady_clock::now();
    send(SIGHUP, milliseconds(0));
    send(SIGTERM, milliseconds(100));
    const auto received = signal.wait(
        {.on_repeat = {}, .on_reload = [] { std::this_thread::sleep_for(milliseconds(5000)); }});
    const auto returned = std::chrono::steady_clock::now();
    const bool at_once =
        received - begun < milliseconds(2000) && returned - begun < milliseconds(2000);
    std::_Exit(at_once ? held : broken);
}

// Guards against a grace that is counted from the end of a reload.
TEST(shutdown_signal_test, a_stop_does_not_wait_for_a_reload)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(stop_during_a_slow_reload(), testing::ExitedWithCode(held), "");
}

[[noreturn]] void stop_while_the_program_starts()
{
    shutdown_signal signal = shutdown_signal::install();
    const auto begun = std::chrono::steady_clock::now();
    ::kill(::getpid(), SIGTERM);
    std::this_thread::sleep_for(milliseconds(1500));
    const auto received = signal.wait({});
    std::_Exit(received - begun < milliseconds(1000) ? held : broken);
}

// Guards against a grace that is counted from the end of the start.
TEST(shutdown_signal_test, the_time_of_a_stop_is_that_of_its_receipt)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(stop_while_the_program_starts(), testing::ExitedWithCode(held), "");
}

[[noreturn]] void signal_in_series()
{
    shutdown_signal signal = shutdown_signal::install();
    std::atomic<int> repeats = 0;
    std::atomic<int> reloads = 0;
    ::kill(::getpid(), SIGHUP);
    ::kill(::getpid(), SIGTERM);
    static_cast<void>(signal.wait({[&] { ++repeats; }, [&] { ++reloads; }}));
    for (int i = 0; i < 3; ++i) {
        ::kill(::getpid(), SIGTERM);
        ::kill(::getpid(), SIGHUP);
        std::this_thread::sleep_for(milliseconds(300));
    }
    std::_Exit(repeats == 3 && reloads >= 3 ? held : broken);
}

TEST(shutdown_signal_test, later_signals_reach_their_hooks_also_after_the_first_stop)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(signal_in_series(), testing::ExitedWithCode(held), "");
}

} // namespace
} // namespace sardinestream
