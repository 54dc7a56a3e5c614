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
    std::vector<begun_run> runs;
    backend_emulator server{make_options(local),
                            {[this](const begun_run& run) { this->runs.push_back(run); },
                             [](const std::string&) {},
                             [](const std::string&, const std::string&) {}}};
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

TEST_F(backend_emulator_test, a_refusal_has_not_run)
{
    this->server.set_trouble({.refusal_share = 1});
    EXPECT_TRUE(absl::StartsWith(this->ask("/deposits/1", "i-1"), "503"));
    EXPECT_TRUE(this->runs.empty());
}

TEST_F(backend_emulator_test, listens_no_more_once_it_has_stopped)
{
    this->server.stop();
    EXPECT_FALSE(tcp_socket::connect(this->local, this->deadline(), hangup_watch()).ok());
    EXPECT_FALSE(this->server.is_running());
}

} // namespace
} // namespace sardinestream::testing
