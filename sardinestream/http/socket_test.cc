#include <array>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/http/socket.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds wait{80};

// Two connected sockets.
class socket_pair {
public:
    socket_pair()
    {
        std::array<int, 2> ends{};
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
        this->near = tcp_socket(ends[0]);
        this->far = tcp_socket(ends[1]);
    }

    tcp_socket near;
    tcp_socket far;
};

class socket_test : public testing::Test {
protected:
    [[nodiscard]] hangup_watch watch() const
    {
        return hangup_watch(this->caller.near.descriptor());
    }

    [[nodiscard]] milliseconds time_waited() const
    {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->begun);
    }

    socket_pair caller;
    socket_pair server;
    const steady_time begun = steady_clock::now();
};

TEST_F(socket_test, keeps_waiting_when_the_caller_has_sent_its_next_request)
{
    ASSERT_EQ(::write(this->caller.far.descriptor(), "next", 4), 4);
    wait_for_input(this->server.near.descriptor(), this->watch(), this->begun + wait);
    EXPECT_GE(this->time_waited(), wait);
    EXPECT_FALSE(this->watch().has_hung_up());
}

TEST_F(socket_test, stops_waiting_when_the_caller_hangs_up)
{
    this->caller.far.close();
    wait_for_input(this->server.near.descriptor(), this->watch(), this->begun + wait);
    EXPECT_LT(this->time_waited(), wait);
    EXPECT_TRUE(this->watch().has_hung_up());
}

TEST_F(socket_test, detects_a_hang_up_behind_unread_bytes)
{
    ASSERT_EQ(::write(this->caller.far.descriptor(), "next", 4), 4);
    this->caller.far.close();
    EXPECT_TRUE(this->watch().has_hung_up());
}

TEST_F(socket_test, stops_waiting_when_input_is_available)
{
    ASSERT_EQ(::write(this->server.far.descriptor(), "x", 1), 1);
    wait_for_input(this->server.near.descriptor(), this->watch(), this->begun + wait);
    EXPECT_LT(this->time_waited(), wait);
}

TEST_F(socket_test, a_read_is_cancelled_by_the_caller_and_not_by_its_next_request)
{
    ASSERT_EQ(::write(this->caller.far.descriptor(), "next", 4), 4);
    std::array<char, 8> buffer{};
    EXPECT_TRUE(absl::IsDeadlineExceeded(
        this->server.near.read_some(absl::MakeSpan(buffer), this->begun + wait, this->watch())
            .status()));
    this->caller.far.close();
    EXPECT_TRUE(absl::IsCancelled(
        this->server.near
            .read_some(absl::MakeSpan(buffer), steady_clock::now() + wait, this->watch())
            .status()));
}

// Writes to the other end of a connection without pause until it is closed.
class endless_writer {
public:
    explicit endless_writer(tcp_socket& far)
        : thread([this, &far] {
              const std::string part(1000, 'x');
              while (!this->stopping) {
                  (void)far.write_all(part, steady_clock::now() + wait, {});
              }
          })
    {
    }
    ~endless_writer()
    {
        this->stopping = true;
        this->thread.join();
    }
    endless_writer(const endless_writer&) = delete;
    endless_writer& operator=(const endless_writer&) = delete;

private:
    std::atomic<bool> stopping = false;
    std::thread thread;
};

// Guards against a peer that holds a thread beyond its deadline with bytes that never run out.
TEST_F(socket_test, a_deadline_ends_reads_although_bytes_keep_arriving)
{
    const endless_writer writer(this->server.far);
    std::array<char, 64> buffer{};
    absl::StatusOr<std::size_t> length = 0;
    while (length.ok() && this->time_waited() < 20 * wait) {
        length = this->server.near.read_some(absl::MakeSpan(buffer), this->begun + wait, {});
    }
    EXPECT_TRUE(absl::IsDeadlineExceeded(length.status())) << length.status();
}

