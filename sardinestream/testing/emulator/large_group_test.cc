// The agents of one large group, each on a machine with a slow link: do changes of its expert map
// come about, and what do the links carry for it?

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sardinestream/platform/engine_calls.h"
#include "sardinestream/programs/agent_program.h"
#include "sardinestream/testing/emulator/news_network.h"
#include "sardinestream/testing/emulator/rank_group.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t first_ip = 0x0a000001;
constexpr int engine_port_number = 8000;
// Far beyond what a change takes: it must come about at all.
constexpr std::chrono::seconds patience{20};

json encode(const engine_order& order)
{
    switch (order.kind) {
    case order_kind::arm:
        return {{"operation", "arm"}, {"version", order.version}, {"step", order.step}};
    case order_kind::hold:
        return {{"operation", "hold"}, {"step", order.step}};
    case order_kind::release:
        return {{"operation", "go"}, {"step", order.step}};
    case order_kind::prepare:
        break;
    }
    json sets = json::array();
    for (int set = 0; set < order.map.shape().sets; ++set) {
        json ranks = json::array();
        for (int rank = 0; rank < order.map.shape().ranks; ++rank) {
            ranks.push_back(order.map.experts_of(set, rank));
        }
        sets.push_back(std::move(ranks));
    }
    return {{"operation", "prepare"}, {"version", order.version}, {"map", std::move(sets)}};
}

// The engine of one rank, called without a network.
engine_interface engine_of(rank_group& group, int rank)
{
    engine_interface port;
    port.read_report = [&group, rank] {
        json report = group.report(rank);
        report["running"] = 1;
        report["waiting"] = 0;
        return platform::decode_engine_report(report.dump());
    };
    port.read_counts = [&group, rank]() -> absl::StatusOr<std::vector<std::int64_t>> {
        return group.counts(rank).at("counts").get<std::vector<std::int64_t>>();
    };
    port.read_experts = [&group, rank]() -> absl::StatusOr<rank_experts> {
        return group.experts(rank).at("map").at("experts").get<rank_experts>();
    };
    port.send_order = [&group, rank](const engine_order& order) {
        json body = encode(order);
        body["epoch"] = order.epoch;
        constexpr int http_conflict = 409;
        return group.order(rank, body) < http_conflict ? order_outcome::accepted
                                                       : order_outcome::refused;
    };
    return port;
}

class large_group_test : public ::testing::Test {
protected:
    void start(const map_shape& shape, const news_link& link)
    {
        rank_group_options chosen;
        chosen.name = "g";
        chosen.shape = shape;
        chosen.most_new_experts = 2;
        chosen.pass_time = milliseconds(60);
        chosen.copy_time_per_expert = milliseconds(18);
        this->group = std::make_unique<rank_group>(
            chosen, [](const std::string& what) { ADD_FAILURE() << what; });
        this->network = std::make_unique<news_network>(link, 7);
        this->entry = this->network->open(this->entry_ip());
        for (int rank = 0; rank < shape.ranks; ++rank) {
            this->streams.push_back(std::make_unique<rank_group::stream>(*this->group, rank));
            this->add_agent(rank);
        }
        this->tell_places();
    }

    void TearDown() override
    {
        for (const auto& agent : this->agents) {
            agent->stop();
        }
        for (std::thread& thread : this->threads) {
            thread.join();
        }
    }

    [[nodiscard]] static std::uint32_t ip_of(int rank)
    {
        return first_ip + static_cast<std::uint32_t>(rank);
    }
    [[nodiscard]] std::uint32_t entry_ip() const { return first_ip + 0x1000; }

    // Asks for other experts and waits until a map made for them is in force.
    [[nodiscard]] bool follows_change(int taste)
    {
        const std::int64_t before = this->group->map_version();
        this->group->set_demand(taste);
        return this->waits_until([&] { return this->group->map_version() > before; });
    }

