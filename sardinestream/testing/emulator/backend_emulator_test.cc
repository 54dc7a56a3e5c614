#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/testing/emulator/backend_emulator.h"
#include "sardinestream/testing/emulator/wire_words.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

class backend_emulator_test : public ::testing::Test {
protected:
    backend_emulator_test()
    {
        EXPECT_TRUE(this->server.start("i-1").ok());
        this->server.set_trouble({});
        const nlohmann::json listed = this->server.entry({"127.0.0.1", 1});
        EXPECT_EQ(listed["state"], "ready");
    }

    // Sends a request meant for the server `id` and reads the whole answer.
    std::string ask(const std::string& target, const std::string& id)
    {
        absl::StatusOr<tcp_socket> socket =
            tcp_socket::connect(this->local, this->deadline(), hangup_watch());
        EXPECT_TRUE(socket.ok()) << socket.status();
        const std::string request = absl::StrCat(
            "GET ", target, " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n", words::request_id,
            ": r1\r\n", words::expected_server, ": ", id, "\r\n\r\n");
        EXPECT_TRUE(socket->write_all(request, this->deadline(), hangup_watch()).ok());
        message_reader reader(*socket);
        const auto head =
            reader.read_response_head(message_limits{}, false, this->deadline(), hangup_watch());
        if (!head.ok()) {
            return std::string(head.status().message());
        }
        this->headers = head->headers;
        std::string body;
        const absl::Status read =
            reader.read_body(message_limits{}.body_bytes, body, this->deadline(), hangup_watch());
        return absl::StrCat(head->status, " ", read.ok() ? body : "incomplete");
    }

    static steady_time deadline() { return steady_clock::now() + milliseconds(3000); }

    static address free_address()
    {
        const absl::StatusOr<tcp_listener> listener = tcp_listener::bind({"127.0.0.1", 0});
        return listener->local();
    }

    static backend_options make_options(const address& at)
    {
        backend_options options;
        options.id = "i-1";
        options.service = "till";
        options.local = at;
        options.work_time = milliseconds(2);
        return options;
    }

    const address local = free_address();
    backend_hooks make_hooks()
    {
        backend_hooks hooks;
        hooks.on_begin = [this](const begun_run& run) { this->runs.push_back(run); };
        hooks.on_end = [](const std::string&) {};
        hooks.on_arrival = [](const std::string&, const std::string&, const std::string&) {};
        hooks.on_broke_off = [this](const std::string& request_id) {
            this->said.push_back(request_id + " broken off");
        };
        hooks.on_leaving_said = [this](const std::string&, const std::string& server_id) {
            this->said.push_back(server_id + " leaves");
        };
        hooks.on_hold_off_said = [this](const std::string&, const std::string& server_id,
                                        steady_time) {
            this->said.push_back(server_id + " holds off");
        };
        return hooks;
    }

    std::vector<begun_run> runs;
    std::vector<std::string> said;
    // Headers of the last answer.
    http_headers headers;
    backend_emulator server{make_options(local), make_hooks()};
};

TEST_F(backend_emulator_test, answers_with_what_the_request_held)
{
    EXPECT_EQ(this->ask("/deposits/1", "i-1"),
              absl::StrCat("200 ", expected_answer("r1", "/deposits/1", "")));
    ASSERT_EQ(this->runs.size(), 1U);
    EXPECT_EQ(this->runs[0].request_id, "r1");
}

TEST_F(backend_emulator_test, does_not_run_what_is_meant_for_another_server)
{
    EXPECT_TRUE(absl::StartsWith(this->ask("/deposits/1", "i-2"), "421"));
    EXPECT_TRUE(this->runs.empty());
}

TEST_F(backend_emulator_test, a_cut_answer_is_incomplete_and_has_run)
{
    this->server.set_trouble({.cut_share = 1});
    EXPECT_FALSE(absl::StrContains(this->ask("/deposits/1", "i-1"), "r1 /deposits/1"));
    EXPECT_EQ(this->runs.size(), 1U);
}

