// A coordinating agent whose group's other machines are all frozen (their engines take a call and
// never answer), or have lost their agents only. What does it still do within its own bounds?

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>

#include "sardinestream/programs/agent_program.h"

#include "absl/status/status.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr char group_name[] = "g";
constexpr int ranks = 64;
constexpr int own_rank = 0;
constexpr std::uint32_t first_ip = 0x0a000001;
constexpr milliseconds message_interval{50};
// How long a call of an engine waits for its answer.
constexpr milliseconds call_timeout{100};
// How long a call of a far engine takes.
constexpr milliseconds answer_time{6};
constexpr milliseconds max_test_time{20000};

class agent_frozen_group_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        agent_options options;
        options.ip = ip_to_string(first_ip);
        options.engine = {options.ip, 8000};
        options.messages.send = [this](const gossip::MessageT& message,
                                       absl::Span<const std::uint32_t>) { this->record(message); };
        options.messages.receive = [this](steady_time deadline) {
            return this->next_message(deadline);
        };
        options.connect = [this](const address& engine) {
            return engine.ip == ip_to_string(first_ip) ? make_own_engine()
                                                       : this->make_other_engine(engine);
        };
        this->agent = std::make_unique<agent_program>(std::move(options));
        this->thread = std::thread([this] { this->agent->run(); });
    }

    void TearDown() override
    {
        this->agent->stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    template <typename Condition>
    [[nodiscard]] static bool wait_until(const Condition& holds)
    {
        const steady_time end = steady_clock::now() + max_test_time;
        while (!holds() && steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(2));
        }
        return holds();
    }

    std::unique_ptr<agent_program> agent;
    std::thread thread;
    // The machines are not frozen; their agents are gone all the same.
    std::atomic<bool> engines_answer = false;
    // Calls of frozen engines so far.
    std::atomic<int> unanswered = 0;
    // Calls of other engines since the last directive, and the most between two directives.
    std::atomic<int> since_directive = 0;
    std::atomic<int> most_between_directives = 0;

private:
    [[nodiscard]] static engine_report make_report(int rank)
    {
        engine_report report;
        report.running = 1;
        report.group = group_name;
        report.group_size = ranks;
        report.rank = rank;
        report.map_report.epoch = 1;
        report.map_report.step = 5;
        return report;
    }

    [[nodiscard]] static engine_interface make_own_engine()
    {
        engine_interface engine;
        engine.read_report = []() -> absl::StatusOr<engine_report> {
            return make_report(own_rank);
        };
        engine.read_counts = [] { return std::vector<std::int64_t>(4); };
        engine.read_experts = [] { return rank_experts{{0, 1}}; };
        engine.send_order = [](const engine_order&) { return order_outcome::accepted; };
        return engine;
    }

    [[nodiscard]] engine_interface make_other_engine(const address& at)
    {
        const int rank = static_cast<int>(ip_to_number(at.ip) - first_ip);
        engine_interface engine;
        engine.read_report = [this, rank]() -> absl::StatusOr<engine_report> {
            ++this->since_directive;
            if (this->engines_answer) {
                std::this_thread::sleep_for(answer_time);
                return make_report(rank);
            }
            ++this->unanswered;
            std::this_thread::sleep_for(call_timeout);
            return absl::DeadlineExceededError("no answer");
        };
        engine.read_counts = [] { return std::vector<std::int64_t>(4); };
        engine.read_experts = [] { return rank_experts{{0, 1}}; };
        engine.send_order = [](const engine_order&) { return order_outcome::no_answer; };
        return engine;
    }

    void record(const gossip::MessageT& message)
    {
        if (message.body.AsDirective() != nullptr) {
            const int calls = this->since_directive.exchange(0);
            this->most_between_directives = std::max(this->most_between_directives.load(), calls);
        }
    }

    [[nodiscard]] std::unique_ptr<gossip::MessageT> next_message(steady_time deadline)
    {
        const steady_time due = this->last_message + message_interval;
        std::this_thread::sleep_until(std::min(deadline, due));
        if (steady_clock::now() < due) {
            return nullptr;
        }
        this->last_message = steady_clock::now();
        gossip::GroupPlacesT endpoints;
        endpoints.group = group_name;
        endpoints.sets = 1;
        endpoints.experts = 2 * ranks;
        endpoints.places = 2;
        for (int rank = 0; rank < ranks; ++rank) {
            endpoints.ranks.emplace_back(rank, first_ip + static_cast<std::uint32_t>(rank), 8000);
        }
        return std::make_unique<gossip::MessageT>(make_message(std::move(endpoints)));
    }

    // Used by the agent's thread only.
    steady_time last_message{};
};

// Guards against a stop that lasts until each frozen engine has been called.
TEST_F(agent_frozen_group_test, a_stop_waits_for_few_frozen_engines)
{
    ASSERT_TRUE(wait_until([this] { return this->unanswered > 2; }));
    const int before = this->unanswered;
    this->agent->stop();
    this->thread.join();
    // The calls that fit into the time for leaving, and the one in progress.
    EXPECT_LE(this->unanswered - before, agent_program::max_leave_time / call_timeout + 1);
}

// Guards against frozen engines that make the others take their coordinator for lost.
TEST_F(agent_frozen_group_test, directives_go_out_between_calls_of_frozen_engines)
{
    ASSERT_TRUE(wait_until([this] { return this->unanswered > ranks; }));
    // As many as fit into half the time after which the others elect another coordinator.
    EXPECT_LE(this->most_between_directives, 4);
}

// Guards against states that grow too old for a change of map since few ranks are read in a poll.
TEST_F(agent_frozen_group_test, all_ranks_that_answer_are_read_in_one_poll)
{
    this->engines_answer = true;
    EXPECT_TRUE(wait_until([this] { return this->most_between_directives >= ranks - 1; }));
}

} // namespace
} // namespace sardinestream::testing
