// Tests that entries share the state that only one of them received from the store. Each entry has
// its own loopback address, since all of them use the same port for their messages.

#include <gtest/gtest.h>

#include "sardinestream/programs/entry_program.h"
#include "sardinestream/testing/loopback_network.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

absl::StatusOr<std::shared_ptr<const desired_state>> decode_version(absl::string_view text)
{
    auto state = std::make_shared<desired_state>();
    if (!absl::SimpleAtoi(text, &state->version)) {
        return absl::InvalidArgumentError("no version");
    }
    state->services["orders"].name = "orders";
    return state;
}

listed_server named(const std::string& id)
{
    backend_server server;
    server.id = id;
    server.service = "orders";
    server.data_centre = "dc";
    server.endpoint = {"127.0.7.9", 1 + static_cast<int>(std::hash<std::string>()(id) % 60000)};
    return {server, {10}};
}

// A server that has left must be out of use everywhere within this time.
constexpr milliseconds shortest_drain{2000};
// A desired state must be in force everywhere within this time.
constexpr milliseconds time_to_agree{2000};

// The use of a server whose data centre is evacuated.
constexpr char evacuated[] = "no: evacuated";

constexpr int gossip_port = 21000;
constexpr int ready_port = 21001;
constexpr int ops_port = 21002;

class entry_program_test : public ::testing::Test {
protected:
    [[nodiscard]] std::string ip(int machine) const { return this->network.ip(1, machine); }

    std::unique_ptr<entry_program> start(int machine, const std::vector<std::string>& seeds,
                                         bool watches_evacuations = false)
    {
        const std::string ip = this->ip(machine);
        entry_options options;
        options.id = absl::StrCat("entry-", machine);
        options.ip = ip;
        options.front_listen = {ip, 0};
        options.ready_listen = {ip, ready_port};
        options.ops_listen = {ip, ops_port};
        options.gossip_port = gossip_port;
        options.seeds = seeds;
        options.watches_evacuations = watches_evacuations;
        absl::StatusOr<std::unique_ptr<entry_program>> started =
            entry_program::start(options, wire_protocol(), decode_version);
        EXPECT_TRUE(started.ok()) << started.status();
        return *std::move(started);
    }

    [[nodiscard]] int readiness(int machine) const
    {
        http_client client({this->ip(machine), ready_port});
        const absl::StatusOr<http_answer> answer =
            client.call("GET", "/", "", steady_clock::now() + milliseconds(1000));
        return answer.ok() ? answer->status : 0;
    }

