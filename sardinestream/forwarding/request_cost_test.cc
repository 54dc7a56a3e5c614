// Tests what the request path does with the size of a request and of its answer, where the operator
// describes the speed of the engine.

#include <gtest/gtest.h>

#include "sardinestream/base/metrics.h"
#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

constexpr answer_origin origin = {"service", "/tell/", "growers"};
constexpr double usual_tokens = 140;

class request_cost_test : public frontend_test {
protected:
    request_cost_test()
    {
        const std::shared_ptr<desired_state> declared = make_state();
        engine_model& engine = declared->services["service"].engine;
        engine.slots = 4;
        engine.steps_per_pass = 6;
        engine.step_ms = 5;
        engine.read_tokens_per_s = 50000;
        engine.memory_tokens = 10000;
        engine.usual_answer_tokens = usual_tokens;
        this->state = declared;
        this->servers.set_policies(policies_of(*declared));
    }

    caller_answer call_with_prompt(absl::string_view target, int prompt_tokens)
    {
        tcp_socket socket = this->connect();
        const std::string text =
            absl::StrCat("POST ", target,
                         " HTTP/1.1\r\nHost: shop\r\nId: r1\r\nKey: k\r\nPrompt: ", prompt_tokens,
                         "\r\nContent-Length: 2\r\n\r\n{}");
        EXPECT_TRUE(socket.write_all(text, soon(), {}).ok());
        message_reader reader(socket);
        return read_answer(reader);
    }
};

void stream_three_events(scripted_connection& connection)
{
    if (connection.read_request()) {
        connection.write(stream_head(connection) + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") +
                         chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    }
}

TEST_F(request_cost_test, learns_the_sizes_of_whole_answers)
{
    scripted_server server(stream_three_events);
    this->use({&server});
    const double before = this->answer_sizes.expect(origin, {}, usual_tokens);
    EXPECT_EQ(this->call_with_prompt("/tell/", 500).head.status, 200);
    this->stop();
    EXPECT_EQ(this->answer_sizes.size(), 2U);
    EXPECT_LT(this->answer_sizes.expect(origin, {}, usual_tokens), before);
    EXPECT_GT(quantile_seconds("sardine_cost_error_seconds", {{"service", "service"}}, 0.5), 0);
}

TEST_F(request_cost_test, refuses_at_once_what_no_server_can_hold)
{
    scripted_server server(stream_three_events);
    this->use({&server});
    const caller_answer answer = this->call_with_prompt("/tell/", 10001);
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_TRUE(absl::StrContains(answer.body, "not_run")) << answer.body;
    EXPECT_EQ(this->call_with_prompt("/tell/", 9000).head.status, 200);
}

TEST_F(request_cost_test, counts_requests_without_a_declared_speed)
{
    this->state = make_state();
    this->servers.set_policies(policies_of(*this->state));
    scripted_server server(stream_three_events);
    this->use({&server});
    EXPECT_EQ(this->call_with_prompt("/tell/", 10001).head.status, 200);
    this->stop();
    EXPECT_EQ(this->answer_sizes.size(), 0U);
}

} // namespace
} // namespace sardinestream
