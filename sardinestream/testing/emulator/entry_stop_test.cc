// Tests what callers get from an entry that is asked to stop, through the whole program.

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/testing/emulator/entry_fleet_fixture.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds grace{8000};
constexpr milliseconds stream_timeout{8000};
constexpr milliseconds stream_duration{400};
constexpr milliseconds poll_interval{5};

enum class caller_outcome { whole, refused, cut };

absl::StatusOr<std::shared_ptr<const desired_state>> decode_long_streams(absl::string_view text)
{
    auto state = std::make_shared<desired_state>(**decode_fleet_state(text));
    state->routes.front().timeout = stream_timeout;
    state->index_routes();
    return state;
}

// Servers whose streams last for `stream_duration`, and stand still together at times.
class pausing_servers {
public:
    explicit pausing_servers(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->servers.push_back(*connection_server::start(
                {fleet_server_ip, 0}, [this](served_connection& connection) {
                    emulated_request request;
                    while (connection.read(request)) {
                        this->answer(connection, request);
                    }
                }));
        }
    }

    ~pausing_servers() { this->paused = false; }
    pausing_servers(const pausing_servers&) = delete;
    pausing_servers& operator=(const pausing_servers&) = delete;

    void pause() { this->paused = true; }

    // Waits until so many streams have begun.
    void wait_for_streams(int count) const
    {
        while (this->begun < count) {
            std::this_thread::sleep_for(poll_interval);
        }
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

private:
    void answer(served_connection& connection, const emulated_request& request)
    {
        write_stream_head(connection, request, {});
        connection.write(encode_chunk("id: 1\ndata: a\n\n"));
        ++this->begun;
        bool goes_on = connection.work_for(stream_duration / 2);
        if (goes_on) {
            connection.write(encode_chunk("id: 2\ndata: b\n\n"));
            goes_on = connection.work_for(stream_duration / 2);
        }
        while (goes_on && this->paused) {
            goes_on = connection.work_for(poll_interval);
        }
        if (goes_on) {
            connection.write(encode_chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
        }
    }

    std::atomic<bool> paused = false;
    std::atomic<int> begun = 0;
    std::vector<std::unique_ptr<connection_server>> servers;
};

// A caller that keeps its connection.
class keeping_caller {
public:
    explicit keeping_caller(const address& entry)
        : socket(*tcp_socket::connect(entry, steady_clock::now() + stream_timeout, hangup_watch())),
          reader(socket)
    {
    }

    [[nodiscard]] caller_outcome call(const std::string& id)
    {
        const steady_time end = steady_clock::now() + 2 * stream_timeout;
        const std::string text =
            absl::StrCat("POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\n", words::request_id, ": ",
                         id, "\r\nContent-Length: 2\r\n\r\n{}");
        if (!this->socket.write_all(text, end, hangup_watch()).ok()) {
            return caller_outcome::refused;
        }
        const absl::StatusOr<http_response_head> head =
            this->reader.read_response_head(message_limits(), false, end, hangup_watch());
        if (!head.ok()) {
            return caller_outcome::cut;
        }
        std::string body;
        if (!this->reader.read_body(1U << 20U, body, end, hangup_watch()).ok()) {
            return caller_outcome::cut;
        }
        return head->status == 200 ? caller_outcome::whole : caller_outcome::refused;
    }

private:
    tcp_socket socket;
    message_reader reader;
};

class entry_stop_test : public entry_fleet_test {
protected:
    entry_stop_test()
    {
        this->decoder = decode_long_streams;
        this->start_entry(this->servers.list());
    }

    pausing_servers servers{4};
};

// Guards against streams that are passed on late in a stop and cut because their group pauses.
TEST_F(entry_stop_test, no_stream_that_comes_late_is_cut_by_a_pause_of_the_servers)
{
    constexpr int callers = 10;
    constexpr int warm_up_calls = 3;
    constexpr milliseconds early_call{1000};
    constexpr milliseconds first_late_call{3000};
    constexpr milliseconds call_interval{50};
    constexpr milliseconds pause_begin{3400};
    std::atomic<int> ready = 0;
    std::atomic<steady_time> signalled_at = steady_time::max();
    std::vector<caller_outcome> outcomes(callers, caller_outcome::whole);
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            keeping_caller caller({entry_ip(0), front_port});
            for (int call = 0; call < warm_up_calls; ++call) {
                EXPECT_EQ(caller.call(absl::StrCat("w", i, "-", call)), caller_outcome::whole);
            }
            ++ready;
            while (signalled_at.load() == steady_time::max()) {
                std::this_thread::sleep_for(poll_interval);
            }
            std::this_thread::sleep_until(signalled_at.load() + first_late_call +
                                          i * call_interval);
            outcomes[static_cast<std::size_t>(i)] = caller.call(absl::StrCat("r", i));
        });
    }
    while (ready < callers) {
        std::this_thread::sleep_for(poll_interval);
    }
    signalled_at = steady_clock::now();
    std::thread pause([&] {
        std::this_thread::sleep_until(signalled_at.load() + pause_begin);
        this->servers.pause();
    });
    std::atomic<bool> early_is_whole = false;
    std::thread early([&] {
        keeping_caller caller({this->entry_ip(0), front_port});
        std::this_thread::sleep_until(signalled_at.load() + early_call);
        early_is_whole = caller.call("early") == caller_outcome::whole;
    });
    this->entries.front()->stop(signalled_at.load(), grace);
    early.join();
    pause.join();
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), caller_outcome::cut), 0);
    EXPECT_TRUE(early_is_whole);
}

// Guards against a short grace that is reserved for the exit, so that all that is open is cut at
// once.
TEST_F(entry_stop_test, a_stream_that_is_open_at_the_stop_ends_whole_within_a_grace_of_one_second)
{
    constexpr milliseconds short_grace{1000};
    std::atomic<caller_outcome> outcome = caller_outcome::refused;
    std::thread call([&] {
        keeping_caller caller({entry_ip(0), front_port});
        outcome = caller.call("r1");
    });
    this->servers.wait_for_streams(1);
    const steady_time signalled_at = steady_clock::now();
    this->entries.front()->stop(signalled_at, short_grace);
    EXPECT_LT(steady_clock::now(), signalled_at + short_grace);
    call.join();
    EXPECT_EQ(outcome.load(), caller_outcome::whole);
}

// Guards against a stream that looks complete because the stop ends before its server.
TEST_F(entry_stop_test, a_stream_that_outlasts_the_grace_is_visibly_cut_before_the_process_ends)
{
    constexpr milliseconds short_grace{3000};
    std::atomic<caller_outcome> outcome = caller_outcome::refused;
    std::thread call([&] {
        keeping_caller caller({entry_ip(0), front_port});
        outcome = caller.call("r1");
    });
    this->servers.wait_for_streams(1);
    this->servers.pause();
    const steady_time signalled_at = steady_clock::now();
    this->entries.front()->stop(signalled_at, short_grace);
    EXPECT_LT(steady_clock::now(), signalled_at + short_grace);
    call.join();
    EXPECT_EQ(outcome.load(), caller_outcome::cut);
}

} // namespace
} // namespace sardinestream::testing
