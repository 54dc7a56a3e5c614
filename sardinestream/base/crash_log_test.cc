// Tests what a process that crashes leaves in its log.

#include <array>
#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "sardinestream/base/log.h"

namespace sardinestream {
namespace {

[[noreturn]] void crash_by(int number)
{
    // What is matched by a death test goes to standard error.
    ::dup2(STDERR_FILENO, STDOUT_FILENO);
    start_logging(log_level::info, "entry", "front-1");
    ::raise(number);
    std::_Exit(0);
}

// Guards against a process that ends without a word and leaves no cause.
TEST(crash_log_test, a_process_that_crashes_says_by_which_signal)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(crash_by(SIGSEGV), testing::KilledBySignal(SIGSEGV),
                "time=20[0-9]{2}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}\\.[0-9]{3}Z "
                "level=ERROR process=entry instance=front-1 event=crashed signal=11\n");
    EXPECT_EXIT(crash_by(SIGABRT), testing::KilledBySignal(SIGABRT), "event=crashed signal=6\n");
}

[[noreturn]] void crash_with_full_pipe()
{
    std::array<int, 2> ends{};
    if (::pipe(ends.data()) != 0 || ::dup2(ends[1], STDOUT_FILENO) < 0 ||
        ::fcntl(ends[1], F_SETFL, O_NONBLOCK) != 0) {
        std::_Exit(0);
    }
    while (::write(ends[1], "x", 1) == 1) {
    }
    ::fcntl(ends[1], F_SETFL, 0);
    start_logging(log_level::info, "entry", "front-1");
    constexpr unsigned max_exit_seconds = 2;
    ::alarm(max_exit_seconds);
    ::raise(SIGSEGV);
    std::_Exit(0);
}

// Guards against a process that keeps its connections after a crash because its log is not read.
TEST(crash_log_test, a_full_pipe_delays_no_crash)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(crash_with_full_pipe(), testing::KilledBySignal(SIGSEGV), "");
}

} // namespace
} // namespace sardinestream
