#include <gtest/gtest.h>

#include "sardinestream/backends/refusal.h"
#include "sardinestream/forwarding/crash_guard.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

constexpr char service[] = "assistant";

class crash_guard_test : public testing::Test {
protected:
    static suspects::suspect_registry_options options(const absl::Time& now)
    {
        suspects::suspect_registry_options chosen = shared_server_suspects();
        chosen.now = [&now] { return now; };
        return chosen;
    }

    void lose(const caller_request& request)
    {
        this->now += absl::Seconds(1);
        backend_server server;
        server.id = absl::StrCat("i-", ++this->servers);
        server.service = service;
        this->guard.note_lost(server, request);
    }

    [[nodiscard]] absl::Status check(const caller_request& request) const
    {
        return this->guard.check(request, service);
    }

    absl::Time now = absl::FromUnixSeconds(1000);
    int servers = 0;
    int changes = 0;
    bool refuses_connections = true;
    std::unique_ptr<suspects::suspect_registry> registry =
        suspects::suspect_registry::create(options(this->now));
    crash_guard guard{*this->registry,
                      {[this](const address&) { return this->refuses_connections; },
                       [this] { ++this->changes; }}};
};

caller_request make_request(const std::string& body, int parts = 0)
{
    caller_request request;
    request.method = "POST";
    request.target = "/till/";
    request.key = "k";
    request.body = body;
    for (int i = 0; i < parts; ++i) {
        request.prompt_parts.push_back(absl::StrCat("p", i));
    }
    return request;
}

TEST_F(crash_guard_test, a_request_without_parts_that_crashes_servers_is_refused_as_a_whole)
{
    for (int crashes = 0; crashes < 3; ++crashes) {
        EXPECT_TRUE(this->check(make_request("bad")).ok());
        this->lose(make_request("bad"));
    }
    EXPECT_TRUE(absl::IsUnavailable(this->check(make_request("bad"))));
    EXPECT_GT(retry_after_of(this->check(make_request("bad"))).count(), 0);
    EXPECT_TRUE(this->check(make_request("good")).ok());
    EXPECT_EQ(this->changes, 3);
}

TEST_F(crash_guard_test, a_request_with_very_many_parts_is_still_known_as_a_whole)
{
    for (int crashes = 0; crashes < 3; ++crashes) {
        this->lose(make_request("bad", 200));
    }
    EXPECT_FALSE(this->check(make_request("bad", 200)).ok());
    EXPECT_TRUE(this->check(make_request("good", 200)).ok());
}

TEST_F(crash_guard_test, a_lost_connection_to_a_server_that_lives_on_is_no_crash)
{
    this->refuses_connections = false;
    for (int losses = 0; losses < 10; ++losses) {
        this->lose(make_request("good"));
    }
    EXPECT_EQ(this->registry->size(), 0U);
    EXPECT_EQ(this->changes, 0);
}

TEST_F(crash_guard_test, a_request_that_is_answered_is_no_longer_refused)
{
    for (int crashes = 0; crashes < 3; ++crashes) {
        this->lose(make_request("bad"));
    }
    this->guard.note_sound(make_request("bad"), service);
    EXPECT_TRUE(this->check(make_request("bad")).ok());
    EXPECT_EQ(this->changes, 4);
}

// Guards against a sound topic that is refused for minutes because it was lost beside a request
// that crashes servers, three times running.
TEST_F(crash_guard_test, a_topic_lost_beside_the_cause_in_every_crash_is_tried_within_seconds)
{
    const auto make_chat = [](const std::string& topic, const std::string& body) {
        caller_request chat = make_request(body);
        chat.prompt_parts = {topic};
        return chat;
    };
    for (int crashes = 0; crashes < 3; ++crashes) {
        const std::string body = absl::StrCat("body", crashes);
        this->lose(make_chat("bad", body));
        --this->servers;
        this->lose(make_chat("sound", body));
    }
    EXPECT_FALSE(this->check(make_chat("bad", "new")).ok());
    EXPECT_FALSE(this->check(make_chat("sound", "new")).ok());
    this->now += absl::Seconds(5);
    ASSERT_TRUE(this->check(make_chat("sound", "new")).ok());
    this->guard.note_sound(make_chat("sound", "new"), service);
    EXPECT_TRUE(this->check(make_chat("sound", "another")).ok());
    EXPECT_FALSE(this->check(make_chat("bad", "new")).ok());
}

} // namespace
} // namespace sardinestream
