// Planned stops of the product's own agent and entry, with real processes: calls that cross the
// notice of a stop, and how long a process may stay.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/testing/fleet.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

constexpr char deposits[] = "/services/till/deposits";

std::unique_ptr<fleet> make_fleet(fleet_options options)
{
    absl::StatusOr<std::unique_ptr<fleet>> made = fleet::create(std::move(options));
    EXPECT_TRUE(made.ok()) << made.status();
    return made.ok() ? *std::move(made) : nullptr;
}

agent_node& first_plain_agent(fleet& servers)
{
    return **std::find_if(servers.agents().begin(), servers.agents().end(),
                          [](const auto& agent) { return !agent->model; });
}

// A connection on which a test sends parts of a request.
class raw_connection {
public:
    explicit raw_connection(const address& remote) : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(remote.port));
        inet_pton(AF_INET, remote.ip.c_str(), &to.sin_addr);
        EXPECT_EQ(connect(this->descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)), 0);
    }
    ~raw_connection() { close(this->descriptor); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    // Returns false if the connection has been closed.
    [[nodiscard]] bool write(absl::string_view bytes) const
    {
        return send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

private:
    const int descriptor;
};

// Guards against requests that a leaving agent neither serves nor refuses.
TEST(stop_process_test,
     calls_that_cross_the_notice_of_an_idle_agent_are_served_or_refused_as_not_run)
{
    fleet_options options;
    options.entries = 1;
    options.model_agents = 1;
    options.one_way_delay = absl::Milliseconds(40);
    const auto servers = make_fleet(std::move(options));
    ASSERT_NE(servers, nullptr);
    constexpr int callers = 24;
    // Each caller sends one call, spread over the time around the notice.
    constexpr std::chrono::milliseconds gap{5};
    std::vector<std::future<call_answer>> answers;
    answers.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        answers.push_back(std::async(std::launch::async, [&servers, gap, i] {
            std::this_thread::sleep_for(gap * i);
            return servers->caller_of(0).call("POST", deposits, "deposit",
                                              {{"Idempotency-Key", absl::StrCat("crossing-", i)}});
        }));
    }
    first_plain_agent(*servers).run->terminate();
    for (std::future<call_answer>& each : answers) {
        const call_answer answer = each.get();
        EXPECT_TRUE(answer.success() || answer.error.outcome == "not_run") << answer.summary();
    }
    EXPECT_EQ(first_plain_agent(*servers).run->wait_for_exit(), 0);
}

// Guards against agents that are gone before an entry has read that they leave.
TEST(stop_process_test, calls_sent_before_a_late_notice_arrives_are_served_or_refused_as_not_run)
{
    fleet_options options;
    options.entries = 1;
    options.model_agents = 1;
    const auto servers = make_fleet(std::move(options));
    ASSERT_NE(servers, nullptr);
    agent_node& leaver = first_plain_agent(*servers);
    const auto late = leaver.peers->add({.at = frame_pattern(wire::frame_type::leaving),
                                         .fault = fault_kind::delay,
                                         .delay = absl::Milliseconds(800)});
    leaver.run->terminate();
    std::vector<std::future<call_answer>> answers;
    // As many as arrive while the notice is on its way.
    for (int i = 0; !late->fired(); ++i) {
        answers.push_back(std::async(std::launch::async, [&servers, i] {
            return servers->caller_of(0).call("POST", deposits, "deposit",
                                              {{"Idempotency-Key", absl::StrCat("early-", i)}});
        }));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_FALSE(answers.empty());
    for (std::future<call_answer>& each : answers) {
        const call_answer answer = each.get();
        EXPECT_TRUE(answer.success() || answer.error.outcome == "not_run") << answer.summary();
    }
    EXPECT_EQ(leaver.run->wait_for_exit(), 0);
}

// Guards against agents that stay until they are killed.
TEST(stop_process_test, an_agent_whose_backend_hangs_ends_after_its_drain)
{
    fleet_options options;
    options.entries = 1;
    options.model_agents = 1;
    options.plain_agents = 1;
    options.agent_flags = {"--drain_timeout_s=1"};
    const auto servers = make_fleet(std::move(options));
    ASSERT_NE(servers, nullptr);
    agent_node& agent = first_plain_agent(*servers);
    EXPECT_TRUE(caller(agent.backend.reserved(), "")
                    .call("POST", "/admin/faults", R"({"hang":true})", {})
                    .success());
    std::future<call_answer> hanging = std::async(std::launch::async, [&servers] {
        return servers->caller_of(0).call("POST", deposits, "deposit",
                                          {{"Idempotency-Key", "hanging"}});
    });
    EXPECT_TRUE(wait_until([&servers] { return servers->runs_of("hanging") > 0; }));
    agent.run->terminate();
    EXPECT_EQ(agent.run->wait_for_exit(absl::Seconds(4)), 0);
    agent.run->kill();
    static_cast<void>(hanging.get());
}

// Guards against entries that stay until they are killed.
TEST(stop_process_test, a_head_that_trickles_in_does_not_keep_an_entry)
{
    fleet_options options;
    options.entries = 1;
    options.model_agents = 1;
    options.plain_agents = 1;
    options.entry_flags = {"--drain_timeout_s=1"};
    const auto servers = make_fleet(std::move(options));
    ASSERT_NE(servers, nullptr);
    process& entry = *servers->entry(0).run;
    const raw_connection caller(servers->entry(0).http.reserved());
    ASSERT_TRUE(caller.write("GET /services/stock/bowls HTTP/1.1\r\nX-Slow: "));
    std::atomic<bool> done{false};
    std::thread trickling([&] {
        while (!done && caller.write("x")) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    });
    entry.terminate();
    EXPECT_EQ(entry.wait_for_exit(absl::Seconds(4)), 0);
    done = true;
    entry.kill();
    trickling.join();
}

} // namespace
} // namespace sardinestream::testing
