// Tests what a caller gets of a completion when its time ends.

#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/requests/completion.h"
#include "sardinestream/requests/requests_generated.h"
#include "sardinestream/testing/stepped_clock.h"
#include "sardinestream/wire/link_server.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::requests {
namespace {

constexpr char test_key[] = "a key for this test only";
constexpr int tokens = 3;

std::shared_ptr<wire::link_options> make_options(const std::string& id)
{
    auto options = std::make_shared<wire::link_options>();
    options->tls = wire::tls_context::create(test_key).value();
    options->local_hello = [id] {
        wire::helloT said;
        said.id = id;
        said.incarnation = 7;
        return said;
    };
    return options;
}

void send_tokens(wire::stream& opened)
{
    response_headT head;
    head.status = 200;
    EXPECT_TRUE(
        opened.send(wire::frame_type::response_head, wire::encode<response_head>(head)).ok());
    for (std::uint32_t index = 0; index < tokens; ++index) {
        const std::string event = absl::StrCat("{\"token_index\":", index, "}");
        response_chunkT chunk;
        chunk.token_index = index;
        chunk.data.assign(event.begin(), event.end());
        EXPECT_TRUE(
            opened.send(wire::frame_type::response_chunk, wire::encode<response_chunk>(chunk))
                .ok());
    }
}

// An agent that sends `tokens` tokens of each completion and nothing more.
class completion_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        auto agent_options = make_options("agent");
        agent_options->hooks.on_stream = [this](const std::shared_ptr<wire::stream>& opened,
                                                const wire::frame&) {
            this->kept = opened;
            send_tokens(*opened);
        };
        this->server = wire::link_server::create(agent_options, {"127.0.0.1", 0}).value();
        this->dialer =
            std::make_unique<wire::link_dialer>(make_options("entry"), this->server->local());
        this->agent->link = this->dialer->wait_until_up(absl::Now() + absl::Seconds(20));
        ASSERT_NE(this->agent->link, nullptr);
        this->entry.service = "model";
        this->request.entry = &this->entry;
        this->services.choose_agent = [this](const caller_request&, const attempt_history&) {
            return this->agent;
        };
    }

    std::shared_ptr<wire::stream> kept;
    std::unique_ptr<wire::link_server> server;
    std::unique_ptr<wire::link_dialer> dialer;
    std::shared_ptr<membership::peer> agent = std::make_shared<membership::peer>();
    catalogue::catalogue_entry entry;
    caller_request request;
    request_services services;
};

// Guards against the loss of tokens that arrived before the request's time was over.
TEST_F(completion_test, tokens_that_arrived_in_time_are_returned_after_the_deadline)
{
    this->request.deadline = deadline_after(absl::Milliseconds(600));
    completion work(this->request, this->services);
    ASSERT_FALSE(work.open().has_value());
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    for (int index = 0; index < tokens; ++index) {
        const completion_part part = work.next(absl::Now() + absl::Milliseconds(100));
        ASSERT_TRUE(std::holds_alternative<token_event>(part)) << index;
    }
    const completion_part end = work.next(absl::Now() + absl::Milliseconds(100));
    ASSERT_TRUE(std::holds_alternative<refusal>(end));
    EXPECT_EQ(std::get<refusal>(end).code, refusal_code::deadline_exceeded);
}

// Guards against streams that end before their time when the time of day is set.
TEST_F(completion_test, a_step_of_the_clock_ends_no_stream)
{
    this->request.deadline = deadline_after(absl::Seconds(20));
    completion work(this->request, this->services);
    ASSERT_FALSE(work.open().has_value());
    sardinestream::testing::step_clock(std::chrono::seconds(60));
    for (int index = 0; index < tokens; ++index) {
        const completion_part part = work.next(absl::Now() + absl::Milliseconds(100));
        EXPECT_TRUE(std::holds_alternative<token_event>(part)) << index;
    }
    const completion_part rest = work.next(absl::InfinitePast());
    EXPECT_TRUE(std::holds_alternative<nothing_yet>(rest));
    sardinestream::testing::step_clock(std::chrono::seconds(0));
}

} // namespace
} // namespace sardinestream::requests
