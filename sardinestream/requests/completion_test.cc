// Tests what a caller gets of a completion when its time ends.

#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/requests/completion.h"
#include "sardinestream/requests/requests_generated.h"
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

// Guards against the loss of tokens that arrived before the request's time was over.
TEST(completion, tokens_that_arrived_in_time_are_returned_after_the_deadline)
{
    std::shared_ptr<wire::stream> kept;
    auto agent_options = make_options("agent");
    agent_options->hooks.on_stream = [&](const std::shared_ptr<wire::stream>& opened,
                                         const wire::frame&) {
        kept = opened;
        send_tokens(*opened);
    };
    auto server = wire::link_server::create(agent_options, {"127.0.0.1", 0}).value();
    wire::link_dialer dialer(make_options("entry"), server->local());
    auto agent = std::make_shared<membership::peer>();
    agent->link = dialer.wait_until_up(absl::Now() + absl::Seconds(20));
    ASSERT_NE(agent->link, nullptr);

    catalogue::catalogue_entry entry;
    entry.service = "model";
    caller_request request;
    request.entry = &entry;
    request.deadline = absl::Now() + absl::Milliseconds(600);
    request_services services;
    services.choose_agent = [&](const caller_request&, const attempt_history&) { return agent; };
    completion work(request, services);
    ASSERT_FALSE(work.open().has_value());
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    for (int index = 0; index < tokens; ++index) {
        const completion_part part = work.next(absl::Now() + absl::Milliseconds(100));
        ASSERT_TRUE(std::holds_alternative<token_event>(part)) << index;
    }
    const completion_part end = work.next(absl::Now() + absl::Milliseconds(100));
    ASSERT_TRUE(std::holds_alternative<refusal>(end));
    EXPECT_EQ(std::get<refusal>(end).code, refusal_code::deadline_exceeded);
    kept.reset();
}

} // namespace
} // namespace sardinestream::requests