    template <typename Condition>
    [[nodiscard]] static bool waits_until(const Condition& holds)
    {
        const steady_time end = steady_clock::now() + patience;
        while (!holds() && steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        return holds();
    }

    // The rank that all agents follow, or -1.
    [[nodiscard]] int common_coordinator() const
    {
        const int first = this->agents.front()->status().coordinator_rank;
        for (const auto& agent : this->agents) {
            if (agent->status().coordinator_rank != first) {
                return -1;
            }
        }
        return first;
    }

    std::unique_ptr<rank_group> group;
    std::unique_ptr<news_network> network;
    std::vector<std::unique_ptr<agent_program>> agents;

private:
    void add_agent(int rank)
    {
        agent_options options;
        options.ip = ip_to_string(ip_of(rank));
        options.messages = this->network->open(ip_of(rank));
        options.engine = {options.ip, engine_port_number};
        options.connect = [this](const address& engine) {
            const int reached = static_cast<int>(ip_to_number(engine.ip) - first_ip);
            return engine_of(*this->group, reached);
        };
        this->agents.push_back(std::make_unique<agent_program>(std::move(options)));
        this->threads.emplace_back([agent = this->agents.back().get()] { agent->run(); });
    }

    // What entries do: who is where, until every agent knows it.
    void tell_places()
    {
        news::GroupPlacesT places;
        places.group = "g";
        places.sets = this->group->shape().sets;
        places.experts = this->group->shape().experts;
        places.places = this->group->shape().max_experts_per_rank;
        places.most_new_experts = 2;
        places.copy_ms = 18;
        places.expert_share = 0.85F;
        std::vector<std::uint32_t> ips;
        for (int rank = 0; rank < this->group->shape().ranks; ++rank) {
            places.ranks.emplace_back(rank, ip_of(rank), engine_port_number);
            ips.push_back(ip_of(rank));
        }
        const news::NewsT message = make_message(std::move(places));
        for (int times = 0; times < 5; ++times) {
            std::this_thread::sleep_for(milliseconds(150));
            this->entry.send(message, ips);
        }
    }

    message_channel entry;
    std::vector<std::unique_ptr<rank_group::stream>> streams;
    std::vector<std::thread> threads;
};

constexpr map_shape shape_of_96 = {16, 96, 192, 3};

TEST_F(large_group_test, follows_changes_of_demand_over_slow_links)
{
    this->start(shape_of_96, {});
    for (const int taste : {50, 120, 20}) {
        EXPECT_TRUE(this->follows_change(taste)) << taste;
    }
}

TEST_F(large_group_test, follows_changes_of_demand_while_messages_are_lost)
{
    news_link link;
    link.loss = 0.025;
    this->start(shape_of_96, link);
    for (const int taste : {50, 120}) {
        EXPECT_TRUE(this->follows_change(taste)) << taste;
    }
}

TEST_F(large_group_test, keeps_its_coordinator_while_maps_change)
{
    this->start(shape_of_96, {});
    ASSERT_TRUE(this->follows_change(50));
    const int coordinator = this->common_coordinator();
    EXPECT_GE(coordinator, 0);
    EXPECT_TRUE(this->follows_change(120));
    EXPECT_TRUE(this->follows_change(20));
    EXPECT_EQ(this->common_coordinator(), coordinator);
}

TEST_F(large_group_test, another_agent_goes_on_where_the_coordinator_is_cut_off)
{
    this->start(shape_of_96, {});
    ASSERT_TRUE(this->follows_change(50));
    const int first = this->common_coordinator();
    ASSERT_GE(first, 0);
    this->network->set_cut(ip_of(first), true);
    EXPECT_TRUE(this->follows_change(120));
    this->network->set_cut(ip_of(first), false);
    EXPECT_TRUE(waits_until([&] { return this->common_coordinator() >= 0; }));
    EXPECT_NE(this->common_coordinator(), first);
}

TEST_F(large_group_test, leaves_most_of_every_link_free)
{
    this->start(shape_of_96, {});
    ASSERT_TRUE(this->follows_change(50));
    std::vector<news_network::link_use> before;
    before.reserve(shape_of_96.ranks);
    for (int rank = 0; rank < shape_of_96.ranks; ++rank) {
        before.push_back(this->network->use_of(ip_of(rank)));
    }
    const steady_time begun = steady_clock::now();
    ASSERT_TRUE(this->follows_change(120));
    std::this_thread::sleep_for(milliseconds(1000));
    const std::chrono::duration<double> time = steady_clock::now() - begun;
    for (int rank = 0; rank < shape_of_96.ranks; ++rank) {
        const news_network::link_use now = this->network->use_of(ip_of(rank));
        const news_network::link_use& then = before[static_cast<std::size_t>(rank)];
        const double half = news_link().bytes_per_s * time.count() / 2;
        EXPECT_LT(static_cast<double>(now.bytes_sent - then.bytes_sent), half) << rank;
        EXPECT_LT(static_cast<double>(now.bytes_received - then.bytes_received), half) << rank;
        EXPECT_EQ(now.dropped, then.dropped) << rank;
    }
}

} // namespace
} // namespace sardinestream::testing
