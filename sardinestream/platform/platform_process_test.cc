// Tests both programs as real processes: settings and signals.

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include "sardinestream/testing/process.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace sardinestream::testing {
namespace {

constexpr int exit_bad_settings = 2;

class platform_process_test : public ::testing::Test {
protected:
    void write_settings(const std::string& text) const
    {
        std::ofstream(this->settings_path) << text;
        ASSERT_EQ(::setenv("SARDINESTREAM_SETTINGS", this->settings_path.c_str(), 1), 0);
    }

    [[nodiscard]] std::string agent_settings(const std::string& log_level) const
    {
        return absl::StrCat("--id=side-1\n--data_centre=a\n--ip=127.0.0.1\n--ops_port=0\n",
                            "--news_port=", this->gossip_port.reserved().port,
                            "\n--backend=", this->backend.reserved().to_string(),
                            "\n--service=assistant\n--log_level=", log_level, "\n");
    }

    [[nodiscard]] std::string entry_settings() const
    {
        return absl::StrCat("--id=front-1\n--data_centre=a\n--ip=127.0.0.1\n--ops_port=0\n",
                            "--news_port=", this->gossip_port.reserved().port,
                            "\n--front_listen=127.0.0.1:0\n--ready_listen=127.0.0.1:0\n--store=",
                            this->backend.reserved().to_string(), "\n--grace_s=3\n");
    }

    [[nodiscard]] std::unique_ptr<process> start(const std::string& binary) const
    {
        return *process::start(
            {.binary = binary, .flags = {}, .log_directory = this->logs.path(), .name = binary});
    }

