#include <chrono>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "sardinestream/agent/leave_notice.h"
#include "sardinestream/wire/link_server.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace sardinestream::agent {
namespace {

constexpr std::chrono::seconds generous{20};
constexpr std::chrono::milliseconds some_time{200};

std::chrono::steady_clock::time_point after(std::chrono::milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
}

std::shared_ptr<wire::link_options> make_options(wire::peer_role role)
{
    auto options = std::make_shared<wire::link_options>();
    options->tls = wire::tls_context::create("a key for this test only").value();
    options->local_hello = [role] {
        wire::helloT hello;
        hello.role = role;
        hello.id = "peer";
        return hello;
    };
    return options;
}

class leave_notice_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        auto options = make_options(wire::peer_role::agent);
        this->notice.attach(options->hooks);
        this->server = wire::link_server::create(options, {"127.0.0.1", 0}).value();
    }

    // A peer that counts the notices and acknowledges nothing by itself.
    [[nodiscard]] std::unique_ptr<wire::link_dialer> connect(wire::peer_role role)
    {
        auto options = make_options(role);
        options->hooks.on_link_frame = [this](const std::shared_ptr<wire::peer_link>&,
                                              const wire::frame& received) {
            if (received.header.type == wire::frame_type::leaving) {
                this->notified.Notify();
            }
        };
        auto dialer = std::make_unique<wire::link_dialer>(options, this->server->local());
        EXPECT_NE(dialer->wait_until_up(absl::Now() + absl::FromChrono(generous)), nullptr);
        while (this->server->links().empty()) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        return dialer;
    }

    leave_notice notice;
    std::unique_ptr<wire::link_server> server;
    absl::Notification notified;
};

TEST_F(leave_notice_test, waits_for_an_entry_until_it_acknowledges)
{
    const auto entry = this->connect(wire::peer_role::entry);
    this->notice.send();
    ASSERT_TRUE(this->notified.WaitForNotificationWithTimeout(absl::FromChrono(generous)));
    EXPECT_FALSE(this->notice.wait_until_acknowledged(after(some_time)));
    ASSERT_TRUE(entry->current()->send_link_frame(wire::frame_type::leaving, "").ok());
    EXPECT_TRUE(this->notice.wait_until_acknowledged(after(generous)));
}

TEST_F(leave_notice_test, waits_for_no_entry_whose_link_is_lost)
{
    auto entry = this->connect(wire::peer_role::entry);
    this->notice.send();
    entry.reset();
    EXPECT_TRUE(this->notice.wait_until_acknowledged(after(generous)));
}

TEST_F(leave_notice_test, waits_for_no_agent)
{
    const auto agent = this->connect(wire::peer_role::agent);
    this->notice.send();
    EXPECT_TRUE(this->notice.wait_until_acknowledged(after(generous)));
}

// Guards against entries that never hear of a stop that began while they connected.
TEST_F(leave_notice_test, a_link_that_comes_up_afterwards_gets_the_notice)
{
    this->notice.send();
    const auto entry = this->connect(wire::peer_role::entry);
    EXPECT_TRUE(this->notified.WaitForNotificationWithTimeout(absl::FromChrono(generous)));
    EXPECT_FALSE(this->notice.wait_until_acknowledged(after(some_time)));
}

} // namespace
} // namespace sardinestream::agent
