#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/base/outcome.h"
#include "sardinestream/base/process_exit.h"
#include "sardinestream/base/settings.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/strip.h"

namespace sardinestream {
namespace {

using testing::HasSubstr;

TEST(error_test, status_carries_step_and_peer)
{
    const absl::Status status =
        make_error(absl::StatusCode::kUnavailable, "bind_key", "platform", "reset");
    EXPECT_EQ(step_of(status), "bind_key");
    EXPECT_EQ(peer_of(status), "platform");
}

TEST(error_test, first_origin_wins)
{
    const absl::Status inner = make_error(absl::StatusCode::kUnavailable, "read", "agent-1", "cut");
    EXPECT_EQ(step_of(with_origin(inner, "route", "agent-2")), "read");
}

TEST(digest_test, sha256_matches_the_published_vector)
{
    EXPECT_EQ(sha256_hex("abc"),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(log_test, routine_lines_beyond_the_rate_are_counted)
{
    line_budget budget(2);
    EXPECT_TRUE(budget.take(10));
    EXPECT_TRUE(budget.take(10));
    EXPECT_FALSE(budget.take(10));
    EXPECT_FALSE(budget.take(10));
    EXPECT_EQ(budget.take_left_out(), 0);
    EXPECT_TRUE(budget.take(11));
    EXPECT_EQ(budget.take_left_out(), 2);
    EXPECT_EQ(budget.take_left_out(), 0);
}

// Runs in a separate process: writes lines to a pipe that is never read and exits with 0 if that
// took no longer than with a reader.
void log_to_stalled_reader()
{
    int ends[2];
    if (::pipe(ends) != 0 || ::dup2(ends[1], STDOUT_FILENO) < 0) {
        std::_Exit(2);
    }
    start_logging(log_level::info, "entry", "front-1");
    const absl::Time begun = absl::Now();
    constexpr int lines = 50000;
    for (int i = 0; i < lines; ++i) {
        log_event("request", {{"request", i}, {"outcome", "refused"}, {"reason", "queue full"}});
    }
    std::_Exit(absl::Now() - begun < absl::Seconds(10) ? 0 : 1);
}

TEST(log_test, a_reader_that_stands_still_holds_nobody_up)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(log_to_stalled_reader(), testing::ExitedWithCode(0), "");
}

// Runs in a separate process, with standard output directed to standard error.
void log_and_exit(int lines)
{
    ::dup2(STDERR_FILENO, STDOUT_FILENO);
    start_logging(log_level::info, "entry", "front-1");
    for (int i = 0; i < lines; ++i) {
        log_event("request", {{"request", i}});
    }
    log_event("stopped", {{"idle", "yes"}});
    exit_process(0);
}

// Guards against stops whose last lines never reached the output.
TEST(log_test, lines_logged_just_before_the_exit_are_written)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    constexpr int rounds = 10;
    constexpr int lines = 500;
    for (int round = 0; round < rounds; ++round) {
        EXPECT_EXIT(log_and_exit(lines), testing::ExitedWithCode(0), "event=stopped idle=yes");
    }
}

// Runs in a separate process: exits while another thread logs, and with 0 if nothing follows the
// last event.
void exit_while_others_log()
{
    int ends[2];
    if (::pipe(ends) != 0 || ::dup2(ends[1], STDOUT_FILENO) < 0) {
        std::_Exit(2);
    }
    start_logging(log_level::info, "entry", "front-1");
    std::thread([] {
        while (true) {
            log_event("servers_known", {{"servers", 3}});
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
    }).detach();
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    log_last_event("stopped", {});
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    finish_logging(std::chrono::milliseconds(2000));
    std::string written(1U << 20U, ' ');
    const ssize_t length = ::read(ends[0], written.data(), written.size());
    written.resize(static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
    std::_Exit(absl::EndsWith(written, "event=stopped\n") ? 0 : 1);
}

// Guards against logs whose end does not tell how the process ended.
TEST(log_test, nothing_follows_the_last_event)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(exit_while_others_log(), testing::ExitedWithCode(0), "");
}

void log_to_stalled_reader_and_exit()
{
    int ends[2];
    if (::pipe(ends) != 0 || ::dup2(ends[1], STDOUT_FILENO) < 0) {
        std::_Exit(2);
    }
    start_logging(log_level::info, "entry", "front-1");
    constexpr int lines = 5000;
    for (int i = 0; i < lines; ++i) {
        log_event("request", {{"request", i}, {"outcome", "refused"}, {"reason", "queue full"}});
    }
    const auto begun = std::chrono::steady_clock::now();
    finish_logging(std::chrono::milliseconds(200));
    std::_Exit(std::chrono::steady_clock::now() - begun < std::chrono::seconds(2) ? 0 : 1);
}

TEST(log_test, a_reader_that_stands_still_does_not_delay_the_exit)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(log_to_stalled_reader_and_exit(), testing::ExitedWithCode(0), "");
}

// Runs in a separate process whose reader of the output has gone.
void log_to_closed_reader_and_exit()
{
    int ends[2];
    if (::pipe(ends) != 0 || ::dup2(ends[1], STDOUT_FILENO) < 0 || ::close(ends[0]) != 0) {
        std::_Exit(2);
    }
    start_logging(log_level::info, "entry", "front-1");
    log_event("request", {{"request", 1}});
    exit_process(0);
}

TEST(log_test, a_reader_that_has_gone_does_not_end_the_process)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(log_to_closed_reader_and_exit(), testing::ExitedWithCode(0), "");
}

void throw_in_a_thread()
{
    ::dup2(STDERR_FILENO, STDOUT_FILENO);
    start_logging(log_level::info, "entry", "front-1");
    std::thread([] { throw std::runtime_error("no more memory for it"); }).join();
}

// Guards against processes that end by themselves without a word.
TEST(log_test, an_uncaught_exception_is_logged_before_the_process_aborts)
{
    testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(throw_in_a_thread(), testing::KilledBySignal(SIGABRT),
                "event=terminated reason=\"no more memory for it\"");
}

// Guards against text of other writers that ends a line, begins another or looks like a field.
TEST(log_test, a_value_of_any_bytes_stays_a_value)
{
    for (int byte = 0; byte < 256; ++byte) {
        const std::string value = {'a', static_cast<char>(byte), 'b'};
        const std::string line = format_event("x", {{"k", value}});
        for (const char letter : line) {
            EXPECT_TRUE(absl::ascii_isprint(letter)) << byte;
        }
        absl::string_view read = line;
        ASSERT_TRUE(absl::ConsumePrefix(&read, "event=x k=")) << byte;
        std::string unescaped(read);
        if (absl::ConsumePrefix(&read, "\"")) {
            ASSERT_TRUE(absl::ConsumeSuffix(&read, "\"")) << byte;
            EXPECT_TRUE(absl::CUnescape(read, &unescaped)) << byte;
        }
        EXPECT_EQ(unescaped, value) << byte;
    }
}

TEST(log_test, values_with_spaces_are_quoted)
{
    EXPECT_EQ(format_event("x", {{"a", "one two"}, {"b", 3}}), "event=x a=\"one two\" b=3");
}

TEST(metrics_test, gauges_of_a_name_go_when_they_are_not_set_again)
{
    set_gauges("test_servers", {{{{"state", "in_use"}}, 2}, {{{"state", "leaving"}}, 1}});
    EXPECT_THAT(render_metrics(), HasSubstr("test_servers{state=\"leaving\"} 1"));
    set_gauges("test_servers", {{{{"state", "in_use"}}, 2}});
    EXPECT_THAT(render_metrics(), HasSubstr("test_servers{state=\"in_use\"} 2"));
    EXPECT_THAT(render_metrics(), testing::Not(HasSubstr("leaving")));
}

// Guards against names of others that end a label or a line.
TEST(metrics_test, labels_of_any_text_are_escaped)
{
    count("test_odd_total", {{"name", "a\"}\n\\b"}});
    EXPECT_THAT(render_metrics(), HasSubstr(R"(test_odd_total{name="a\"}\n\\b"} 1)"));
}

TEST(metrics_test, counters_and_histograms_are_rendered)
{
    count("test_total", {{"code", "a"}}, 2);
    observe_seconds("test_seconds", {}, 0.01);
    EXPECT_EQ(counter_value("test_total", {{"code", "a"}}), 2U);
    EXPECT_NEAR(quantile_seconds("test_seconds", {}, 0.5), 0.01, 0.002);
    EXPECT_THAT(render_metrics(), HasSubstr("test_total{code=\"a\"} 2"));
    EXPECT_THAT(render_metrics(), HasSubstr("test_seconds_count 1"));
}

TEST(outcome_test, unknown_number_is_a_protocol_error)
{
    EXPECT_EQ(refusal_code_from(8), refusal_code::team_limit);
    EXPECT_EQ(refusal_code_from(9999), refusal_code::protocol_error);
}

TEST(settings_test, addresses_are_parsed_and_checked)
{
    EXPECT_EQ(parse_address("127.0.0.1:80")->port, 80);
    EXPECT_FALSE(parse_address("localhost:80").ok());
    EXPECT_FALSE(parse_address("127.0.0.1:70000").ok());
    EXPECT_EQ(parse_addresses("127.0.0.1:1, 127.0.0.1:2").value().size(), 2U);
}

TEST(settings_test, range_error_names_flag_value_and_range)
{
    EXPECT_EQ(check_range("port", 0, 1, 9).message(), "--port=0: allowed is 1 to 9");
}

} // namespace
} // namespace sardinestream
