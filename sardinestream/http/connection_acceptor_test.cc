#include <atomic>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/http/connection_acceptor.h"

#include "absl/time/clock.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

class connection_acceptor_test : public testing::Test {
protected:
    static steady_time soon() { return steady_clock::now() + milliseconds(2000); }

    // Blocks until the peer closes the connection.
    static void wait_for_end(tcp_socket connection)
    {
        char byte = 0;
        EXPECT_TRUE(connection.read_some(absl::MakeSpan(&byte, 1), soon(), hangup_watch()).ok());
    }

    static tcp_socket connect(const connection_acceptor& acceptor)
    {
        return *tcp_socket::connect(acceptor.local(), soon(), hangup_watch());
    }

    static bool becomes(const std::function<bool()>& condition)
    {
        while (!condition()) {
            std::this_thread::sleep_for(milliseconds(2));
        }
        return true;
    }

    tcp_listener listener = *tcp_listener::bind({"127.0.0.1", 0});
};

TEST_F(connection_acceptor_test, serves_connections_concurrently)
{
    connection_acceptor acceptor(std::move(this->listener), {}, wait_for_end);
    const tcp_socket first = connect(acceptor);
    const tcp_socket second = connect(acceptor);
    EXPECT_TRUE(becomes([&] { return acceptor.connections() == 2; }));
}

TEST_F(connection_acceptor_test, closes_connections_beyond_the_limit)
{
    std::atomic<int> refused = 0;
    acceptor_options options;
    options.max_connections = 1;
    options.on_refused = [&](absl::string_view) { ++refused; };
    connection_acceptor acceptor(std::move(this->listener), options, wait_for_end);
    const tcp_socket first = connect(acceptor);
    EXPECT_TRUE(becomes([&] { return acceptor.connections() == 1; }));
    const tcp_socket second = connect(acceptor);
    EXPECT_TRUE(becomes([&] { return refused == 1; }));
    EXPECT_EQ(acceptor.connections(), 1);
}

TEST_F(connection_acceptor_test, stopping_closes_the_listener_but_not_open_connections)
{
    connection_acceptor acceptor(std::move(this->listener), {}, wait_for_end);
    tcp_socket open = connect(acceptor);
    EXPECT_TRUE(becomes([&] { return acceptor.connections() == 1; }));
    acceptor.stop_accepting();
    EXPECT_FALSE(tcp_socket::connect(acceptor.local(), soon(), hangup_watch()).ok());
    EXPECT_FALSE(acceptor.wait_until_idle(steady_clock::now() + std::chrono::milliseconds(50)));
    open.close();
    EXPECT_TRUE(acceptor.wait_until_idle(steady_clock::now() + std::chrono::seconds(2)));
}

// Guards against callers that lose their request on a connection beyond the limit without a word.
TEST_F(connection_acceptor_test, a_request_beyond_the_limit_gets_the_refusal)
{
    const std::string request(64U << 10U, 'r');
    acceptor_options options;
    options.max_connections = 1;
    options.refusal = "refused";
    connection_acceptor acceptor(std::move(this->listener), options, wait_for_end);
    const tcp_socket first = connect(acceptor);
    EXPECT_TRUE(becomes([&] { return acceptor.connections() == 1; }));
    const tcp_socket idle = connect(acceptor);
    tcp_socket second = connect(acceptor);
    std::this_thread::sleep_for(milliseconds(50));
    EXPECT_FALSE(idle.has_input_or_end());
    EXPECT_TRUE(second.write_all(request, soon(), hangup_watch()).ok());
    std::this_thread::sleep_for(milliseconds(50));
    char bytes[16];
    const absl::StatusOr<std::size_t> length =
        second.read_some(absl::MakeSpan(bytes), soon(), hangup_watch());
    ASSERT_TRUE(length.ok()) << length.status();
    EXPECT_EQ(std::string(bytes, *length), options.refusal);
    const absl::StatusOr<std::size_t> end =
        second.read_some(absl::MakeSpan(bytes), soon(), hangup_watch());
    EXPECT_TRUE(end.ok() && *end == 0) << end.status();
    EXPECT_EQ(acceptor.connections(), 1);
}

// Guards against connections that are reset in the listener's queue when it closes.
TEST_F(connection_acceptor_test, stopping_serves_the_connections_that_are_queued)
{
    constexpr int queued = 50;
    std::vector<tcp_socket> callers;
    for (int i = 0; i < queued; ++i) {
        callers.push_back(*tcp_socket::connect(this->listener.local(), soon(), hangup_watch()));
        ASSERT_TRUE(callers.back().write_all("request", soon(), hangup_watch()).ok());
    }
    connection_acceptor acceptor(std::move(this->listener), {}, [](tcp_socket connection) {
        char bytes[16];
        EXPECT_TRUE(connection.read_some(absl::MakeSpan(bytes), soon(), hangup_watch()).ok());
        EXPECT_TRUE(connection.write_all("answer", soon(), hangup_watch()).ok());
    });
    acceptor.stop_accepting();
    int answered = 0;
    for (tcp_socket& caller : callers) {
        char bytes[16];
        const absl::StatusOr<std::size_t> length =
            caller.read_some(absl::MakeSpan(bytes), soon(), hangup_watch());
        answered += length.ok() && *length > 0 ? 1 : 0;
    }
    EXPECT_EQ(answered, queued);
}

// Guards against connections that are reset because they are made as the listener closes.
TEST_F(connection_acceptor_test, no_connection_that_is_made_is_reset_by_a_stop)
{
    constexpr int stops = 60;
    constexpr int callers = 4;
    constexpr milliseconds connect_time{100};
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0;
    for (int stop = 0; stop < stops; ++stop) {
        connection_acceptor acceptor(
            *tcp_listener::bind({"127.0.0.1", 0}), {}, [](tcp_socket connection) {
                char bytes[16];
                (void)connection.read_some(absl::MakeSpan(bytes), soon(), hangup_watch());
                (void)connection.write_all("answer", soon(), {});
            });
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&] {
                while (true) {
                    absl::StatusOr<tcp_socket> caller = tcp_socket::connect(
                        acceptor.local(), steady_clock::now() + connect_time, hangup_watch());
                    if (!caller.ok()) {
                        return;
                    }
                    (void)caller->write_all("request", soon(), hangup_watch());
                    char bytes[16];
                    const absl::StatusOr<std::size_t> length =
                        caller->read_some(absl::MakeSpan(bytes), soon(), hangup_watch());
                    ++(length.ok() && *length > 0 ? answered : lost);
                }
            });
        }
        std::this_thread::sleep_for(milliseconds(10));
        acceptor.stop_accepting();
        for (std::thread& thread : threads) {
            thread.join();
        }
    }
    EXPECT_GT(answered, stops);
    EXPECT_EQ(lost, 0) << "of " << answered + lost;
}

} // namespace
} // namespace sardinestream
