// Tests that the programs tell connections to the store that have gone silent from a store that is
// away, through the real programs: a server that leaves meanwhile is not used once its entries can
// follow the store again, and servers whose entries have expired in an outage stay in use.

#include <atomic>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/testing/emulator/program_fleet_fixture.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int servers_started = 3;
constexpr int callers = 6;
// Work of one request.
constexpr milliseconds work_time{50};
// How long a server that leaves may be sent requests.
constexpr milliseconds drain_time{2000};
// Entries follow the store again this long after their connections have gone silent.
constexpr milliseconds stable_window{3000};
// How long a server that leaves without a word serves on.
constexpr milliseconds serving_time{4200};
// Live servers are listed again this long after an outage.
constexpr milliseconds relist_time{1500};
// Entries follow the store again this long after an outage.
constexpr milliseconds time_to_follow{800};
constexpr char route_path[] = "/pay/";

struct channel_case {
    std::string label;
    // Of which connections go silent; empty: all.
    std::string kind;
    int entries = 1;
};

std::ostream& operator<<(std::ostream& out, const channel_case& tested)
{
    return out << tested.label;
}

struct arrival {
    std::string request_id;
    int server = 0;
    steady_time at{};
};

class silent_channel_test : public program_fleet_test {
protected:
    void TearDown() override { this->stop_callers(); }

    void start_fleet(int count)
    {
        this->put_config(route_path, "non_idempotent", 2);
        for (int i = 0; i < servers_started; ++i) {
            this->servers.push_back(this->start_server(i));
            this->put_server(i);
        }
        this->start_entries(count);
        ASSERT_TRUE(this->all_ready()) << this->programs.front().run->output();
    }

    [[nodiscard]] std::unique_ptr<connection_server> start_server(int number)
    {
        return *connection_server::start(
            {this->network.ip(server_group, number + 1), 0},
            [this, number](served_connection& connection) {
                emulated_request request;
                while (connection.read(request)) {
                    const std::string id = request.header(words::request_id);
                    {
                        const absl::MutexLock lock(&this->mutex);
                        this->arrivals.push_back({id, number, steady_clock::now()});
                    }
                    static_cast<void>(connection.work_for(work_time));
                    connection.answer(
                        http_ok, {{words::request_id, id}, {words::signature, "signed"}}, "paid");
                }
            });
    }

    [[nodiscard]] static std::string server_id(int number) { return absl::StrCat("i-", number); }

    // Writes the entry of a server anew, with a change.
    void put_server(int number)
    {
        json entry = server_entry(this->servers[static_cast<std::size_t>(number)]->local());
        entry["sequence"] = ++this->writes;
        entry["slots"] = 8 + this->writes % 2;
        this->store->put(words::servers_kind, server_id(number), entry);
    }

    void remove_server(int number) const
    {
        this->store->remove(words::servers_kind, server_id(number));
    }

    void start_callers()
    {
        this->calling = true;
        for (int i = 0; i < callers; ++i) {
            this->threads.emplace_back([this, i] { this->call_in_turn(i); });
        }
    }

    void stop_callers()
    {
        this->calling = false;
        for (std::thread& each : this->threads) {
            each.join();
        }
        this->threads.clear();
    }

    void call_in_turn(int caller)
    {
        for (int i = 0; this->calling; ++i) {
            const std::string id = absl::StrCat("p", caller, "-", i);
            {
                const absl::MutexLock lock(&this->mutex);
                this->sent[id] = steady_clock::now();
            }
            const int status = this->send(i % this->entries, absl::StrCat(route_path, "a"), id);
            ++(status == http_ok ? this->served : this->not_served);
        }
    }

    // Returns how many requests that were sent after `in_touch` reached the server after `end`.
    [[nodiscard]] int late_arrivals(int server, steady_time end, steady_time in_touch)
    {
        int late = 0;
        const absl::MutexLock lock(&this->mutex);
        for (const arrival& each : this->arrivals) {
            const bool is_late =
                each.server == server && each.at > end && this->sent[each.request_id] > in_touch;
            late += is_late ? 1 : 0;
        }
        return late;
    }

    [[nodiscard]] int arrivals_so_far()
    {
        const absl::MutexLock lock(&this->mutex);
        return static_cast<int>(this->arrivals.size());
    }