// Guards against work for a caller that has left while bytes keep arriving.
TEST_F(socket_test, a_hang_up_ends_reads_although_bytes_keep_arriving)
{
    const endless_writer writer(this->server.far);
    this->caller.far.close();
    std::array<char, 64> buffer{};
    absl::StatusOr<std::size_t> length = 0;
    while (length.ok() && this->time_waited() < 20 * wait) {
        length = this->server.near.read_some(absl::MakeSpan(buffer), this->begun + 40 * wait,
                                             this->watch());
    }
    EXPECT_TRUE(absl::IsCancelled(length.status())) << length.status();
}

TEST_F(socket_test, bytes_that_arrived_before_the_deadline_are_read_after_it)
{
    ASSERT_EQ(::write(this->server.far.descriptor(), "in time", 7), 7);
    std::this_thread::sleep_for(wait);
    std::array<char, 4> buffer{};
    const steady_time past = this->begun;
    EXPECT_EQ(*this->server.near.read_some(absl::MakeSpan(buffer), past, {}), 4);
    EXPECT_EQ(*this->server.near.read_some(absl::MakeSpan(buffer), past, {}), 3);
    ASSERT_EQ(::write(this->server.far.descriptor(), "late", 4), 4);
    EXPECT_TRUE(absl::IsDeadlineExceeded(
        this->server.near.read_some(absl::MakeSpan(buffer), past, {}).status()));
}

// Guards against the loss of what was written before an answer that breaks off.
TEST_F(socket_test, an_abort_when_delivered_lets_a_slow_peer_read_what_was_written)
{
    absl::StatusOr<tcp_listener> listener = tcp_listener::bind({"127.0.0.1", 0});
    ASSERT_TRUE(listener.ok());
    tcp_socket peer = *tcp_socket::connect(listener->local(), steady_clock::now() + wait, {});
    const int small_buffer_bytes = 4096;
    ::setsockopt(peer.descriptor(), SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
                 sizeof(small_buffer_bytes));
    tcp_socket writer = *listener->accept(steady_clock::now() + wait);
    const std::string text(200'000, 'x');
    ASSERT_TRUE(writer.write_all(text, steady_clock::now() + wait, {}).ok());
    std::size_t received = 0;
    std::thread reading([&peer, &received] {
        std::this_thread::sleep_for(wait);
        std::array<char, 8192> buffer{};
        while (true) {
            const absl::StatusOr<std::size_t> length = peer.read_some(
                absl::MakeSpan(buffer), steady_clock::now() + std::chrono::seconds(10), {});
            if (!length.ok() || *length == 0) {
                EXPECT_TRUE(absl::IsUnavailable(length.status())) << length.status();
                return;
            }
            received += *length;
        }
    });
    writer.abort_when_delivered(steady_clock::now() + std::chrono::seconds(10));
    reading.join();
    EXPECT_EQ(received, text.size());
}

// Guards against an answer whose rest is lost because its caller pauses with a full window.
TEST_F(socket_test, an_accepted_connection_outlasts_a_peer_that_reads_nothing_for_seconds)
{
    constexpr std::chrono::seconds pause{7};
    absl::StatusOr<tcp_listener> listener = tcp_listener::bind({"127.0.0.1", 0});
    ASSERT_TRUE(listener.ok());
    tcp_socket peer = *tcp_socket::connect(listener->local(), steady_clock::now() + wait, {});
    tcp_socket writer = *listener->accept(steady_clock::now() + wait);
    const std::string text(8'000'000, 'x');
    std::thread writing([&] {
        const absl::Status written = writer.write_all(text, steady_clock::now() + 2 * pause, {});
        EXPECT_TRUE(written.ok()) << written;
        writer.close();
    });
    std::this_thread::sleep_for(pause);
    std::size_t received = 0;
    std::array<char, 65536> buffer{};
    while (true) {
        const absl::StatusOr<std::size_t> length =
            peer.read_some(absl::MakeSpan(buffer), steady_clock::now() + pause, {});
        EXPECT_TRUE(length.ok()) << length.status();
        if (!length.ok() || *length == 0) {
            break;
        }
        received += *length;
    }
    writing.join();
    EXPECT_EQ(received, text.size());
}

} // namespace
} // namespace sardinestream
