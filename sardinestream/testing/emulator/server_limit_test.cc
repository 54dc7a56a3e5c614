// Tests that the entries together keep the rate that a server names in its answers.

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/testing/emulator/entry_fleet_fixture.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

// What a server may get in any span of this length, once its limit has been known for a while.
constexpr milliseconds span{4000};
constexpr milliseconds time_to_learn{3000};
constexpr double tolerance = 1.5;
constexpr int tolerated_requests = 5;
constexpr double limit_per_s = 2;
constexpr milliseconds send_interval{15};

int most_allowed()
{
    const double allowed = limit_per_s * static_cast<double>(span.count()) / 1000;
    return static_cast<int>(tolerance * allowed) + tolerated_requests;
}

// Servers of which the first may name a limit.
class limited_servers {
public:
    explicit limited_servers(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->servers.push_back(*connection_server::start(
                {fleet_server_ip, 0}, [this, i](served_connection& connection) {
                    emulated_request request;
                    while (connection.read(request)) {
                        this->answer(i, connection, request);
                    }
                }));
        }
    }

    void name_limit(const std::string& text)
    {
        const absl::MutexLock lock(&this->mutex);
        this->limit = text;
    }

    [[nodiscard]] server_list list() const
    {
        server_list all;
        all.position.revision = 2;
        for (const std::unique_ptr<connection_server>& server : this->servers) {
            backend_server described;
            described.id = absl::StrCat("i-", all.servers.size());
            described.service = fleet_service;
            described.slots = 8;
            described.born_ms = 1;
            described.endpoint = server->local();
            all.servers.push_back({described, {1}});
        }
        return all;
    }

    // Returns the most requests that reached the first server in any span since `begin`.
    [[nodiscard]] int most_in_a_span(steady_time begin) const
    {
        const absl::MutexLock lock(&this->mutex);
        int most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            const auto end = std::lower_bound(first, this->arrivals.end(), *first + span);
            most = *first < begin ? most : std::max(most, static_cast<int>(end - first));
        }
        return most;
    }

    [[nodiscard]] int arrived_since(steady_time begin) const
    {
        const absl::MutexLock lock(&this->mutex);
        return static_cast<int>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                              [&](steady_time at) { return at >= begin; }));
    }

private:
    void answer(int server, served_connection& connection, const emulated_request& request)
    {
        http_headers further;
        if (server == 0) {
            const absl::MutexLock lock(&this->mutex);
            this->arrivals.push_back(steady_clock::now());
            if (!this->limit.empty()) {
                further.push_back({"Server-Limit", this->limit});
            }
        }
        write_stream_head(connection, request, further);
        write_whole_stream(connection);
    }

    mutable absl::Mutex mutex;
    std::string limit ABSL_GUARDED_BY(mutex);
    std::vector<steady_time> arrivals ABSL_GUARDED_BY(mutex);
    std::vector<std::unique_ptr<connection_server>> servers;
};

class server_limit_test : public entry_fleet_test {
protected:
    void start_entry() { entry_fleet_test::start_entry(this->servers.list()); }

    void send_for(milliseconds duration)
    {
        const steady_time end = steady_clock::now() + duration;
        while (steady_clock::now() < end) {
            this->send("first:40", this->served);
            std::this_thread::sleep_for(send_interval);
        }
    }

    limited_servers servers{4};
    std::atomic<int> served = 0;
};

TEST_F(server_limit_test, a_server_gets_no_more_than_the_rate_it_names_from_all_entries_together)
{
    this->start_entry();
    this->start_entry();
    this->servers.name_limit("2.0");
    this->send_for(time_to_learn);
    const steady_time begin = steady_clock::now();
    this->start_entry();
    this->send_for(2 * span);
    EXPECT_LE(this->servers.most_in_a_span(begin), most_allowed());
    EXPECT_GT(this->servers.arrived_since(begin), 0);
    this->wait_for_answers();
    EXPECT_EQ(this->served, this->sent);
}

TEST_F(server_limit_test, a_server_that_names_no_limit_any_more_is_used_as_before)
{
    this->start_entry();
    this->start_entry();
    this->servers.name_limit("2.0");
    this->send_for(time_to_learn);
    this->servers.name_limit("");
    this->send_for(time_to_learn);
    const steady_time begin = steady_clock::now();
    this->send_for(span);
    EXPECT_GT(this->servers.arrived_since(begin), 2 * most_allowed());
}

} // namespace
} // namespace sardinestream::testing