TEST_F(backend_emulator_test, says_which_runs_it_broke_off_itself)
{
    EXPECT_TRUE(absl::StartsWith(this->ask("/deposits/1", "i-1"), "200"));
    EXPECT_TRUE(this->said.empty());
    this->server.set_trouble({.cut_share = 1});
    static_cast<void>(this->ask("/deposits/1", "i-1"));
    EXPECT_EQ(this->said, std::vector<std::string>{"r1 broken off"});
}

TEST(expected_answers, a_target_names_the_pace_and_the_number_of_events)
{
    EXPECT_EQ(events_of("/chat/120/30"), 30);
    EXPECT_EQ(pace_of("/chat/120/30"), milliseconds(120));
    EXPECT_EQ(events_of("/chat/30"), 30);
    EXPECT_EQ(pace_of("/chat/30"), milliseconds(0));
}

// Guards against a stand-in whose streams are simpler than those of a sound server: its ids leave
// gaps.
TEST(expected_answers, ids_of_events_increase_by_steps_that_differ)
{
    EXPECT_EQ(event_id(0), 0);
    EXPECT_NE(event_id(2) - event_id(1), event_id(3) - event_id(2));
    for (std::int64_t number = 1; number < 50; ++number) {
        EXPECT_GT(event_id(number), event_id(number - 1) + 1);
        EXPECT_EQ(event_number(event_id(number)), number);
    }
}

TEST_F(backend_emulator_test, an_endless_answer_ends_when_its_connection_is_closed)
{
    this->server.set_trouble({.endless_share = 1});
    for (int i = 0; i < 8; ++i) {
        EXPECT_FALSE(absl::StrContains(this->ask("/deposits/1", "i-1"), "r1 /deposits/1"));
    }
    this->server.stop();
    EXPECT_EQ(this->runs.size(), 8U);
}

TEST_F(backend_emulator_test, a_refusal_has_not_run)
{
    this->server.set_trouble({.refusal_share = 1});
    EXPECT_TRUE(absl::StartsWith(this->ask("/deposits/1", "i-1"), "503"));
    EXPECT_TRUE(this->runs.empty());
}

TEST_F(backend_emulator_test, says_in_its_answers_that_it_leaves_until_its_next_start)
{
    this->server.say_leaving();
    EXPECT_TRUE(absl::StartsWith(this->ask("/deposits/1", "i-1"), "200"));
    EXPECT_EQ(find_header(this->headers, "Server-Leaving"), "1");
    EXPECT_EQ(this->said, std::vector<std::string>{"i-1 leaves"});
    EXPECT_EQ(this->server.entry(this->local)["state"], "ready");
    this->server.stop();
    ASSERT_TRUE(this->server.start("i-2").ok());
    EXPECT_TRUE(absl::StartsWith(this->ask("/deposits/1", "i-2"), "200"));
    EXPECT_FALSE(find_header(this->headers, "Server-Leaving").has_value());
}

TEST_F(backend_emulator_test, refuses_while_it_holds_off_and_says_for_how_long)
{
    this->server.hold_off(steady_clock::now() + milliseconds(300));
    EXPECT_TRUE(absl::StartsWith(this->ask("/deposits/1", "i-1"), "503"));
    EXPECT_TRUE(absl::StartsWith(*find_header(this->headers, "Retry-After"), "0."));
    EXPECT_EQ(this->said, std::vector<std::string>{"i-1 holds off"});
    EXPECT_TRUE(this->runs.empty());
    std::this_thread::sleep_for(milliseconds(320));
    EXPECT_TRUE(absl::StartsWith(this->ask("/deposits/1", "i-1"), "200"));
}

TEST_F(backend_emulator_test, listens_no_more_once_it_has_stopped)
{
    this->server.stop();
    EXPECT_FALSE(tcp_socket::connect(this->local, this->deadline(), hangup_watch()).ok());
    EXPECT_FALSE(this->server.is_running());
}

} // namespace
} // namespace sardinestream::testing
