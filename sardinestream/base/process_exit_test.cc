// Processes that end while their output, their threads or their memory are in trouble. Each case
// runs in a process of its own, which a timer kills if `exit_process` takes too long.

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include "sardinestream/base/log.h"
#include "sardinestream/base/process_exit.h"

namespace sardinestream {
namespace {

constexpr int exit_status = 7;
// Five times `max_exit_log_wait`.
constexpr unsigned max_exit_seconds = 2;

// Starts logging to a pipe that is not read, and fills it.
void log_to_full_pipe()
{
    std::array<int, 2> ends{};
    if (::pipe(ends.data()) != 0 || ::dup2(ends[1], STDOUT_FILENO) < 0) {
        std::_Exit(2);
    }
    start_logging(log_level::info, "entry", "front-1");
    constexpr int lines = 5000;
    for (int i = 0; i < lines; ++i) {
        log_event("request", {{"request", i}, {"outcome", "refused"}, {"reason", "queue full"}});
    }
}

[[noreturn]] void exit_in_time()
{
    ::alarm(max_exit_seconds);
    log_last_event("stopped", {});
    exit_process(exit_status);
}

// Lets the process map no more than `spare_bytes`.
void limit_memory(rlim_t spare_bytes)
{
    std::ifstream memory("/proc/self/statm");
    rlim_t pages = 0;
    memory >> pages;
    const rlim_t bytes = pages * static_cast<rlim_t>(::sysconf(_SC_PAGESIZE)) + spare_bytes;
    const rlimit limit{bytes, bytes};
    if (::setrlimit(RLIMIT_AS, &limit) != 0) {
        std::_Exit(2);
    }
}

void exit_with_full_pipe()
{
    log_to_full_pipe();
    exit_in_time();
}

// The main functions of the older interface end the log and then the process.
void exit_after_the_log_with_full_pipe()
{
    log_to_full_pipe();
    finish_logging(std::chrono::milliseconds(100));
    exit_in_time();
}

void exit_without_further_threads()
{
    log_to_full_pipe();
    // Too little for the stack of a thread.
    limit_memory(rlim_t{1} << 20U);
    exit_in_time();
}

void exit_without_memory()
{
    log_to_full_pipe();
    limit_memory(0);
    constexpr std::size_t smallest_block = 16;
    std::size_t size = std::size_t{1} << 20U;
    while (size >= smallest_block) {
        if (std::malloc(size) == nullptr) {
            size /= 2;
        }
    }
    ::alarm(max_exit_seconds);
    exit_process(exit_status);
}

void exit_while_threads_log()
{
    log_to_full_pipe();
    constexpr int threads = 8;
    for (int i = 0; i < threads; ++i) {
        std::thread([] {
            while (true) {
                log_event("servers_known", {{"servers", 3}});
            }
        }).detach();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    exit_in_time();
}

void exit_while_a_thread_holds_the_output()
{
    start_logging(log_level::info, "entry", "front-1");
    std::thread([] {
        ::flockfile(stdout);
        while (true) {
            ::pause();
        }
    }).detach();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    log_event("request", {{"request", 1}});
    exit_in_time();
}

class process_exit_test : public ::testing::Test {
protected:
    void SetUp() override { testing::GTEST_FLAG(death_test_style) = "threadsafe"; }
};

TEST_F(process_exit_test, a_full_pipe_delays_no_exit)
{
    EXPECT_EXIT(exit_with_full_pipe(), testing::ExitedWithCode(exit_status), "");
}

TEST_F(process_exit_test, a_log_that_was_ended_before_does_not_abort_the_exit)
{
    EXPECT_EXIT(exit_after_the_log_with_full_pipe(), testing::ExitedWithCode(exit_status), "");
}

TEST_F(process_exit_test, a_process_that_can_start_no_thread_exits)
{
    EXPECT_EXIT(exit_without_further_threads(), testing::ExitedWithCode(exit_status), "");
}

TEST_F(process_exit_test, a_process_without_memory_exits)
{
    EXPECT_EXIT(exit_without_memory(), testing::ExitedWithCode(exit_status), "");
}

TEST_F(process_exit_test, threads_that_log_without_end_delay_no_exit)
{
    EXPECT_EXIT(exit_while_threads_log(), testing::ExitedWithCode(exit_status), "");
}

TEST_F(process_exit_test, a_thread_that_holds_the_output_delays_no_exit)
{
    EXPECT_EXIT(exit_while_a_thread_holds_the_output(), testing::ExitedWithCode(exit_status), "");
}

} // namespace
} // namespace sardinestream