    // Starts a program that reads its settings from a pipe; `act` is called while it does.
    template <typename Act>
    [[nodiscard]] std::unique_ptr<process>
    act_while_settings_are_read(const std::string& binary, const std::string& settings, Act act)
    {
        // A program that has ended must not end the test.
        std::signal(SIGPIPE, SIG_IGN);
        EXPECT_EQ(::mkfifo(this->settings_path.c_str(), S_IRUSR | S_IWUSR), 0);
        EXPECT_EQ(::setenv("SARDINESTREAM_SETTINGS", this->settings_path.c_str(), 1), 0);
        auto started = this->start(binary);
        // A pipe can be opened for writing without a wait once the program has opened it.
        int pipe = -1;
        EXPECT_TRUE(wait_until([&] {
            pipe = ::open(this->settings_path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            return pipe >= 0;
        }));
        act(*started);
        // The settings are read more than once.
        const std::string file = this->settings_path + ".file";
        std::ofstream(file) << settings;
        EXPECT_EQ(std::rename(file.c_str(), this->settings_path.c_str()), 0);
        EXPECT_EQ(::write(pipe, settings.data(), settings.size()),
                  static_cast<ssize_t>(settings.size()));
        ::close(pipe);
        return started;
    }

    const temp_directory logs;
    const port_reservation gossip_port;
    // No process listens on this port.
    const port_reservation backend;
    const std::string settings_path = this->logs.path() + "/node.settings";
};

// Guards against a name of an instance that is taken for a part of the lines' pattern.
TEST_F(platform_process_test, lines_name_an_instance_of_any_name)
{
    this->write_settings(
        absl::StrReplaceAll(this->agent_settings("info"), {{"--id=side-1", "--id=side %m%n\t1"}}));
    const auto agent = this->start("sardine-platform-agent");
    EXPECT_TRUE(agent->wait_for_output(R"( process=agent instance="side %m%n\t1" event=started )",
                                       absl::Seconds(10)))
        << agent->output();
}

// SIGHUP once terminated both programs, and with them every stream that an entry was relaying.
TEST_F(platform_process_test, sighup_reloads_the_agent)
{
    this->write_settings(this->agent_settings("info"));
    const auto agent = this->start("sardine-platform-agent");
    ASSERT_TRUE(agent->wait_for_output("event=started")) << agent->output();
    agent->hang_up();
    EXPECT_TRUE(agent->wait_for_output("event=reloaded")) << agent->output();
    EXPECT_TRUE(agent->alive());
}

TEST_F(platform_process_test, sighup_reloads_the_entry)
{
    this->write_settings(this->entry_settings());
    const auto entry = this->start("sardine-platform-entry");
    ASSERT_TRUE(entry->wait_for_output("event=started")) << entry->output();
    entry->hang_up();
    EXPECT_TRUE(entry->wait_for_output("event=reloaded whole=yes")) << entry->output();
    this->write_settings(this->entry_settings() + "--retry_ratio=0.5\n");
    entry->hang_up();
    EXPECT_TRUE(entry->wait_for_output("needs a restart")) << entry->output();
    EXPECT_TRUE(entry->alive());
}

TEST_F(platform_process_test, invalid_settings_on_reload_change_nothing)
{
    this->write_settings(this->agent_settings("info"));
    const auto agent = this->start("sardine-platform-agent");
    ASSERT_TRUE(agent->wait_for_output("event=started")) << agent->output();
    this->write_settings(this->agent_settings("loud"));
    agent->hang_up();
    EXPECT_TRUE(agent->wait_for_output("event=reload_failed")) << agent->output();
    EXPECT_TRUE(agent->alive());
}

TEST_F(platform_process_test, prints_the_status_of_a_running_agent)
{
    const port_reservation ops;
    this->write_settings(
        absl::StrReplaceAll(this->agent_settings("info"),
                            {{"--ops_port=0", absl::StrCat("--ops_port=", ops.reserved().port)}}));
    const auto agent = this->start("sardine-platform-agent");
    ASSERT_TRUE(agent->wait_for_output("event=started")) << agent->output();
    const auto command = *process::start({.binary = "sardine-platform-agent",
                                          .flags = {"--print_status"},
                                          .log_directory = this->logs.path(),
                                          .name = "status"});
    EXPECT_EQ(command->wait_for_exit(), 0);
    EXPECT_TRUE(command->wait_for_output("\"engine_answers\": false")) << command->output();
}

TEST_F(platform_process_test, prints_the_status_of_a_running_entry)
{
    const port_reservation ops;
    this->write_settings(
        absl::StrReplaceAll(this->entry_settings(),
                            {{"--ops_port=0", absl::StrCat("--ops_port=", ops.reserved().port)}}));
    const auto entry = this->start("sardine-platform-entry");
    ASSERT_TRUE(entry->wait_for_output("event=started")) << entry->output();
    const auto command = *process::start({.binary = "sardine-platform-entry",
                                          .flags = {"--print_status"},
                                          .log_directory = this->logs.path(),
                                          .name = "status"});
    EXPECT_EQ(command->wait_for_exit(), 0);
    EXPECT_TRUE(command->wait_for_output("\"entries_alive\": 1")) << command->output();
}

TEST_F(platform_process_test, reports_that_no_process_answers)
{
    this->write_settings(this->agent_settings("info"));
    const auto command = *process::start({.binary = "sardine-platform-agent",
                                          .flags = {"--print_status", "--ops_port=1"},
                                          .log_directory = this->logs.path(),
                                          .name = "status"});
    EXPECT_EQ(command->wait_for_exit(), 1);
    EXPECT_TRUE(command->wait_for_output("127.0.0.1:1")) << command->output();
}

TEST_F(platform_process_test, checks_settings_without_a_start)
{
    this->write_settings(this->agent_settings("info"));
    const auto right = *process::start({.binary = "sardine-platform-agent",
                                        .flags = {"--check_settings"},
                                        .log_directory = this->logs.path(),
                                        .name = "right"});
    EXPECT_EQ(right->wait_for_exit(), 0);
    const auto wrong = *process::start({.binary = "sardine-platform-agent",
                                        .flags = {"--check_settings", "--skew_weight=1000"},
                                        .log_directory = this->logs.path(),
                                        .name = "wrong"});
    EXPECT_EQ(wrong->wait_for_exit(), exit_bad_settings);
    EXPECT_TRUE(wrong->wait_for_output("0.01 to 100")) << wrong->output();
}

// A deployment without the bound of cold servers leaves the values of these settings empty.
TEST_F(platform_process_test, a_bound_of_cold_servers_is_empty_or_a_number)
{
    const std::pair<const char*, int> cases[] = {
        {"--cold_overage=\n--cold_slack=\n", 0},
        {"--cold_overage=1.5\n--cold_slack=5\n", 0},
        {"--cold_overage=much\n--cold_slack=5\n", exit_bad_settings},
        {"--cold_overage=nan\n--cold_slack=5\n", exit_bad_settings},
        {"--cold_overage=1.5\n--cold_slack=-1\n", exit_bad_settings}};
    for (const auto& [settings, expected] : cases) {
        this->write_settings(this->entry_settings() + settings);
        const auto checked = *process::start({.binary = "sardine-platform-entry",
                                              .flags = {"--check_settings"},
                                              .log_directory = this->logs.path(),
                                              .name = "checked"});
        EXPECT_EQ(checked->wait_for_exit(), expected) << settings;
    }
}

// The setting renders as an empty value where a deployment has no evacuations.
TEST_F(platform_process_test, the_time_of_evacuations_may_be_empty)
{
    const auto check = [this](const std::string& value, int expected) {
        this->write_settings(absl::StrCat(this->entry_settings(), "--evacuation_ms=", value, "\n"));
        const auto command = *process::start({.binary = "sardine-platform-entry",
                                              .flags = {"--check_settings"},
                                              .log_directory = this->logs.path(),
                                              .name = absl::StrCat("check-", value)});
        EXPECT_EQ(command->wait_for_exit(), expected) << value << command->output();
    };
    for (const std::string value : {"", "0", "5000"}) {
        check(value, 0);
    }
    for (const std::string value : {"-1", "abc", "600001", "99999999999"}) {
        check(value, exit_bad_settings);
    }
}

TEST_F(platform_process_test, invalid_settings_prevent_the_start_and_are_named)
{
    this->write_settings(this->agent_settings("loud"));
    const auto agent = this->start("sardine-platform-agent");
    EXPECT_EQ(agent->wait_for_exit(), exit_bad_settings);
    EXPECT_TRUE(agent->wait_for_output("--log_level=loud")) << agent->output();
}

TEST_F(platform_process_test, the_entry_exits_within_its_grace_time)
{
    this->write_settings(this->entry_settings());
    const auto entry = this->start("sardine-platform-entry");
    ASSERT_TRUE(entry->wait_for_output("event=started")) << entry->output();
    const absl::Time begun = absl::Now();
    entry->terminate();
    EXPECT_EQ(entry->wait_for_exit(), 0);
    EXPECT_LT(absl::Now() - begun, absl::Seconds(3));
}

// Guards against a second signal that ends a stopping process before its grace.
TEST_F(platform_process_test, a_second_stop_signal_does_not_shorten_the_stop)
{
    this->write_settings(this->entry_settings());
    const auto entry = this->start("sardine-platform-entry");
    ASSERT_TRUE(entry->wait_for_output("event=started")) << entry->output();
    entry->terminate();
    ASSERT_TRUE(entry->wait_for_output("event=stopping")) << entry->output();
    entry->terminate();
    EXPECT_TRUE(entry->wait_for_output("event=stop_repeated")) << entry->output();
    EXPECT_EQ(entry->wait_for_exit(), 0);
    EXPECT_TRUE(entry->wait_for_output("event=stopped_accepting", absl::ZeroDuration()))
        << entry->output();
    EXPECT_TRUE(entry->wait_for_output("event=stopped ", absl::ZeroDuration())) << entry->output();
}

// Guards against a stop that waits for a reload and is killed when its grace ends.
TEST_F(platform_process_test, a_reload_that_hangs_does_not_delay_a_stop)
{
    this->write_settings(this->entry_settings());
    const auto entry = this->start("sardine-platform-entry");
    ASSERT_TRUE(entry->wait_for_output("event=started")) << entry->output();
    // Nobody writes into the pipe, so that reading the settings does not end.
    ASSERT_EQ(std::remove(this->settings_path.c_str()), 0);
    ASSERT_EQ(::mkfifo(this->settings_path.c_str(), S_IRUSR | S_IWUSR), 0);
    entry->hang_up();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    entry->terminate();
    EXPECT_EQ(entry->wait_for_exit(absl::Seconds(3)), 0) << entry->output();
}

// Guards against stops whose last lines, with the requests that they cut, never reached the output.
TEST_F(platform_process_test, the_last_line_of_a_stop_is_written)
{
    this->write_settings(this->entry_settings() + "--grace_s=1\n");
    constexpr int stops = 8;
    for (int stop = 0; stop < stops; ++stop) {
        const auto entry = this->start("sardine-platform-entry");
        ASSERT_TRUE(entry->wait_for_output("event=started")) << entry->output();
        entry->terminate();
        EXPECT_EQ(entry->wait_for_exit(), 0);
        EXPECT_TRUE(entry->wait_for_output("event=stopped", absl::ZeroDuration()))
            << entry->output();
    }
}

// Guards against a signal in the first moments of a process that ends it without a line.
TEST_F(platform_process_test, an_entry_that_is_stopped_while_it_reads_its_settings_ends_in_order)
{
    const auto entry = this->act_while_settings_are_read(
        "sardine-platform-entry", this->entry_settings() + "--grace_s=1\n",
        [](process& starting) { starting.terminate(); });
    EXPECT_EQ(entry->wait_for_exit(), 0) << entry->output();
    EXPECT_TRUE(entry->wait_for_output("event=stopping", absl::ZeroDuration())) << entry->output();
    EXPECT_TRUE(entry->wait_for_output("event=stopped ", absl::ZeroDuration())) << entry->output();
}

// Guards against a reload in the first moments of a process that ends it instead.
TEST_F(platform_process_test, an_entry_that_is_reloaded_while_it_reads_its_settings_starts)
{
    const auto entry =
        this->act_while_settings_are_read("sardine-platform-entry", this->entry_settings(),
                                          [](process& starting) { starting.hang_up(); });
    EXPECT_TRUE(entry->wait_for_output("event=started")) << entry->output();
    EXPECT_TRUE(entry->alive());
}

// Guards against the same end of an agent.
TEST_F(platform_process_test, an_agent_that_is_stopped_while_it_reads_its_settings_ends_in_order)
{
    const auto agent =
        this->act_while_settings_are_read("sardine-platform-agent", this->agent_settings("info"),
                                          [](process& starting) { starting.terminate(); });
    EXPECT_EQ(agent->wait_for_exit(), 0) << agent->output();
    EXPECT_TRUE(agent->wait_for_output("event=stopped", absl::ZeroDuration())) << agent->output();
}

} // namespace
} // namespace sardinestream::testing
