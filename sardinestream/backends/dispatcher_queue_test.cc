// Tests in which order queued requests get servers, and which of them may wait.

#include <array>
#include <atomic>
#include <set>
#include <thread>

#include <gtest/gtest.h>
#include <poll.h>

#include "sardinestream/backends/dispatcher.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

backend_server make_server(const std::string& id)
{
    backend_server server;
    server.id = id;
    server.service = "assistant";
    server.slots = 1;
    server.endpoint = {"10.0.0." + id, 80};
    return server;
}

placement_request make_request(const std::vector<std::string>& tried = {}, bool has_begun = false)
{
    placement_request request;
    request.service = "assistant";
    request.max_wait = milliseconds(2000);
    request.excluded_ids = tried;
    request.has_begun = has_begun;
    return request;
}

class dispatcher_queue_test : public testing::Test {
protected:
    placement place(const placement_request& request)
    {
        absl::StatusOr<placement> placed = this->servers.place(request, hangup_watch());
        EXPECT_TRUE(placed.ok()) << placed.status();
        return placed.ok() ? *placed : placement();
    }

    void finish(const placement& assigned, attempt_result result = attempt_result::succeeded)
    {
        this->servers.finish(assigned, result, milliseconds(5));
    }

    std::unique_ptr<dispatcher::queued_request> queue(const placement_request& request)
    {
        return *dispatcher::queued_request::create(this->servers, request);
    }

    static bool is_readable(const dispatcher::queued_request& queued)
    {
        pollfd polled = {queued.descriptor(), POLLIN, 0};
        return ::poll(&polled, 1, 0) > 0;
    }

    dispatcher servers{dispatcher_options{"a"}};
};

TEST_F(dispatcher_queue_test, a_queued_request_learns_its_server)
{
    this->servers.set_servers({make_server("1"), make_server("2")});
    const placement first = this->place(make_request());
    const placement second = this->place(make_request());
    const auto queued = this->queue(make_request({first.server.id}, true));
    EXPECT_FALSE(queued->take().has_value());
    EXPECT_FALSE(is_readable(*queued));
    this->finish(second);
    EXPECT_TRUE(is_readable(*queued));
    ASSERT_TRUE(queued->take().has_value());
}

// Guards against capacity that is lost with a request that no longer needs another server.
TEST_F(dispatcher_queue_test, a_server_that_is_not_taken_is_free_again)
{
    this->servers.set_servers({make_server("1")});
    const placement first = this->place(make_request());
    std::unique_ptr<dispatcher::queued_request> queued = this->queue(make_request({}, true));
    this->finish(first);
    EXPECT_TRUE(is_readable(*queued));
    queued.reset();
    EXPECT_EQ(this->place(make_request()).server.id, "1");
}

TEST_F(dispatcher_queue_test, a_request_that_has_begun_goes_before_an_earlier_one_of_any_priority)
{
    this->servers.set_servers({make_server("1")});
    const placement first = this->place(make_request());
    placement_request urgent = make_request();
    urgent.priority = 0;
    const auto earlier = this->queue(urgent);
    const auto begun = this->queue(make_request({}, true));
    this->finish(first);
    EXPECT_FALSE(is_readable(*earlier));
    EXPECT_TRUE(is_readable(*begun));
}

// Guards against a free server that stays idle, because the first in the queue has tried it.
TEST_F(dispatcher_queue_test, a_request_that_has_tried_the_free_server_blocks_nobody)
{
    this->servers.set_servers({make_server("1"), make_server("2")});
    const placement first = this->place(make_request());
    const placement second = this->place(make_request());
    const auto begun = this->queue(make_request({first.server.id}, true));
    const auto behind = this->queue(make_request());
    this->finish(first);
    EXPECT_FALSE(is_readable(*begun));
    EXPECT_TRUE(is_readable(*behind));
    this->finish(second);
}

// Guards against new requests that wait, or are refused, beside a free server.
TEST_F(dispatcher_queue_test, a_new_request_takes_a_free_server_that_those_before_it_have_tried)
{
    this->servers.set_servers({make_server("1"), make_server("2")});
    const placement first = this->place(make_request());
    const placement second = this->place(make_request());
    const auto begun = this->queue(make_request({first.server.id}, true));
    this->finish(first);
    const steady_time begins = steady_clock::now();
    EXPECT_EQ(this->place(make_request()).server.id, first.server.id);
    EXPECT_LT(steady_clock::now() - begins, milliseconds(50));
    this->finish(second);
}

