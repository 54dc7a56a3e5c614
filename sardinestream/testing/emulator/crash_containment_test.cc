// Tests that requests which crash backend servers are kept away from them by all entries, while
// other requests are served. Entries run in this process, each on a loopback address of its own.

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/programs/agent_program.h"
#include "sardinestream/testing/emulator/entry_fleet_fixture.h"

#include "absl/strings/match.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr char bad_part[] = "badc0de";
// From the fifth crash until requests with its cause must be kept away.
constexpr milliseconds reaction_time{3000};
constexpr int crashes_to_react = 5;
constexpr int max_late_arrivals = 3;
constexpr milliseconds restart_time{600};
constexpr milliseconds send_interval{60};

// Backend servers that end as soon as they begin to answer a request with the bad part, and are
// back some time later under another id.
class crashing_servers {
public:
    explicit crashing_servers(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->nodes.push_back(std::make_unique<node>());
            this->start(*this->nodes.back());
        }
    }

    // Ends servers that have crashed and restarts those whose time has come. Returns whether the
    // list has changed.
    bool update()
    {
        bool changed = false;
        for (const std::unique_ptr<node>& one : this->nodes) {
            if (one->server != nullptr && one->crashes) {
                one->server.reset();
                one->returns_at = steady_clock::now() + restart_time;
                ++this->crash_count;
            }
            if (one->server == nullptr && steady_clock::now() >= one->returns_at) {
                this->start(*one);
                changed = true;
            }
        }
        return changed;
    }

    [[nodiscard]] server_list list() const
    {
        server_list all;
        all.position.revision = this->revision;
        for (const std::unique_ptr<node>& one : this->nodes) {
            all.servers.push_back({one->described, {one->revision}});
        }
        return all;
    }

    [[nodiscard]] int crashes() const { return this->crash_count; }
    [[nodiscard]] int bad_arrivals() const { return this->bad_count; }

private:
    struct node {
        std::atomic<bool> crashes = false;
        backend_server described;
        std::int64_t revision = 0;
        steady_time returns_at{};
        std::unique_ptr<connection_server> server;
    };

    void start(node& one)
    {
        one.crashes = false;
        one.revision = ++this->revision;
        one.server = *connection_server::start({fleet_server_ip, 0},
                                               [this, &one](served_connection& connection) {
                                                   emulated_request request;
                                                   while (connection.read(request)) {
                                                       this->answer(one, connection, request);
                                                   }
                                               });
        one.described.id = absl::StrCat("i-", one.revision);
        one.described.service = fleet_service;
        one.described.slots = 8;
        one.described.born_ms = one.revision;
        one.described.endpoint = one.server->local();
    }

    void answer(node& one, served_connection& connection, const emulated_request& request)
    {
        write_stream_head(connection, request, {});
        if (absl::StrContains(request.header(words::prompt_parts), bad_part)) {
            ++this->bad_count;
            one.crashes = true;
            static_cast<void>(connection.work_for(milliseconds(2000)));
            connection.finish();
            return;
        }
        write_whole_stream(connection);
    }

    std::vector<std::unique_ptr<node>> nodes;
    std::int64_t revision = 1;
    int crash_count = 0;
    std::atomic<int> bad_count = 0;
};

// The engine beside an agent: always idle, and in no group.
engine_interface idle_engine(const address&)
{
    engine_interface port;
    port.read_report = []() -> absl::StatusOr<engine_report> { return engine_report(); };
    port.read_counts = []() -> absl::StatusOr<std::vector<std::int64_t>> {
        return std::vector<std::int64_t>();
    };
    port.read_experts = []() -> absl::StatusOr<rank_experts> { return rank_experts(); };
    port.send_order = [](const engine_order&) { return order_outcome::refused; };
    return port;
}

class crash_containment : public entry_fleet_test {
protected:
    void TearDown() override
    {
        entry_fleet_test::TearDown();
        if (this->agent != nullptr) {
            this->agent->stop();
            this->agent_thread.join();
        }
    }

    // Starts the agent of the machine on which the servers run.
    void start_agent()
    {
        agent_options options;
        options.ip = fleet_server_ip;
        options.messages = *open_message_channel({fleet_server_ip, gossip_port});
        options.engine = {fleet_server_ip, 0};
        options.connect = idle_engine;
        this->agent = std::make_unique<agent_program>(std::move(options));
        this->agent_thread = std::thread([this] { this->agent->run(); });
    }

    void start_entry() { entry_fleet_test::start_entry(this->servers.list()); }

    void update_servers()
    {
        if (this->servers.update()) {
            this->list_servers(this->servers.list());
        }
    }

    // Sends requests with and without the bad part for this time.
    void send_both_for(milliseconds duration)
    {
        const steady_time end = steady_clock::now() + duration;
        while (steady_clock::now() < end) {
            this->send(absl::StrCat("first:40,", bad_part, ":20"), this->bad_served);
            this->send(absl::StrCat("first:40,fine", this->sent % 3, ":20"), this->sound_served);
            ++this->sound_sent;
            this->update_servers();
            std::this_thread::sleep_for(send_interval);
        }
    }

    void send_both_until_reaction_is_due()
    {
        const steady_time give_up = steady_clock::now() + milliseconds(6000);
        while (this->servers.crashes() < crashes_to_react && steady_clock::now() < give_up) {
            this->send_both_for(send_interval);
        }
        this->send_both_for(reaction_time);
    }

    crashing_servers servers{8};
    std::unique_ptr<agent_program> agent;
    std::thread agent_thread;
    int sound_sent = 0;
    std::atomic<int> sound_served = 0;
    std::atomic<int> bad_served = 0;
};

TEST_F(crash_containment, a_prompt_part_that_crashes_servers_reaches_no_more_of_them_from_any_entry)
{
    this->start_entry();
    this->start_entry();
    this->send_both_until_reaction_is_due();
    const int before = this->servers.bad_arrivals();
    this->start_entry();
    this->send_both_for(milliseconds(3000));
    EXPECT_LE(this->servers.bad_arrivals() - before, max_late_arrivals);
}

TEST_F(crash_containment, requests_without_the_part_are_served)
{
    this->start_entry();
    this->start_entry();
    this->send_both_until_reaction_is_due();
    const int sent_before = this->sound_sent;
    const int served_before = this->sound_served;
    this->send_both_for(milliseconds(3000));
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_GE(2 * (this->sound_served - served_before), this->sound_sent - sent_before);
}

TEST_F(crash_containment, entries_that_all_start_anew_still_know_the_part)
{
    this->start_agent();
    this->start_entry();
    this->start_entry();
    this->send_both_until_reaction_is_due();
    this->wait_for_answers();
    this->entries.clear();
    this->start_entry();
    this->start_entry();
    std::this_thread::sleep_for(milliseconds(1000));
    const int before = this->servers.bad_arrivals();
    this->send_both_for(milliseconds(3000));
    EXPECT_LE(this->servers.bad_arrivals() - before, max_late_arrivals);
}

} // namespace
} // namespace sardinestream::testing
