// Tests each way by which a request gets a server: none leads to an evacuated data centre. The ways
// are the choice on arrival, the queue, a probe of a service that is down (on arrival and from the
// queue), a free server for a stream that leaves its own (`place_if_free`), and the place in the
// queue of a request whose server is silent (`queued_request`). A second attempt and a resumed
// stream take them with servers excluded or the answer begun.

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/backends/dispatcher.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

backend_server make_server(const std::string& id, const std::string& data_centre, int slots = 1)
{
    backend_server server;
    server.id = id;
    server.service = "assistant";
    server.data_centre = data_centre;
    server.slots = slots;
    server.endpoint = {"10.0.0." + id, 80};
    return server;
}

placement_request make_request(const std::vector<std::string>& tried = {}, bool has_begun = false)
{
    placement_request request;
    request.service = "assistant";
    request.max_wait = milliseconds(300);
    request.excluded_ids = tried;
    request.has_begun = has_begun;
    return request;
}

class dispatcher_evacuation_test : public testing::Test {
protected:
    absl::StatusOr<placement> place(const placement_request& request = make_request())
    {
        return this->servers.place(request, hangup_watch());
    }

    void finish(const placement& assigned, attempt_result result = attempt_result::succeeded)
    {
        this->servers.finish(assigned, result, milliseconds(5));
    }

    // Waits until so many requests are queued.
    void await_waiting(int requests) const
    {
        while (this->servers.waiting() != requests) {
            std::this_thread::yield();
        }
    }

    dispatcher servers{dispatcher_options{"a"}};
};

TEST_F(dispatcher_evacuation_test, requests_and_second_attempts_go_to_the_others)
{
    this->servers.set_servers(
        {make_server("1", "a", 16), make_server("2", "b", 16), make_server("3", "c", 16)});
    this->servers.set_evacuated({"a"});
    for (int i = 0; i < 8; ++i) {
        EXPECT_NE(this->place()->server.id, "1");
        EXPECT_EQ(this->place(make_request({"2"}))->server.id, "3");
    }
    const absl::StatusOr<placement> resumed = this->place(make_request({"2", "3"}, true));
    EXPECT_FALSE(resumed.ok());
}

TEST_F(dispatcher_evacuation_test, what_runs_there_ends_and_its_slot_is_not_given_again)
{
    this->servers.set_servers({make_server("1", "a"), make_server("2", "b")});
    const placement first = *this->place();
    const placement second = *this->place();
    this->servers.set_evacuated({first.server.data_centre});
    std::atomic<bool> placed = false;
    std::thread waiting([&] {
        EXPECT_EQ(this->place()->server.id, second.server.id);
        placed = true;
    });
    this->await_waiting(1);
    this->finish(first);
    EXPECT_FALSE(placed);
    this->finish(second);
    waiting.join();
}

TEST_F(dispatcher_evacuation_test, queued_requests_are_served_when_it_ends)
{
    this->servers.set_servers({make_server("1", "a"), make_server("2", "b")});
    this->servers.set_evacuated({"a"});
    const placement busy = *this->place();
    std::thread waiting([&] { EXPECT_EQ(this->place()->server.id, "1"); });
    this->await_waiting(1);
    this->servers.set_evacuated({});
    waiting.join();
    this->finish(busy);
}

TEST_F(dispatcher_evacuation_test, a_server_list_that_comes_later_does_not_end_it)
{
    this->servers.set_evacuated({"a", "nowhere", ""});
    this->servers.set_servers({make_server("1", "a", 8), make_server("2", "b", 8)});
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(this->place()->server.id, "2");
    }
}

TEST_F(dispatcher_evacuation_test, a_stream_that_leaves_its_server_takes_none_there)
{
    this->servers.set_servers({make_server("1", "a")});
    this->servers.set_evacuated({"a"});
    EXPECT_FALSE(this->servers.place_if_free(make_request({}, true)).has_value());
    this->servers.set_evacuated({});
    EXPECT_TRUE(this->servers.place_if_free(make_request({}, true)).has_value());
}

TEST_F(dispatcher_evacuation_test, a_request_with_a_silent_server_takes_none_there)
{
    this->servers.set_servers({make_server("1", "a"), make_server("2", "b")});
    const placement first = *this->place();
    const placement second = *this->place();
    const std::unique_ptr<dispatcher::queued_request> queued =
        *dispatcher::queued_request::create(this->servers, make_request({second.server.id}));
    this->servers.set_evacuated({first.server.data_centre});
    this->finish(first);
    EXPECT_FALSE(queued->take().has_value());
    this->servers.set_evacuated({});
    EXPECT_TRUE(queued->take().has_value());
}

// Both servers are down; each request that gets one is a probe.
TEST_F(dispatcher_evacuation_test, no_probe_goes_there)
{
    this->servers.set_servers({make_server("1", "a"), make_server("2", "b")});
    const placement first = *this->place();
    const placement second = *this->place();
    this->finish(first, attempt_result::unreachable);
    this->finish(second, attempt_result::unreachable);
    this->servers.set_evacuated({"a"});
    int probes = 0;
    for (int i = 0; i < 12; ++i) {
        placement_request request = make_request({}, true);
        request.max_wait = milliseconds(150);
        const absl::StatusOr<placement> probe = this->place(request);
        if (!probe.ok()) {
            continue;
        }
        ++probes;
        EXPECT_EQ(probe->server.id, "2");
        this->finish(*probe, attempt_result::unreachable);
    }
    EXPECT_GT(probes, 0);
}

TEST_F(dispatcher_evacuation_test, of_all_data_centres_refuses_at_once_as_not_run)
{
    this->servers.set_servers({make_server("1", "a"), make_server("2", "b")});
    this->servers.set_evacuated({"a", "b"});
    placement_request request = make_request();
    request.max_wait = std::chrono::hours(1);
    const absl::Status refused = this->place(request).status();
    EXPECT_TRUE(absl::IsUnavailable(refused)) << refused;
    EXPECT_GT(retry_after_of(refused).count(), 0);
}

TEST_F(dispatcher_evacuation_test, of_all_data_centres_refuses_what_waits)
{
    this->servers.set_servers({make_server("1", "a")});
    const placement busy = *this->place();
    std::thread waiting([&] {
        placement_request request = make_request();
        request.max_wait = std::chrono::hours(1);
        const absl::Status refused = this->place(request).status();
        EXPECT_TRUE(absl::IsUnavailable(refused)) << refused;
        EXPECT_GT(retry_after_of(refused).count(), 0);
    });
    this->await_waiting(1);
    this->servers.set_evacuated({"a"});
    waiting.join();
    this->finish(busy);
}

TEST_F(dispatcher_evacuation_test, is_shown_to_operators)
{
    this->servers.set_servers({make_server("1", "a"), make_server("2", "b")});
    this->servers.set_evacuated({"a"});
    const std::vector<dispatcher::server_summary> all = this->servers.summary();
    EXPECT_EQ(all[0].use, "no: evacuated");
    EXPECT_NE(all[1].use, "no: evacuated");
}

} // namespace
} // namespace sardinestream