// Guards against a stream that leaves a silent server for one that is known not to serve.
TEST_F(dispatcher_queue_test, a_request_that_has_a_server_gets_no_probe)
{
    this->servers.set_servers({make_server("1"), make_server("2")});
    const placement first = this->place(make_request());
    const placement second = this->place(make_request());
    this->finish(second, attempt_result::unreachable);
    const auto queued = this->queue(make_request({first.server.id}, true));
    EXPECT_FALSE(queued->take().has_value());
}

TEST_F(dispatcher_queue_test, a_request_that_has_begun_waits_while_its_service_is_down)
{
    this->servers.set_servers({make_server("1")});
    server_report broken;
    broken.group = "g";
    broken.group_broken = true;
    std::atomic<bool> formed = false;
    std::thread agent([&] {
        for (int report = 0; report < 30; ++report) {
            broken.group_broken = report < 25;
            formed = !broken.group_broken;
            this->servers.apply_report("10.0.0.1", broken);
            std::this_thread::sleep_for(milliseconds(50));
        }
    });
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(this->place(make_request({}, true)).server.id, "1");
    EXPECT_TRUE(formed);
    agent.join();
}

// An engine with memory for 10,000 tokens, and two slots.
service_policies timed_engine()
{
    service_policies policies;
    engine_model& engine = policies["assistant"].engine;
    engine.slots = 2;
    engine.step_ms = 5;
    engine.step_ms_per_request = 0.5;
    engine.read_tokens_per_s = 50000;
    engine.memory_tokens = 10000;
    return policies;
}

class placement_cost_test : public dispatcher_queue_test {
protected:
    placement_cost_test()
    {
        this->servers.set_policies(this->policies);
        this->servers.set_servers({make_server("1"), make_server("2"), make_server("3")});
    }

    [[nodiscard]] placement_request request_of(double prompt_tokens, double answer_tokens) const
    {
        placement_request request = make_request();
        request.cost = cost_of(prompt_tokens, answer_tokens, this->policies.at("assistant").engine);
        return request;
    }

    // Places one request on each server, that leaves it no room for a large one.
    std::array<placement, 3> place_on_each()
    {
        const placement_request wanted = this->request_of(2000, 1000);
        return {this->place(wanted), this->place(wanted), this->place(wanted)};
    }

    static backend_server make_server(const std::string& id)
    {
        backend_server server = sardinestream::make_server(id);
        server.slots = 2;
        return server;
    }

    const service_policies policies = timed_engine();
};

TEST_F(placement_cost_test, goes_where_the_least_work_is_left)
{
    this->servers.set_servers({make_server("1"), make_server("2")});
    placement first = this->place(this->request_of(100, 1000));
    const placement second = this->place(this->request_of(100, 500));
    EXPECT_NE(first.server.id, second.server.id);
    // All but a little of the long answer is there.
    this->servers.note_progress(first, 800);
    EXPECT_EQ(this->place(this->request_of(100, 100)).server.id, first.server.id);
    this->finish(first);
    this->finish(second);
}

TEST_F(placement_cost_test, a_request_larger_than_the_free_memory_waits_and_holds_up_nobody)
{
    const std::array<placement, 3> placed = this->place_on_each();
    const auto large = this->queue(this->request_of(9000, 500));
    EXPECT_FALSE(large->take().has_value());
    const auto small = this->queue(this->request_of(100, 100));
    EXPECT_TRUE(small->take().has_value());
    EXPECT_FALSE(large->take().has_value());
    for (const placement& each : placed) {
        this->finish(each);
    }
    EXPECT_TRUE(large->take().has_value());
}

TEST_F(placement_cost_test, few_large_requests_wait_at_a_time)
{
    const std::array<placement, 3> placed = this->place_on_each();
    const auto first = this->queue(this->request_of(9000, 500));
    const auto second = this->queue(this->request_of(9000, 500));
    const absl::StatusOr<placement> third =
        this->servers.place(this->request_of(9000, 500), hangup_watch());
    EXPECT_EQ(third.status().code(), absl::StatusCode::kResourceExhausted);
    EXPECT_EQ(this->place(this->request_of(100, 100)).server.service, "assistant");
}

// A service without a declared speed is as before.
TEST_F(placement_cost_test, without_a_declared_speed_requests_are_counted)
{
    this->servers.set_policies({});
    std::set<std::string> chosen;
    for (int i = 0; i < 3; ++i) {
        const placement placed = this->place(this->request_of(9000, 1000.0 * (3 - i)));
        EXPECT_FALSE(placed.work.expected.is_known());
        chosen.insert(placed.server.id);
    }
    EXPECT_EQ(chosen.size(), 3U);
}

} // namespace
} // namespace sardinestream
