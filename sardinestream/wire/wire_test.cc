#include <gtest/gtest.h>

#include "sardinestream/testing/stepped_clock.h"
#include "sardinestream/wire/frame.h"
#include "sardinestream/wire/link_server.h"

#include "absl/synchronization/notification.h"

namespace sardinestream::wire {
namespace {

constexpr char test_key[] = "a key for this test only";

std::shared_ptr<link_options> make_options(const std::string& id, absl::string_view key = test_key)
{
    auto options = std::make_shared<link_options>();
    options->tls = tls_context::create(key).value();
    options->local_hello = [id] {
        helloT said;
        said.id = id;
        said.incarnation = 7;
        return said;
    };
    return options;
}

// Answers every stream with the payload of its first frame, as one data frame.
std::shared_ptr<link_options> make_echo_options()
{
    auto options = make_options("echo");
    options->hooks.on_stream = [](const std::shared_ptr<stream>& opened, frame first) {
        EXPECT_TRUE(opened->send(frame_type::response_chunk, first.payload).ok());
        opened->finish();
    };
    return options;
}

absl::Time soon()
{
    return absl::Now() + absl::Seconds(20);
}

TEST(frame_test, header_survives_the_round_trip)
{
    frame_header header;
    header.payload_bytes = 5;
    header.type = frame_type::map_vote;
    header.stream_id = 1ULL << 40;
    header.catalogue_number = 99;
    const auto bytes = encode_header(header);
    const frame_header decoded =
        decode_header(absl::string_view(bytes.data(), bytes.size())).value();
    EXPECT_EQ(decoded.type, frame_type::map_vote);
    EXPECT_EQ(decoded.stream_id, 1ULL << 40);
    EXPECT_EQ(decoded.catalogue_number, 99U);
}

TEST(frame_test, unknown_version_and_oversize_are_refused)
{
    frame_header header;
    header.version = 9;
    auto bytes = encode_header(header);
    EXPECT_FALSE(decode_header(absl::string_view(bytes.data(), bytes.size())).ok());
    header.version = protocol_version;
    header.payload_bytes = max_payload_bytes + 1;
    bytes = encode_header(header);
    EXPECT_FALSE(decode_header(absl::string_view(bytes.data(), bytes.size())).ok());
}

TEST(frame_test, garbage_payload_is_refused)
{
    EXPECT_FALSE(decode<hello>("not a table").ok());
    EXPECT_FALSE(decode<hello>("").ok());
}

TEST(peer_link_test, streams_are_answered_on_one_link)
{
    auto server = link_server::create(make_echo_options(), {"127.0.0.1", 0}).value();
    link_dialer dialer(make_options("caller"), server->local());
    auto link = dialer.wait_until_up(soon());
    ASSERT_NE(link, nullptr);
    EXPECT_EQ(link->remote().id, "echo");
    auto first = link->open_stream();
    auto second = link->open_stream();
    ASSERT_TRUE(second->send(frame_type::request_open, "two").ok());
    ASSERT_TRUE(first->send(frame_type::request_open, "one").ok());
    EXPECT_EQ(first->receive(soon())->payload, "one");
    EXPECT_EQ(second->receive(soon())->payload, "two");
}

TEST(peer_link_test, a_peer_with_another_key_is_refused)
{
    auto server = link_server::create(make_echo_options(), {"127.0.0.1", 0}).value();
    const auto dialled =
        peer_link::dial(make_options("stranger", "another key, just as long"), server->local());
    EXPECT_FALSE(dialled.ok());
}

TEST(peer_link_test, a_stream_that_nobody_reads_holds_up_no_other)
{
    auto options = make_options("flood");
    auto sent = std::make_shared<std::atomic<int>>(0);
    auto threads = std::make_shared<thread_group>();
    options->hooks.on_stream = [sent, threads](const std::shared_ptr<stream>& opened, frame first) {
        if (first.payload == "echo") {
            EXPECT_TRUE(opened->send(frame_type::response_chunk, "echo").ok());
            opened->finish();
            return;
        }
        EXPECT_TRUE(threads->spawn([opened, sent] {
            const std::string block(64 << 10, 'x');
            while (opened->send(frame_type::response_chunk, block).ok()) {
                ++*sent;
            }
        }));
    };
    auto server = link_server::create(options, {"127.0.0.1", 0}).value();
    link_dialer dialer(make_options("caller"), server->local());
    auto link = dialer.wait_until_up(soon());
    ASSERT_NE(link, nullptr);
    auto unread = link->open_stream();
    ASSERT_TRUE(unread->send(frame_type::request_open, "flood").ok());
    ASSERT_TRUE(unread->receive(soon()).ok());
    auto other = link->open_stream();
    ASSERT_TRUE(other->send(frame_type::request_open, "echo").ok());
    EXPECT_EQ(other->receive(soon())->payload, "echo");
    EXPECT_LE(*sent, 5);
    unread.reset();
    EXPECT_TRUE(
        threads->wait_until_empty(std::chrono::steady_clock::now() + std::chrono::seconds(10)));
}

TEST(peer_link_test, streams_end_when_the_link_is_lost)
{
    auto options = make_options("silent");
    auto held = std::make_shared<std::vector<std::shared_ptr<stream>>>();
    options->hooks.on_stream = [held](const std::shared_ptr<stream>& opened, const frame&) {
        held->push_back(opened);
    };
    auto server = link_server::create(options, {"127.0.0.1", 0}).value();
    link_dialer dialer(make_options("caller"), server->local());
    auto link = dialer.wait_until_up(soon());
    ASSERT_NE(link, nullptr);
    auto opened = link->open_stream();
    ASSERT_TRUE(opened->send(frame_type::request_open, "x").ok());
    link->shut_down();
    EXPECT_EQ(opened->receive(soon()).status().code(), absl::StatusCode::kUnavailable);
    server.reset();
}

// Guards against answers whose end is lost to a reset, since the peer goes on sending.
TEST(peer_link_test, all_frames_sent_before_the_end_of_a_server_reach_a_slow_peer)
{
    auto server = link_server::create(make_options("ending"), {"127.0.0.1", 0}).value();
    auto options = make_options("slow");
    options->heartbeat_interval = absl::Milliseconds(1);
    std::atomic<int> received{0};
    absl::Notification ended;
    options->hooks.on_link_frame = [&](const std::shared_ptr<peer_link>&, const frame&) {
        ++received;
        absl::SleepFor(absl::Milliseconds(5));
    };
    options->hooks.on_down = [&](const std::shared_ptr<peer_link>&) {
        if (!ended.HasBeenNotified()) {
            ended.Notify();
        }
    };
    const link_dialer dialer(options, server->local());
    ASSERT_NE(dialer.wait_until_up(soon()), nullptr);
    while (server->links().empty()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    constexpr int frames = 48;
    const std::string payload(64 << 10, 'x');
    for (int i = 0; i < frames; ++i) {
        ASSERT_TRUE(server->links().front()->send_link_frame(frame_type::leaving, payload).ok());
    }
    server.reset();
    ASSERT_TRUE(ended.WaitForNotificationWithTimeout(absl::Seconds(20)));
    EXPECT_EQ(received, frames);
}

// Guards against answers that are lost since another thread still sends as the link ends.
TEST(peer_link_test, frames_sent_while_a_link_ends_arrive_or_are_refused)
{
    constexpr int rounds = 20;
    constexpr int senders = 4;
    for (int round = 0; round < rounds; ++round) {
        auto server = link_server::create(make_options("ending"), {"127.0.0.1", 0}).value();
        auto options = make_options("slow");
        options->heartbeat_interval = absl::Milliseconds(1);
        std::atomic<int> received{0};
        absl::Notification ended;
        options->hooks.on_link_frame = [&](const std::shared_ptr<peer_link>&, const frame&) {
            ++received;
            absl::SleepFor(absl::Microseconds(500));
        };
        options->hooks.on_down = [&](const std::shared_ptr<peer_link>&) {
            if (!ended.HasBeenNotified()) {
                ended.Notify();
            }
        };
        const link_dialer dialer(options, server->local());
        ASSERT_NE(dialer.wait_until_up(soon()), nullptr);
        while (server->links().empty()) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        const std::shared_ptr<peer_link> link = server->links().front();
        std::atomic<int> accepted{0};
        thread_group sending;
        for (int i = 0; i < senders; ++i) {
            ASSERT_TRUE(sending.spawn([&link, &accepted] {
                const std::string payload(1 << 10, 'x');
                while (link->send_link_frame(frame_type::leaving, payload).ok()) {
                    ++accepted;
                }
            }));
        }
        while (accepted < senders) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        server->finish(std::chrono::steady_clock::now() + std::chrono::seconds(20));
        ASSERT_TRUE(ended.WaitForNotificationWithTimeout(absl::Seconds(20)));
        sending.wait_until_empty();
        EXPECT_EQ(received, accepted);
    }
}

// Guards against a server that waits for each peer that doesn't read in turn.
TEST(link_server_test, peers_that_read_nothing_do_not_hold_up_its_end)
{
    constexpr std::chrono::seconds peer_timeout{20};
    auto options = make_options("ending");
    options->peer_timeout = absl::FromChrono(peer_timeout);
    std::atomic<int> sent{0};
    thread_group flooding;
    options->hooks.on_stream = [&](const std::shared_ptr<stream>& opened, const frame&) {
        EXPECT_TRUE(flooding.spawn([opened, &sent] {
            const std::string block(1 << 20, 'x');
            while (opened->send(frame_type::response_head, block).ok()) {
                ++sent;
            }
        }));
    };
    auto server = link_server::create(options, {"127.0.0.1", 0}).value();
    std::vector<std::shared_ptr<peer_link>> unread;
    for (int i = 0; i < 3; ++i) {
        // Without `run`, nothing is read.
        unread.push_back(peer_link::dial(make_options("stuck"), server->local()).value());
        ASSERT_TRUE(unread.back()->open_stream()->send(frame_type::request_open, "x").ok());
    }
    for (int before = -1; before != sent;) {
        before = sent;
        absl::SleepFor(absl::Milliseconds(300));
    }
    const auto start = std::chrono::steady_clock::now();
    server->finish(start + std::chrono::milliseconds(200));
    EXPECT_LT(std::chrono::steady_clock::now() - start, peer_timeout / 2);
    server.reset();
    flooding.wait_until_empty();
}

// Guards against links, and all answers on them, that are lost when the time of day is set.
TEST(peer_link_test, a_step_of_the_clock_ends_no_link)
{
    auto server = link_server::create(make_echo_options(), {"127.0.0.1", 0}).value();
    auto options = make_options("caller");
    options->heartbeat_interval = absl::Milliseconds(20);
    std::atomic<int> links_lost{0};
    options->hooks.on_down = [&](const std::shared_ptr<peer_link>&) { ++links_lost; };
    const link_dialer dialer(options, server->local());
    ASSERT_NE(dialer.wait_until_up(soon()), nullptr);
    // No longer than the peer needs for a heartbeat.
    absl::SleepFor(absl::Milliseconds(100));
    testing::step_clock(std::chrono::seconds(60));
    absl::SleepFor(absl::Milliseconds(300));
    EXPECT_EQ(links_lost, 0);
    testing::step_clock(std::chrono::seconds(0));
    absl::SleepFor(absl::Milliseconds(300));
    EXPECT_EQ(links_lost, 0);
}

TEST(tcp_listener_test, an_address_in_use_is_refused)
{
    auto first = tcp_listener::create({"127.0.0.1", 0}).value();
    EXPECT_FALSE(tcp_listener::create(first->local()).ok());
}

} // namespace
} // namespace sardinestream::wire