    absl::Mutex mutex;
    std::map<std::string, steady_time> sent ABSL_GUARDED_BY(mutex);
    std::vector<arrival> arrivals ABSL_GUARDED_BY(mutex);
    std::atomic<bool> calling = false;
    std::atomic<int> served = 0;
    std::atomic<int> not_served = 0;
    int writes = 0;
    std::vector<std::thread> threads;
    std::vector<std::unique_ptr<connection_server>> servers;
};

class leaving_server_test : public silent_channel_test,
                            public ::testing::WithParamInterface<channel_case> {};

// Guards against a connection to the store that has gone silent being taken for an outage of the
// store, for which a server that had left was kept (review 13).
TEST_P(leaving_server_test, is_not_used_once_the_entries_follow_the_store_again)
{
    this->start_fleet(GetParam().entries);
    std::this_thread::sleep_for(stable_window);
    this->start_callers();
    int leaving = 0;
    // Within the pause of the watches after a change, and while they wait for the next one.
    for (const milliseconds after_change : {milliseconds(80), milliseconds(900)}) {
        this->put_server((leaving + 1) % servers_started);
        std::this_thread::sleep_for(after_change);
        this->store->silence_connections(GetParam().kind);
        const steady_time in_touch = steady_clock::now() + stable_window;
        this->remove_server(leaving);
        const steady_time removed = steady_clock::now();
        std::this_thread::sleep_until(removed + serving_time);
        EXPECT_EQ(this->late_arrivals(leaving, removed + drain_time, in_touch), 0)
            << "silent " << after_change.count() << " ms after a change\n"
            << this->programs.front().run->output();
        this->put_server(leaving);
        std::this_thread::sleep_for(relist_time);
        ++leaving;
    }
    this->stop_callers();
    EXPECT_GT(this->served, 0);
    EXPECT_EQ(this->not_served, 0);
}

INSTANTIATE_TEST_SUITE_P(channels, leaving_server_test,
                         ::testing::Values(channel_case{"of_servers", words::servers_kind, 1},
                                           channel_case{"all", "", 1},
                                           channel_case{"all_of_all_entries", "", 2}),
                         [](const auto& tested) { return tested.param.label; });

struct outage_case {
    std::string label;
    milliseconds length{};
    // The open connections go silent for good, in place of being reset as the outage begins.
    bool is_silent = false;
};

std::ostream& operator<<(std::ostream& out, const outage_case& tested)
{
    return out << tested.label;
}

class expired_servers_test : public silent_channel_test,
                             public ::testing::WithParamInterface<outage_case> {};

// Guards against an outage of the store being taken for a silent connection: all servers whose
// entries expired in it would be out of use until they are listed again.
TEST_P(expired_servers_test, stay_in_use_until_they_are_listed_again)
{
    this->start_fleet(1);
    std::this_thread::sleep_for(stable_window);
    this->start_callers();
    // Both watches begin anew just before the outage, and may end just behind it.
    this->put_server(0);
    this->store->put(words::config_kind, "other", json::object());
    std::this_thread::sleep_for(milliseconds(300));
    if (GetParam().is_silent) {
        this->store->silence_connections("");
    }
    this->store->set_trouble(store_trouble::silent);
    std::this_thread::sleep_for(GetParam().length);
    for (int i = 0; i < servers_started; ++i) {
        this->remove_server(i);
    }
    this->store->set_trouble(store_trouble::none);
    std::this_thread::sleep_for(time_to_follow);
    const int arrived_before = this->arrivals_so_far();
    std::this_thread::sleep_for(relist_time - time_to_follow);
    // Requests may also have waited for the servers to be listed again.
    EXPECT_GT(this->arrivals_so_far(), arrived_before + callers);
    for (int i = 0; i < servers_started; ++i) {
        this->put_server(i);
    }
    std::this_thread::sleep_for(drain_time);
    this->stop_callers();
    EXPECT_GT(this->served, 0);
    EXPECT_EQ(this->not_served, 0) << this->programs.front().run->output();
}

INSTANTIATE_TEST_SUITE_P(outages, expired_servers_test,
                         ::testing::Values(outage_case{"reset", milliseconds(2500), false},
                                           outage_case{"silent", milliseconds(2300), true},
                                           outage_case{"silent_and_long", milliseconds(6000),
                                                       true}),
                         [](const auto& tested) { return tested.param.label; });

} // namespace
} // namespace sardinestream::testing
