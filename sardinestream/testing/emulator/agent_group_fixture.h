// The agents of one rank group, each on a machine of its own in a network in memory.
//
//     class my_test : public agent_group_fixture { ... };
//     this->start(options_of_group, {});
//     ASSERT_TRUE(this->follows_change(50));

#ifndef SARDINESTREAM_TESTING_EMULATOR_AGENT_GROUP_FIXTURE_H_
#define SARDINESTREAM_TESTING_EMULATOR_AGENT_GROUP_FIXTURE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sardinestream/platform/engine_calls.h"
#include "sardinestream/programs/agent_program.h"
#include "sardinestream/testing/emulator/gossip_network.h"
#include "sardinestream/testing/emulator/rank_group.h"

namespace sardinestream::testing {

constexpr std::uint32_t first_ip = 0x0a000001;
constexpr int engine_port_number = 8000;
// Far beyond what a change takes: it must come about at all.
constexpr std::chrono::seconds patience{20};

inline nlohmann::json encode(const engine_order& order)
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
    nlohmann::json sets = nlohmann::json::array();
    for (int set = 0; set < order.map.shape().sets; ++set) {
        nlohmann::json ranks = nlohmann::json::array();
        for (int rank = 0; rank < order.map.shape().ranks; ++rank) {
            ranks.push_back(order.map.experts_of(set, rank));
        }
        sets.push_back(std::move(ranks));
    }
    return {{"operation", "prepare"}, {"version", order.version}, {"map", std::move(sets)}};
}

// Called for each order that an engine has accepted.
using order_hook = std::function<void(int rank, const engine_order& order)>;

// The engine of one rank, called without a network.
inline engine_interface engine_of(rank_group& group, int rank, const order_hook& on_accepted)
{
    engine_interface port;
    port.read_report = [&group, rank] {
        nlohmann::json report = group.report(rank);
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
    port.send_order = [&group, rank, on_accepted](const engine_order& order) {
        nlohmann::json body = encode(order);
        body["epoch"] = order.epoch;
        constexpr int http_conflict = 409;
        if (group.order(rank, body) >= http_conflict) {
            return order_outcome::refused;
        }
        if (on_accepted) {
            on_accepted(rank, order);
        }
        return order_outcome::accepted;
    };
    return port;
}

class agent_group_fixture : public ::testing::Test {
protected:
    void start(const rank_group_options& chosen, const gossip_link& link)
    {
        const map_shape& shape = chosen.shape;
        this->options = chosen;
        this->group = std::make_unique<rank_group>(
            chosen, [](const std::string& what) { ADD_FAILURE() << what; });
        this->network = std::make_unique<gossip_network>(link, 7);
        this->entry = this->network->open(this->entry_ip());
        const auto ranks = static_cast<std::size_t>(shape.ranks);
        this->direct_reads = std::vector<std::atomic<int>>(ranks);
        this->agents.resize(ranks);
        this->threads.resize(ranks);
        for (int rank = 0; rank < shape.ranks; ++rank) {
            this->streams.push_back(std::make_unique<rank_group::stream>(*this->group, rank));
            this->run_agent(rank);
        }
        this->tell_places();
    }

    void TearDown() override
    {
        for (const auto& agent : this->agents) {
            agent->stop();
        }
        for (std::thread& thread : this->threads) {
            if (thread.joinable()) {
                thread.join();
            }
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
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
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

    // Waits until the agent of a rank that has been asked to stop has ended.
    void wait_for_end(int rank) { this->threads[static_cast<std::size_t>(rank)].join(); }

    // Starts another agent in place of one that has ended.
    void replace_agent(int rank)
    {
        this->run_agent(rank);
        this->tell_places();
    }

    // What entries do: who is where, until every agent knows it.
    void tell_places()
    {
        gossip::GroupPlacesT places;
        places.group = this->options.name;
        places.sets = this->group->shape().sets;
        places.experts = this->group->shape().experts;
        places.places = this->group->shape().max_experts_per_rank;
        places.most_new_experts = this->options.most_new_experts;
        places.copy_ms = static_cast<float>(this->options.copy_time_per_expert.count());
        places.expert_share = 0.85F;
        std::vector<std::uint32_t> ips;
        for (int rank = 0; rank < this->group->shape().ranks; ++rank) {
            places.ranks.emplace_back(rank, ip_of(rank), engine_port_number);
            ips.push_back(ip_of(rank));
        }
        const gossip::MessageT message = make_message(std::move(places));
        for (int times = 0; times < 5; ++times) {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            this->entry.send(message, ips);
        }
    }

    std::unique_ptr<rank_group> group;
    std::unique_ptr<gossip_network> network;
    std::vector<std::unique_ptr<agent_program>> agents;
    // How often the engine of each rank was read by the agent of another one.
    std::vector<std::atomic<int>> direct_reads;
    // Set it before `start`. Called by several threads.
    order_hook on_order;
    // A rank whose experts cannot be read; none below zero.
    std::atomic<int> unread_rank = -1;

private:
    [[nodiscard]] std::unique_ptr<agent_program> make_agent(int rank)
    {
        agent_options made;
        made.ip = ip_to_string(ip_of(rank));
        made.messages = this->network->open(ip_of(rank));
        made.engine = {made.ip, engine_port_number};
        made.connect = [this, rank](const address& engine) {
            const int reached = static_cast<int>(ip_to_number(engine.ip) - first_ip);
            engine_interface port = engine_of(*this->group, reached, this->on_order);
            port.read_experts = [this, reached, read = std::move(port.read_experts)] {
                return this->unread_rank == reached
                           ? absl::StatusOr<rank_experts>(absl::DeadlineExceededError("no answer"))
                           : read();
            };
            if (reached != rank) {
                port.read_report = [this, reached, read = std::move(port.read_report)] {
                    ++this->direct_reads[static_cast<std::size_t>(reached)];
                    return read();
                };
            }
            return port;
        };
        return std::make_unique<agent_program>(std::move(made));
    }

    void run_agent(int rank)
    {
        const auto index = static_cast<std::size_t>(rank);
        this->agents[index] = this->make_agent(rank);
        this->threads[index] = std::thread([agent = this->agents[index].get()] { agent->run(); });
    }

    message_channel entry;
    std::vector<std::unique_ptr<rank_group::stream>> streams;
    // By rank, as `agents`.
    std::vector<std::thread> threads;
    rank_group_options options;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_AGENT_GROUP_FIXTURE_H_
