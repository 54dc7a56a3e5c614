#include <array>

#include <gtest/gtest.h>

#include "sardinestream/testing/soak/chaos_proxy.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

class chaos_proxy_test : public ::testing::Test {
protected:
    chaos_proxy_test()
    {
        this->client = *tcp_socket::connect(this->proxy->local(), soon(), hangup_watch());
        this->server = *this->listener.accept(soon());
    }

    static steady_time soon() { return steady_clock::now() + milliseconds(2000); }
    static steady_time shortly() { return steady_clock::now() + milliseconds(100); }

    // Sends one byte; returns whether it arrives by `deadline`.
    static bool passes(tcp_socket& from, tcp_socket& to, steady_time deadline)
    {
        EXPECT_TRUE(from.write_all("x", soon(), hangup_watch()).ok());
        std::array<char, 8> buffer{};
        const absl::StatusOr<std::size_t> read =
            to.read_some(absl::MakeSpan(buffer), deadline, hangup_watch());
        return read.ok() && *read == 1;
    }

    tcp_listener listener = *tcp_listener::bind({"127.0.0.1", 0});
    std::unique_ptr<chaos_proxy> proxy =
        *chaos_proxy::start({"127.0.0.1", 0}, this->listener.local());
    tcp_socket client;
    tcp_socket server;
};

TEST_F(chaos_proxy_test, passes_bytes_both_ways)
{
    EXPECT_TRUE(passes(this->client, this->server, soon()));
    EXPECT_TRUE(passes(this->server, this->client, soon()));
}

TEST_F(chaos_proxy_test, a_silence_one_way_leaves_the_other_way_open)
{
    this->proxy->set_trouble(link_trouble::silent_to_server);
    std::this_thread::sleep_for(milliseconds(50));
    EXPECT_FALSE(passes(this->client, this->server, shortly()));
    EXPECT_TRUE(passes(this->server, this->client, soon()));
}

TEST_F(chaos_proxy_test, bytes_that_met_a_silence_arrive_after_it)
{
    this->proxy->set_trouble(link_trouble::silent);
    std::this_thread::sleep_for(milliseconds(50));
    EXPECT_FALSE(passes(this->client, this->server, shortly()));
    this->proxy->set_trouble(link_trouble::none);
    std::array<char, 8> buffer{};
    EXPECT_EQ(*this->server.read_some(absl::MakeSpan(buffer), soon(), hangup_watch()), 1U);
}

TEST_F(chaos_proxy_test, severed_connections_are_silent_and_new_ones_work)
{
    this->proxy->sever_connections();
    std::this_thread::sleep_for(milliseconds(50));
    EXPECT_FALSE(passes(this->client, this->server, shortly()));
    tcp_socket next = *tcp_socket::connect(this->proxy->local(), soon(), hangup_watch());
    tcp_socket reached = *this->listener.accept(soon());
    EXPECT_TRUE(passes(next, reached, soon()));
    EXPECT_FALSE(passes(this->server, this->client, shortly()));
}

TEST_F(chaos_proxy_test, a_delay_holds_bytes_back)
{
    this->proxy->set_delay(milliseconds(150));
    const steady_time begun = steady_clock::now();
    EXPECT_TRUE(passes(this->client, this->server, soon()));
    EXPECT_GE(steady_clock::now() - begun, milliseconds(150));
}

TEST_F(chaos_proxy_test, a_reset_ends_open_connections_and_not_new_ones)
{
    this->proxy->reset_connections();
    std::array<char, 8> buffer{};
    EXPECT_TRUE(absl::IsUnavailable(
        this->client.read_some(absl::MakeSpan(buffer), soon(), hangup_watch()).status()));
    tcp_socket next = *tcp_socket::connect(this->proxy->local(), soon(), hangup_watch());
    tcp_socket accepted = *this->listener.accept(soon());
    EXPECT_TRUE(passes(next, accepted, soon()));
}

TEST_F(chaos_proxy_test, an_end_is_passed_on)
{
    this->client.close();
    std::array<char, 8> buffer{};
    EXPECT_EQ(*this->server.read_some(absl::MakeSpan(buffer), soon(), hangup_watch()), 0U);
}

} // namespace
} // namespace sardinestream::testing
