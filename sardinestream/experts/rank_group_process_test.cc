// Tests changes of expert maps with real agent processes that are killed, frozen and restarted.
//
// The group's load drifts and the agents rebalance at every drift, so that maps change continually
// during the faults. The ledger of the stand-in engines shows whether any step ran on two maps.

#include <array>

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/testing/process.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace sardinestream::experts {
namespace {

using nlohmann::json;
using ::sardinestream::testing::port_reservation;
using ::sardinestream::testing::process;
using ::sardinestream::testing::process_options;
using ::sardinestream::testing::temp_directory;
using ::sardinestream::testing::wait_until;

constexpr int ranks = 3;

class rank_group_process_test : public ::testing::Test {
protected:
    void start(const std::string& honours_fencing = "true")
    {
        this->platform = this->run("standin_platform", "platform", {"--listen=127.0.0.1:0"});
        this->group = this->run("standin_rank_group", "group",
                                {absl::StrCat("--ranks=", ranks), "--drift_steps=50",
                                 absl::StrCat("--honours_fencing=", honours_fencing)});
        this->platform_address = this->platform->wait_until_listening().value();
        this->admin = this->group->wait_until_listening().value();
        const json ports = json::parse(this->get(this->admin, "/ports"));
        std::vector<std::string> addresses;
        for (const port_reservation& slot : this->slots) {
            addresses.push_back(slot.reserved().to_string());
        }
        for (int rank = 0; rank < ranks; ++rank) {
            const std::string engine = absl::StrCat("127.0.0.1:", ports[rank].get<int>());
            this->agents.push_back(this->run(
                "sardine-agent", absl::StrCat("agent-", rank),
                {absl::StrCat("--id=agent-", rank), "--data_centre=dc1", "--serves=assistant",
                 "--fleet_key=a key for this test only", absl::StrCat("--rank=", rank),
                 absl::StrCat("--listen=", addresses[rank]), absl::StrCat("--backend=", engine),
                 "--rank_group=assistant-0", "--experts_per_layer=16", "--rebalance=every_drift",
                 absl::StrCat("--group_agents=", absl::StrJoin(addresses, ",")),
                 absl::StrCat("--platform=", this->platform_address.to_string())}));
        }
        ASSERT_TRUE(this->changes_map());
    }

    [[nodiscard]] std::unique_ptr<process> run(const std::string& binary, const std::string& name,
                                               std::vector<std::string> flags)
    {
        process_options options;
        options.binary = binary;
        options.name = name;
        options.flags = std::move(flags);
        options.log_directory = this->logs.path();
        return process::start(std::move(options)).value();
    }

    [[nodiscard]] static std::string get(const address& server, const std::string& path)
    {
        httplib::Client client(server.ip, server.port);
        const httplib::Result result = client.Get(path);
        return result ? result->body : "";
    }

    static void post(const address& server, const std::string& path, const std::string& body)
    {
        httplib::Client client(server.ip, server.port);
        const httplib::Result result = client.Post(path, body, "application/json");
        EXPECT_TRUE(result && result->status == 200);
    }

    [[nodiscard]] std::uint64_t steps() const
    {
        return json::parse(get(this->admin, "/stats")).at("steps").get<std::uint64_t>();
    }

    // Returns how often the agent has reported a peer as silent so far.
    [[nodiscard]] static std::size_t count_silent(const process& agent)
    {
        const std::vector<std::string> parts = absl::StrSplit(agent.output(), "event=peer_silent");
        return parts.size() - 1;
    }

    // Returns the number of maps on which rank 0 has run, over all group incarnations.
    [[nodiscard]] std::size_t maps() const
    {
        return json::parse(get(this->admin, "/ledger")).at("ranks").at(0).size();
    }

    [[nodiscard]] bool makes_progress()
    {
        const std::uint64_t wanted = this->steps() + 50;
        return wait_until([&] { return this->steps() >= wanted; });
    }

    [[nodiscard]] bool changes_map()
    {
        const std::size_t wanted = this->maps() + 2;
        return wait_until([&] { return this->maps() >= wanted; });
    }

    void expect_progress_on_one_map()
    {
        EXPECT_TRUE(this->makes_progress());
        EXPECT_TRUE(this->changes_map());
        EXPECT_TRUE(json::parse(get(this->admin, "/ledger")).at("split").is_null());
    }

    temp_directory logs;
    std::array<port_reservation, ranks> slots;
    std::unique_ptr<process> platform;
    std::unique_ptr<process> group;
    std::vector<std::unique_ptr<process>> agents;
    address platform_address;
    address admin;
};

TEST_F(rank_group_process_test, killed_and_restarted_agents_run_each_step_on_one_map)
{
    this->start();
    for (int round = 0; round < 2; ++round) {
        for (const auto& agent : this->agents) {
            ASSERT_TRUE(agent->restart().ok());
            EXPECT_TRUE(this->makes_progress());
        }
    }
    this->expect_progress_on_one_map();
}

TEST_F(rank_group_process_test, frozen_and_resumed_agents_run_each_step_on_one_map)
{
    this->start("false");
    for (const auto& agent : this->agents) {
        // Agents report to the first two ranks, so one of them notices each freeze.
        const process& witness = *this->agents[agent == this->agents[0] ? 1 : 0];
        const std::size_t before = count_silent(witness);
        agent->freeze();
        EXPECT_TRUE(wait_until([&] { return count_silent(witness) > before; }));
        agent->wake();
        EXPECT_TRUE(this->makes_progress());
    }
    this->expect_progress_on_one_map();
}

TEST_F(rank_group_process_test, maps_change_during_a_store_outage)
{
    this->start();
    post(this->platform_address, "/admin/outage?mode=hang", "");
    this->expect_progress_on_one_map();
    ASSERT_TRUE(this->agents[1]->restart().ok());
    this->expect_progress_on_one_map();
    post(this->platform_address, "/admin/outage?mode=none", "");
}

TEST_F(rank_group_process_test, a_restarted_engine_rejoins_in_the_next_group_incarnation)
{
    this->start();
    for (int rank = 0; rank < ranks; ++rank) {
        post(this->admin, "/fault", absl::StrCat(R"({"fault":"kill","rank":)", rank, "}"));
        post(this->admin, "/fault", absl::StrCat(R"({"fault":"start","rank":)", rank, "}"));
        EXPECT_TRUE(this->makes_progress());
    }
    this->expect_progress_on_one_map();
}

} // namespace
} // namespace sardinestream::experts
