#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sardinestream/testing/engine_tokens.h"
#include "sardinestream/testing/fault_proxy.h"
#include "sardinestream/testing/standin_engine.h"
#include "sardinestream/testing/standin_service.h"
#include "sardinestream/wire/link_server.h"

#include "absl/strings/match.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using wire::frame_type;

constexpr char stream_body[] = R"({"prompt":"p","max_tokens":20,"stream":true})";

httplib::Client client_of(const fault_proxy& proxy, int read_timeout_s = 60)
{
    httplib::Client client(proxy.local().ip, proxy.local().port);
    client.set_read_timeout(read_timeout_s);
    return client;
}

class http_fault_test : public ::testing::Test {
protected:
    httplib::Result post(const std::string& key, int read_timeout_s = 60)
    {
        return client_of(*this->proxy, read_timeout_s)
            .Post("/pallets", {{"Idempotency-Key", key}}, "body", "text/plain");
    }

    const std::unique_ptr<standin_service> service = *standin_service::create({});
    const std::unique_ptr<fault_proxy> proxy =
        *fault_proxy::create({.server = this->service->local(), .tls = nullptr});
};

TEST_F(http_fault_test, requests_and_answers_pass_unchanged)
{
    ASSERT_TRUE(this->post("k"));
    EXPECT_EQ(this->service->runs("k"), 1);
}

TEST_F(http_fault_test, cut_before_the_request_leaves_no_run)
{
    const auto rule = this->proxy->add(
        {.at = request_pattern("POST /pallets", "key-2"), .fault = fault_kind::cut});
    EXPECT_TRUE(this->post("key-1"));
    EXPECT_FALSE(this->post("key-2"));
    EXPECT_TRUE(rule->wait_until_fired());
    EXPECT_EQ(this->service->runs("key-2"), 0);
}

TEST_F(http_fault_test, lost_answer_leaves_the_effect)
{
    this->proxy->add({.at = request_pattern("POST"), .fault = fault_kind::lose_answer});
    EXPECT_FALSE(this->post("k"));
    EXPECT_EQ(this->service->runs("k"), 1);
}

TEST_F(http_fault_test, black_hole_stays_open_until_healed)
{
    this->proxy->add({.at = request_pattern("POST"), .fault = fault_kind::black_hole});
    const auto swallowed = this->post("k", 1);
    EXPECT_EQ(swallowed.error(), httplib::Error::Read);
    const auto still_swallowed = this->post("k", 1);
    EXPECT_EQ(still_swallowed.error(), httplib::Error::Read);
    this->proxy->heal();
    EXPECT_TRUE(this->post("k"));
    EXPECT_EQ(this->service->runs("k"), 1);
}

TEST_F(http_fault_test, steady_delay_is_added_each_way)
{
    const auto slow = *fault_proxy::create({.server = this->service->local(),
                                            .tls = nullptr,
                                            .one_way_delay = absl::Milliseconds(50)});
    const absl::Time begin = absl::Now();
    ASSERT_TRUE(client_of(*slow).Get("/stock"));
    EXPECT_GE(absl::Now() - begin, absl::Milliseconds(100));
}

TEST(http_event_fault_test, stream_is_cut_before_the_nth_event)
{
    standin_engine_options options;
    options.batch.token_time = absl::Milliseconds(2);
    const auto engine = *standin_engine::create(options);
    const auto proxy = *fault_proxy::create({.server = engine->local(), .tls = nullptr});
    proxy->add({.at = event_pattern("POST /v1/completions"), .nth = 4, .fault = fault_kind::cut});
    std::string received;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = stream_body;
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        received.append(data, size);
        return true;
    };
    EXPECT_FALSE(client_of(*proxy).send(request));
    EXPECT_TRUE(absl::StrContains(received, token_text("p", 2)));
    EXPECT_FALSE(absl::StrContains(received, token_text("p", 3)));
}

// Two ends of one link with the proxy between them; the server answers each stream.
class wire_fault_test : public ::testing::Test {
protected:
    wire_fault_test()
    {
        auto server_options = this->make_options("server");
        server_options->hooks.on_stream = [this](const std::shared_ptr<wire::stream>& opened,
                                                 const wire::frame& first) {
            ++this->streams;
            static_cast<void>(opened->send(frame_type::response_head, first.payload));
            opened->finish();
        };
        this->server = *wire::link_server::create(server_options, {"127.0.0.1", 0});
        this->proxy = *fault_proxy::create({.server = this->server->local(), .tls = this->tls});
        this->dialer =
            std::make_unique<wire::link_dialer>(this->make_options("client"), this->proxy->local());
    }

    std::shared_ptr<wire::link_options> make_options(const std::string& id) const
    {
        auto options = std::make_shared<wire::link_options>();
        options->tls = this->tls;
        options->local_hello = [id] {
            wire::helloT hello;
            hello.protocol_version = wire::protocol_version;
            hello.id = id;
            return hello;
        };
        return options;
    }

    absl::Status ask(absl::string_view payload)
    {
        const auto link = this->dialer->wait_until_up(absl::Now() + generous_timeout);
        const auto opened = link->open_stream();
        SARDINE_RETURN_IF_ERROR(opened->send(frame_type::request_open, payload));
        return opened->receive(absl::Now() + generous_timeout).status();
    }

    const std::shared_ptr<wire::tls_context> tls = *wire::tls_context::create("sixteen-byte-key");
    std::atomic<int> streams{0};
    std::unique_ptr<wire::link_server> server;
    std::unique_ptr<fault_proxy> proxy;
    std::unique_ptr<wire::link_dialer> dialer;
};

TEST_F(wire_fault_test, frames_pass_unchanged)
{
    EXPECT_TRUE(this->ask("one").ok());
}

TEST_F(wire_fault_test, lost_answer_leaves_the_effect_and_the_link_comes_back)
{
    const auto rule = this->proxy->add(
        {.at = frame_pattern(frame_type::request_open, "two"), .fault = fault_kind::lose_answer});
    EXPECT_TRUE(this->ask("one").ok());
    EXPECT_FALSE(this->ask("two").ok());
    EXPECT_TRUE(rule->wait_until_fired());
    EXPECT_EQ(this->streams, 2);
    EXPECT_TRUE(wait_until([&] { return this->ask("three").ok(); }));
}

TEST_F(wire_fault_test, rule_hits_the_answer_of_the_marked_stream_alone)
{
    const auto rule = this->proxy->add(
        {.at = frame_pattern(frame_type::response_head, "two"), .fault = fault_kind::cut});
    EXPECT_TRUE(this->ask("one").ok());
    EXPECT_FALSE(rule->fired());
    EXPECT_FALSE(this->ask("two").ok());
    EXPECT_TRUE(rule->fired());
}

TEST_F(wire_fault_test, black_hole_is_found_by_heartbeats)
{
    this->proxy->add(
        {.at = frame_pattern(frame_type::request_open), .fault = fault_kind::black_hole});
    EXPECT_EQ(this->ask("one").code(), absl::StatusCode::kUnavailable);
    EXPECT_EQ(this->streams, 0);
    this->proxy->heal();
    EXPECT_TRUE(wait_until([&] { return this->ask("two").ok(); }));
}

TEST_F(wire_fault_test, hook_runs_at_the_message)
{
    int seen = -1;
    this->proxy->add({.at = frame_pattern(frame_type::request_open), .nth = 2, .hook = [&] {
                          seen = this->streams;
                      }});
    EXPECT_TRUE(this->ask("one").ok());
    EXPECT_TRUE(this->ask("two").ok());
    EXPECT_EQ(seen, 1);
}

} // namespace
} // namespace sardinestream::testing
