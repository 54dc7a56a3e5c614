#include <gtest/gtest.h>

#include "sardinestream/backends/server_limits.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

backend_server make_server(const std::string& id, std::int64_t born_ms)
{
    backend_server server;
    server.id = id;
    server.born_ms = born_ms;
    return server;
}

class server_limits_of_one_process : public testing::Test {
protected:
    [[nodiscard]] bool may_send(const backend_server& server) const
    {
        return this->limits.next_request_time(server, this->now) <= this->now;
    }

    const backend_server server = make_server("i-1", 1);
    server_limits limits;
    steady_time now = steady_clock::now();
};

TEST_F(server_limits_of_one_process, a_server_without_a_limit_may_always_be_used)
{
    EXPECT_FALSE(this->limits.note_answer(this->server, std::nullopt, this->now));
    this->limits.note_request(this->server, this->now);
    EXPECT_TRUE(this->may_send(this->server));
    EXPECT_EQ(this->limits.max_rate(this->server, this->now), std::nullopt);
}

TEST_F(server_limits_of_one_process, spaces_requests_by_the_rate)
{
    EXPECT_TRUE(this->limits.note_answer(this->server, 2, this->now));
    for (int requests = 0; requests < 3; ++requests) {
        this->now += milliseconds(499);
        EXPECT_FALSE(this->may_send(this->server));
        this->now += milliseconds(1);
        EXPECT_TRUE(this->may_send(this->server));
        this->limits.note_request(this->server, this->now);
    }
}

TEST_F(server_limits_of_one_process, a_limit_that_is_repeated_changes_nothing)
{
    EXPECT_TRUE(this->limits.note_answer(this->server, 2, this->now));
    EXPECT_FALSE(this->limits.note_answer(this->server, 2, this->now + milliseconds(10)));
    EXPECT_TRUE(this->limits.note_answer(this->server, 3, this->now + milliseconds(20)));
}

TEST_F(server_limits_of_one_process, an_answer_without_a_limit_ends_it)
{
    this->limits.note_answer(this->server, 1, this->now);
    this->limits.note_request(this->server, this->now);
    EXPECT_FALSE(this->may_send(this->server));
    EXPECT_TRUE(this->limits.note_answer(this->server, std::nullopt, this->now));
    EXPECT_TRUE(this->may_send(this->server));
}

TEST_F(server_limits_of_one_process, a_limit_holds_for_its_start_of_the_server_only)
{
    this->limits.note_answer(this->server, 1, this->now);
    this->limits.note_request(this->server, this->now);
    EXPECT_TRUE(this->may_send(make_server("i-1", 2)));
    EXPECT_TRUE(this->may_send(make_server("i-2", 1)));
}

TEST_F(server_limits_of_one_process, a_server_that_accepts_nothing_is_asked_now_and_then)
{
    this->limits.note_answer(this->server, 0, this->now);
    this->limits.note_request(this->server, this->now);
    this->now += seconds(9);
    EXPECT_FALSE(this->may_send(this->server));
    this->now += seconds(1);
    EXPECT_TRUE(this->may_send(this->server));
}

TEST_F(server_limits_of_one_process, a_limit_is_forgotten_if_it_is_not_repeated_for_long)
{
    this->limits.note_answer(this->server, 0, this->now);
    this->now += seconds(60);
    EXPECT_EQ(this->limits.max_rate(this->server, this->now), std::nullopt);
}

TEST_F(server_limits_of_one_process, an_older_statement_of_another_process_changes_nothing)
{
    const std::uint64_t key = server_limits::start_key(this->server);
    this->limits.note_answer(this->server, 2, this->now);
    this->limits.note_statement({key, 5.0, this->now - seconds(1)}, this->now);
    EXPECT_EQ(this->limits.max_rate(this->server, this->now), 2);
    this->limits.note_statement({key, std::nullopt, this->now + seconds(1)}, this->now);
    EXPECT_EQ(this->limits.max_rate(this->server, this->now), std::nullopt);
}

TEST_F(server_limits_of_one_process, tells_only_what_it_has_heard_itself)
{
    const backend_server other = make_server("i-2", 1);
    this->limits.note_answer(this->server, 2, this->now);
    this->limits.note_statement({server_limits::start_key(other), 3.0, this->now}, this->now);
    ASSERT_EQ(this->limits.own_statements(this->now).size(), 1U);
    EXPECT_EQ(this->limits.own_statements(this->now)[0].max_rate, 2);
    EXPECT_TRUE(this->limits.own_statements(this->now + seconds(20)).empty());
}

TEST_F(server_limits_of_one_process,
       still_tells_what_it_has_heard_once_another_process_heard_it_too)
{
    const std::uint64_t key = server_limits::start_key(this->server);
    this->limits.note_answer(this->server, 2, this->now);
    this->limits.note_statement({key, 2.0, this->now + seconds(1)}, this->now + seconds(1));
    const std::vector<limit_statement> statements =
        this->limits.own_statements(this->now + seconds(1));
    ASSERT_EQ(statements.size(), 1U);
    EXPECT_EQ(statements[0].heard, this->now);
}

TEST_F(server_limits_of_one_process, does_not_tell_what_another_process_has_heard_to_be_over)
{
    const std::uint64_t key = server_limits::start_key(this->server);
    this->limits.note_answer(this->server, 2, this->now);
    this->limits.note_statement({key, std::nullopt, this->now + seconds(1)}, this->now);
    EXPECT_TRUE(this->limits.own_statements(this->now + seconds(1)).empty());
}

TEST_F(server_limits_of_one_process, the_end_of_a_limit_is_reported_for_a_while_only)
{
    this->limits.note_answer(this->server, 2, this->now);
    for (int second = 1; second < 30; ++second) {
        this->limits.note_answer(this->server, std::nullopt, this->now + seconds(second));
    }
    EXPECT_EQ(this->limits.own_statements(this->now + seconds(20)).size(), 1U);
    EXPECT_TRUE(this->limits.own_statements(this->now + seconds(30)).empty());
}

TEST_F(server_limits_of_one_process, memory_is_bounded)
{
    for (int i = 0; i < 10'000; ++i) {
        this->limits.note_answer(make_server("i", i), 1, this->now);
    }
    EXPECT_LE(this->limits.own_statements(this->now).size(), 4096U);
}

TEST_F(server_limits_of_one_process, of_very_many_limits_the_newest_are_reported)
{
    constexpr int servers = 2000;
    for (int i = 0; i < servers; ++i) {
        this->limits.note_answer(make_server("i", i), 1, this->now + milliseconds(i));
    }
    const std::vector<limit_statement> statements = this->limits.own_statements(this->now);
    EXPECT_EQ(statements.size(), 512U);
    for (const limit_statement& one : statements) {
        EXPECT_GE(one.heard, this->now + milliseconds(servers - 512));
    }
}

} // namespace
} // namespace sardinestream
