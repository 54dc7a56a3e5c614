// One agent whose engine does not answer for a moment, or no order: what the agent makes of the
// last report, and what it orders.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>

#include "sardinestream/programs/agent_program.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr char group_name[] = "a-group-whose-name-is-stored-on-the-heap";
constexpr int ranks = 2;
constexpr int own_rank = 0;
constexpr int other_rank = 1;
constexpr std::uint32_t first_ip = 0x0a000001;
constexpr milliseconds message_interval{50};
constexpr milliseconds max_test_time{5000};

class agent_engine_loss_test : public ::testing::Test {
protected:
    void start(bool follows_other)
    {
        this->follows = follows_other;
        agent_options options;
        options.ip = ip_to_string(first_ip);
        options.engine = {options.ip, 8000};
        options.messages.send = [this](const gossip::MessageT& message,
                                       absl::Span<const std::uint32_t>) { this->record(message); };
        options.messages.receive = [this](steady_time deadline) {
            return this->next_message(deadline);
        };
        options.connect = [this](const address&) { return this->make_engine(); };
        this->agent = std::make_unique<agent_program>(std::move(options));
        this->thread = std::thread([this] { this->agent->run(); });
    }

    void TearDown() override
    {
        this->agent->stop();
        this->thread.join();
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
    // The engine is held at a step for which it is not armed.
    std::atomic<bool> held = false;
    // The version that the engine shows as prepared while it is held; zero for another one in each
    // report, of which the other rank is the holder.
    std::atomic<std::int64_t> prepared_version = 0;
    // The highest version that the engine was ordered to prepare.
    std::atomic<std::int64_t> highest_ordered = 0;
    // Each directive of the other rank is of a new coordinator, and the next report gets no answer.
    std::atomic<bool> coordinators_change = false;
    std::atomic<int> directives = 0;
    // The number of next reports that get no answer.
    std::atomic<int> reports_to_lose = 0;
    // Whether the last report got no answer.
    std::atomic<bool> engine_lost = false;
    std::atomic<int> orders = 0;
    std::atomic<int> states_of_lost_engine = 0;
    std::atomic<int> appointments = 0;

private:
    [[nodiscard]] engine_interface make_engine()
    {
        engine_interface engine;
        engine.read_report = [this] { return this->read_report(); };
        engine.read_counts = [] { return std::vector<std::int64_t>(4); };
        engine.read_experts = [] { return rank_experts{{0, 1}}; };
        engine.send_order = [this](const engine_order& order) {
            ++this->orders;
            this->highest_ordered = std::max<std::int64_t>(this->highest_ordered, order.version);
            this->reports_to_lose = this->prepared_version > 0 ? 0 : 1;
            return order_outcome::no_answer;
        };
        return engine;
    }

    [[nodiscard]] absl::StatusOr<engine_report> read_report()
    {
        const bool lost = this->reports_to_lose > 0;
        this->engine_lost = lost;
        if (lost) {
            --this->reports_to_lose;
            return absl::DeadlineExceededError("no answer");
        }
        engine_report report;
        report.running = 1;
        report.group = group_name;
        report.group_size = ranks;
        report.rank = own_rank;
        report.map_report.epoch = 1;
        report.map_report.step = 5;
        if (this->held) {
            report.map_report.held_step = 5;
            report.map_report.prepared_version =
                this->prepared_version > 0 ? this->prepared_version.load() : this->next_version();
        }
        return report;
    }

    // Another version in each report: there is progress to report, held by the other rank.
    [[nodiscard]] std::int64_t next_version()
    {
        do {
            ++this->version;
        } while (holding_rank(this->version, ranks) == own_rank);
        return this->version;
    }

    void record(const gossip::MessageT& message)
    {
        if (message.body.AsRankState() != nullptr && this->engine_lost) {
            ++this->states_of_lost_engine;
        }
        const auto* const directive = message.body.AsDirective();
        if (directive != nullptr && directive->coordinator_rank == other_rank) {
            ++this->appointments;
        }
    }

    // Returns where the ranks are and, in turn, a message of the other rank's agent.
    [[nodiscard]] std::unique_ptr<gossip::MessageT> next_message(steady_time deadline)
    {
        const steady_time due = this->last_message + message_interval;
        std::this_thread::sleep_until(std::min(deadline, due));
        if (steady_clock::now() < due) {
            return nullptr;
        }
        this->last_message = steady_clock::now();
        this->sends_endpoints = !this->sends_endpoints;
        if (this->sends_endpoints) {
            return std::make_unique<gossip::MessageT>(this->make_endpoints());
        }
        return std::make_unique<gossip::MessageT>(this->follows ? this->make_directive()
                                                                : this->make_state());
    }

    [[nodiscard]] static gossip::MessageT make_endpoints()
    {
        gossip::GroupPlacesT endpoints;
        endpoints.group = group_name;
        endpoints.sets = 1;
        endpoints.experts = 4;
        endpoints.places = 2;
        for (int rank = 0; rank < ranks; ++rank) {
            endpoints.ranks.emplace_back(rank, first_ip + static_cast<std::uint32_t>(rank), 8000);
        }
        return make_message(std::move(endpoints));
    }

    [[nodiscard]] gossip::MessageT make_directive()
    {
        ++this->directives;
        gossip::DirectiveT directive;
        directive.group = group_name;
        directive.term = 1U << 20U;
        if (this->coordinators_change) {
            directive.term += static_cast<std::uint64_t>(this->directives * ranks);
            this->reports_to_lose = 1;
        }
        directive.coordinator_rank = other_rank;
        directive.coordinator_ip = first_ip + other_rank;
        return make_message(std::move(directive));
    }

    [[nodiscard]] gossip::MessageT make_state()
    {
        gossip::RankStateT state;
        state.group = group_name;
        state.rank = other_rank;
        state.ip = first_ip + other_rank;
        state.sequence = ++this->sequence;
        state.term = this->agent->status().term;
        return make_message(std::move(state));
    }

    bool follows = false;
    // Used by the agent's thread only.
    steady_time last_message{};
    bool sends_endpoints = false;
    std::uint64_t sequence = 0;
    std::int64_t version = 1;
    std::thread thread;
};

TEST_F(agent_engine_loss_test, a_stalled_hold_of_a_lost_engine_is_not_reported)
{
    this->start(true);
    this->held = true;
    constexpr int enough_orders = 5;
    EXPECT_TRUE(wait_until([this] { return this->orders >= enough_orders; }));
    EXPECT_EQ(this->states_of_lost_engine, 0);
}

TEST_F(agent_engine_loss_test, a_coordinator_whose_engine_misses_one_call_in_a_stop_has_a_successor)
{
    this->start(false);
    ASSERT_TRUE(wait_until([this] { return this->agent->status().coordinating; }));
    std::this_thread::sleep_for(4 * message_interval);
    this->reports_to_lose = 1;
    this->agent->stop();
    EXPECT_TRUE(wait_until([this] { return this->appointments > 0; }));
}

// Guards against an agent that reads a report which one lost call has taken away. The library's
// assertions are on in tests, so that it would end.
TEST_F(agent_engine_loss_test, an_engine_that_misses_the_call_for_a_new_coordinator_ends_no_agent)
{
    this->coordinators_change = true;
    this->start(true);
    constexpr int enough_directives = 10;
    EXPECT_TRUE(wait_until([this] { return this->directives >= enough_directives; }));
    EXPECT_EQ(this->states_of_lost_engine, 0);
}

// Guards against a group that stands for good: an engine that answers no order carries one of them
// out seconds later, above the version of a later switch, when its agent has restarted.
TEST_F(agent_engine_loss_test, orders_that_cancel_a_switch_stay_below_the_next_plan)
{
    constexpr std::int64_t planned = ranks; // its holder is this agent's rank
    ASSERT_EQ(holding_rank(planned, ranks), own_rank);
    this->prepared_version = planned;
    this->start(true);
    this->held = true;
    constexpr int enough_orders = 8;
    EXPECT_TRUE(wait_until([this] { return this->orders >= enough_orders; }));
    EXPECT_GT(this->highest_ordered, planned);
    EXPECT_LT(this->highest_ordered, plan_version_after(planned, 0));
}

} // namespace
} // namespace sardinestream::testing