    [[nodiscard]] bool becomes_ready(int machine) const
    {
        const steady_time end = steady_clock::now() + milliseconds(6000);
        while (steady_clock::now() < end) {
            if (this->readiness(machine) == 200) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }

    // Returns true if the entry's status page contains `text` now.
    [[nodiscard]] bool status_contains(int machine, absl::string_view text) const
    {
        http_client client({this->ip(machine), ops_port});
        const absl::StatusOr<http_answer> answer =
            client.call("GET", "/status", "", steady_clock::now() + milliseconds(1000));
        EXPECT_TRUE(answer.ok()) << answer.status();
        return answer.ok() && absl::StrContains(answer->body, text);
    }

    // Returns true if the entry's status page contains `text` in time for the users' bounds.
    [[nodiscard]] bool shows(int machine, absl::string_view text) const
    {
        const steady_time end = steady_clock::now() + time_to_agree;
        while (!this->status_contains(machine, text)) {
            if (steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        return true;
    }

    // Returns true if the entry's status page lists the server as in use.
    [[nodiscard]] bool uses(int machine, absl::string_view server) const
    {
        return this->status_contains(machine, absl::StrCat("\"", server, "\""));
    }

    [[nodiscard]] bool stops_using(int machine, absl::string_view server,
                                   milliseconds longest) const
    {
        return this->stops_showing(machine, absl::StrCat("\"", server, "\""), longest);
    }

    // Returns true if the entry's status page no longer contains `text` in time.
    [[nodiscard]] bool stops_showing(int machine, absl::string_view text,
                                     milliseconds longest = time_to_agree) const
    {
        const steady_time end = steady_clock::now() + longest;
        while (this->status_contains(machine, text)) {
            if (steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        return true;
    }

    const testing::loopback_network network = *testing::loopback_network::claim();
};

TEST_F(entry_program_test, is_ready_once_it_knows_routes_and_servers)
{
    const std::unique_ptr<entry_program> entry = this->start(1, {});
    EXPECT_EQ(this->readiness(1), 503);
    entry->apply_desired_state("3", 10, "store");
    EXPECT_EQ(this->readiness(1), 503);
    entry->apply_server_list({{}, {10}}, {});
    EXPECT_EQ(this->readiness(1), 200);
}

// Guards against a start without servers because a later page of the list cannot be read.
TEST_F(entry_program_test, serves_with_a_list_that_was_not_read_to_its_end)
{
    const std::unique_ptr<entry_program> entry = this->start(1, {});
    const std::unique_ptr<entry_program> peer = this->start(2, {this->ip(1)});
    for (const auto& one : {entry.get(), peer.get()}) {
        one->apply_desired_state("3", 10, "store");
    }
    entry->apply_partial_server_list({{named("i-1")}, {10}});
    EXPECT_EQ(this->readiness(1), 200);
    EXPECT_TRUE(this->uses(1, "i-1"));
    // What is not whole is no news to others: it would remove what they know besides.
    peer->apply_server_list({{named("i-1"), named("i-2")}, {9}}, {});
    EXPECT_TRUE(this->shows(1, "\"i-2\""));
    EXPECT_TRUE(this->uses(2, "i-2"));
}

TEST_F(entry_program_test, fetches_from_a_peer_what_the_store_does_not_deliver)
{
    const std::unique_ptr<entry_program> connected = this->start(1, {});
    const std::unique_ptr<entry_program> rejected = this->start(2, {this->ip(1)});
    connected->apply_desired_state("3", 10, "store");
    connected->apply_server_list({{}, {11}}, {});
    EXPECT_TRUE(this->becomes_ready(2));
}

// The store was restored: an entry that has just started reads an older version at a later
// revision.
TEST_F(entry_program_test, takes_a_newer_version_from_a_peer_that_knows_a_lower_revision)
{
    const std::unique_ptr<entry_program> known = this->start(1, {});
    const std::unique_ptr<entry_program> started = this->start(2, {this->ip(1)});
    for (entry_program* entry : {known.get(), started.get()}) {
        entry->apply_server_list({{}, {50}}, {});
    }
    known->apply_desired_state("7", 41, "store");
    started->apply_desired_state("5", 52, "store");
    EXPECT_TRUE(this->shows(2, "\"desired_state_version\":7"));
    EXPECT_TRUE(this->shows(1, "\"desired_state_version\":7"));
}

TEST_F(entry_program_test, that_has_just_started_does_not_use_a_departed_server_of_an_older_copy)
{
    const std::unique_ptr<entry_program> known = this->start(1, {});
    known->apply_desired_state("3", 9, "store");
    known->apply_server_list({{named("left"), named("stays")}, {10, 1}}, {});
    known->apply_server_changes({{{"left", std::nullopt, {11, 1}}}, {11, 1}}, {});
    const server_list copy = {{named("left"), named("stays")}, {10, 2}};
    known->apply_server_list(copy, {});
    const std::unique_ptr<entry_program> started = this->start(2, {this->ip(1)});
    started->apply_desired_state("3", 9, "store");
    started->apply_server_list(copy, {});
    EXPECT_TRUE(this->stops_using(2, "left", shortest_drain));
    EXPECT_FALSE(this->uses(1, "left"));
    EXPECT_TRUE(this->uses(2, "stays"));
}

// The store rejects one entry and is restored meanwhile.
TEST_F(entry_program_test, of_an_earlier_era_uses_what_its_peers_use)
{
    const std::unique_ptr<entry_program> connected = this->start(1, {});
    const std::unique_ptr<entry_program> rejected = this->start(2, {this->ip(1)});
    for (entry_program* entry : {connected.get(), rejected.get()}) {
        entry->apply_desired_state("3", 9, "store");
        entry->apply_server_list({{named("leaves"), named("stays")}, {40, 1}}, {});
    }
    connected->apply_server_list({{named("leaves"), named("stays")}, {20, 2}}, {});
    connected->apply_server_changes(
        {{{"leaves", std::nullopt, {21, 2}}, {"comes", named("comes").server, {22, 2}}}, {22, 2}},
        {});
    EXPECT_TRUE(this->stops_using(2, "leaves", shortest_drain));
    EXPECT_TRUE(this->uses(2, "comes"));
    EXPECT_TRUE(this->uses(2, "stays"));
}

TEST_F(entry_program_test,
       does_not_keep_a_server_that_left_while_only_this_entry_had_lost_the_store)
{
    const std::unique_ptr<entry_program> connected = this->start(1, {});
    const std::unique_ptr<entry_program> rejected = this->start(2, {this->ip(1)});
    for (entry_program* entry : {connected.get(), rejected.get()}) {
        entry->apply_desired_state("3", 9, "store");
        entry->apply_server_list({{named("leaves"), named("stays")}, {10}}, {});
    }
    ASSERT_TRUE(this->uses(2, "leaves"));
    connected->apply_server_changes({{{"leaves", std::nullopt, {11}}}, {11}}, {});
    EXPECT_TRUE(this->stops_using(2, "leaves", shortest_drain));
    EXPECT_TRUE(this->uses(2, "stays"));
}

// Guards against a server that has left and stays in use because the peer that tells of it keeps it
// itself: that peer had an outage, this entry had none.
TEST_F(entry_program_test, does_not_keep_a_server_for_the_outage_of_a_peer)
{
    const std::unique_ptr<entry_program> kept = this->start(1, {});
    const std::unique_ptr<entry_program> in_touch = this->start(2, {this->ip(1)});
    for (entry_program* entry : {kept.get(), in_touch.get()}) {
        entry->apply_desired_state("3", 9, "store");
        entry->apply_server_list({{named("leaves"), named("stays")}, {10}}, {});
    }
    const steady_time now = steady_clock::now();
    in_touch->note_store_outage({now - milliseconds(100), now});
    // The grace period of that peer is longer than the time in which this entry must know.
    kept->apply_server_changes({{{"leaves", std::nullopt, {11}}}, {11}},
                               {now - milliseconds(5000), now + shortest_drain});
    ASSERT_TRUE(this->uses(1, "leaves"));
    EXPECT_TRUE(this->stops_using(2, "leaves", shortest_drain));
    EXPECT_TRUE(this->uses(2, "stays"));
}

// Guards against another writer's entries that take sound servers out of use, at the entry that
// reads the store and at one that hears of them from it.
TEST_F(entry_program_test, entries_of_an_undeclared_service_hide_no_server)
{
    const std::unique_ptr<entry_program> connected = this->start(1, {});
    const std::unique_ptr<entry_program> rejected = this->start(2, {this->ip(1)});
    listed_server sound = named("sound");
    sound.server.born_ms = 1000;
    listed_server odd = sound;
    odd.server.id = "odd";
    odd.server.born_ms = 2000;
    odd.server.service = "uptime-watch";
    connected->apply_server_list({{sound, odd}, {10}}, {});
    connected->apply_desired_state("3", 9, "store");
    EXPECT_TRUE(this->becomes_ready(2));
    for (const int machine : {1, 2}) {
        EXPECT_TRUE(this->shows(machine, "\"sound\"")) << machine;
        EXPECT_FALSE(this->uses(machine, "odd")) << machine;
    }
}

// Changes from the store and lists from a peer are applied by different threads, so an older list
// could be published after a newer one.
TEST_F(entry_program_test, an_older_list_is_not_in_force_after_a_newer_one)
{
    constexpr int rounds = 300;
    const std::vector<std::string> ids = {"a1", "a2", "a3", "a4", "a5", "a6"};
    const std::unique_ptr<entry_program> entry = this->start(1, {});
    std::int64_t revision = 10;
    for (int round = 0; round < rounds; ++round) {
        server_list all = {{}, {++revision}};
        for (const std::string& id : ids) {
            all.servers.push_back(named(id));
        }
        entry->apply_server_list(all, {});
        ++revision;
        std::vector<std::thread> removals;
        removals.reserve(ids.size());
        for (const std::string& id : ids) {
            removals.emplace_back([&, id] {
                entry->apply_server_changes({{{id, std::nullopt, {revision}}}, {revision}}, {});
            });
        }
        for (std::thread& removal : removals) {
            removal.join();
        }
        for (const std::string& id : ids) {
            ASSERT_FALSE(this->uses(1, id)) << "round " << round;
        }
    }
}

// A paused entry still has its share of the retry budget when it wakes: the others must not divide
// the whole budget among themselves, nor the paused one take it for itself.
TEST_F(entry_program_test, a_long_silence_of_an_entry_does_not_enlarge_the_shares_of_retries)
{
    const std::unique_ptr<entry_program> first = this->start(1, {});
    const std::unique_ptr<entry_program> second = this->start(2, {this->ip(1)});
    std::unique_ptr<entry_program> silent = this->start(3, {this->ip(1)});
    ASSERT_TRUE(this->shows(1, "\"entries_known\":3"));
    ASSERT_TRUE(this->shows(2, "\"entries_known\":3"));
    silent.reset();
    std::this_thread::sleep_for(std::chrono::seconds(33));
    EXPECT_TRUE(this->status_contains(1, "\"entries_alive\":2"));
    EXPECT_TRUE(this->status_contains(1, "\"entries_known\":3"));
    EXPECT_TRUE(this->status_contains(2, "\"entries_known\":3"));
}

TEST_F(entry_program_test, with_evacuations_is_ready_once_it_knows_them)
{
    const std::unique_ptr<entry_program> entry = this->start(1, {}, true);
    entry->apply_desired_state("3", 10, "store");
    entry->apply_server_list({{}, {10}}, {});
    EXPECT_EQ(this->readiness(1), 503);
    entry->apply_evacuation_list({{}, {10}});
    EXPECT_EQ(this->readiness(1), 200);
}

TEST_F(entry_program_test, serves_without_evacuations_that_nobody_tells)
{
    const std::unique_ptr<entry_program> entry = this->start(1, {}, true);
    entry->apply_desired_state("3", 10, "store");
    entry->apply_server_list({{}, {10}}, {});
    EXPECT_TRUE(this->becomes_ready(1));
}

// The store rejects an entry that starts during the evacuation, and still when it ends.
TEST_F(entry_program_test, learns_of_an_evacuation_and_of_its_end_from_a_peer)
{
    const std::unique_ptr<entry_program> connected = this->start(1, {}, true);
    connected->apply_desired_state("3", 10, "store");
    connected->apply_server_list({{named("s")}, {10}}, {});
    connected->apply_evacuation_list({{}, {10}});
    connected->apply_evacuation_changes({{{"dc", 11}}, {11}});
    EXPECT_TRUE(this->status_contains(1, evacuated));
    const std::unique_ptr<entry_program> rejected = this->start(2, {this->ip(1)}, true);
    ASSERT_TRUE(this->becomes_ready(2));
    EXPECT_TRUE(this->status_contains(2, evacuated));
    // A watch that saw no change; later ones are told on all the same.
    connected->apply_evacuation_changes({{}, {15}});
    connected->apply_evacuation_changes({{{"dc", 16, true}}, {16}});
    EXPECT_FALSE(this->status_contains(1, evacuated));
    EXPECT_TRUE(this->stops_showing(2, evacuated));
}

// A peer that is behind changes nothing.
TEST_F(entry_program_test, keeps_an_evacuation_that_a_peer_does_not_know)
{
    const std::unique_ptr<entry_program> behind = this->start(1, {}, true);
    const std::unique_ptr<entry_program> ahead = this->start(2, {this->ip(1)}, true);
    for (entry_program* entry : {behind.get(), ahead.get()}) {
        entry->apply_desired_state("3", 10, "store");
        entry->apply_server_list({{named("s")}, {10}}, {});
    }
    behind->apply_evacuation_list({{}, {10}});
    ahead->apply_evacuation_list({{"dc"}, {12}});
    EXPECT_TRUE(this->shows(1, evacuated));
    EXPECT_TRUE(this->status_contains(2, evacuated));
}

// Operators who take the setting away expect that nothing is evacuated any more.
TEST_F(entry_program_test, without_the_setting_takes_over_no_evacuation_of_a_peer)
{
    const std::unique_ptr<entry_program> watching = this->start(1, {}, true);
    watching->apply_desired_state("3", 10, "store");
    watching->apply_server_list({{named("s")}, {10}}, {});
    watching->apply_evacuation_list({{"dc"}, {10}});
    EXPECT_TRUE(this->status_contains(1, evacuated));
    const std::unique_ptr<entry_program> other = this->start(2, {this->ip(1)});
    ASSERT_TRUE(this->becomes_ready(2));
    watching->apply_evacuation_changes({{{"north", 12}}, {12}});
    watching->apply_desired_state("4", 13, "store");
    EXPECT_TRUE(this->shows(2, "\"desired_state_version\":4"));
    EXPECT_FALSE(this->status_contains(2, evacuated));
}

TEST_F(entry_program_test, is_not_ready_while_it_stops)
{
    const std::unique_ptr<entry_program> entry = this->start(1, {});
    entry->apply_desired_state("3", 10, "store");
    entry->apply_server_list({{}, {10}}, {});
    std::thread stopper([&] { entry->stop(steady_clock::now(), milliseconds(1500)); });
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(this->readiness(1), 503);
    stopper.join();
}

} // namespace
} // namespace sardinestream
