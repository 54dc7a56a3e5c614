#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sardinestream/testing/engine_tokens.h"
#include "sardinestream/testing/standin_engine.h"
#include "sardinestream/testing/standin_service.h"

#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using ::testing::ElementsAre;

std::unique_ptr<standin_engine> start_engine(bool check_fencing = true)
{
    standin_engine_options options;
    options.batch.token_time = absl::Milliseconds(1);
    options.check_fencing = check_fencing;
    return *standin_engine::create(options);
}

// Returns the token indices of a stream's events, in the order of arrival.
std::vector<int> token_indices(absl::string_view events)
{
    std::vector<int> indices;
    for (absl::string_view line : absl::StrSplit(events, '\n', absl::SkipEmpty())) {
        if (!absl::ConsumePrefix(&line, "data: ") || line == "[DONE]") {
            continue;
        }
        indices.push_back(json::parse(line).at("token_index"));
    }
    return indices;
}

json ledger_of(httplib::Client& client)
{
    return json::parse(client.Get("/admin/ledger")->body);
}

TEST(standin_engine_test, stream_carries_every_token_in_order_and_an_end)
{
    const auto engine = start_engine();
    httplib::Client client(engine->local().ip, engine->local().port);
    const json body{{"prompt", "p"}, {"max_tokens", 3}, {"stream", true}, {"request_id", "r"}};
    const auto result = client.Post("/v1/completions", body.dump(), "application/json");
    ASSERT_TRUE(result);
    EXPECT_THAT(token_indices(result->body), ElementsAre(0, 1, 2));
    EXPECT_TRUE(result->body.ends_with("data: [DONE]\n\n"));
}

TEST(standin_engine_test, whole_answer_is_the_expected_text)
{
    const auto engine = start_engine();
    httplib::Client client(engine->local().ip, engine->local().port);
    const json body{{"messages", {{{"role", "user"}, {"content", "p"}}}}, {"max_tokens", 3}};
    const auto result = client.Post("/v1/chat/completions", body.dump(), "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(json::parse(result->body)["choices"][0]["message"]["content"],
              expected_text("user: p\n", 0, 3));
}

TEST(standin_engine_test, resumption_goes_on_at_the_index)
{
    const auto engine = start_engine();
    httplib::Client client(engine->local().ip, engine->local().port);
    const json body{{"prompt", "p"},    {"max_tokens", 5},
                    {"stream", true},   {"resume_text", expected_text("p", 0, 3)},
                    {"resume_from", 3}, {"request_id", "r"}};
    const auto result = client.Post("/v1/completions", body.dump(), "application/json");
    ASSERT_TRUE(result);
    EXPECT_THAT(token_indices(result->body), ElementsAre(3, 4));
    EXPECT_TRUE(ledger_of(client)["attempts"][0]["resume_text_right"]);
}

TEST(standin_engine_test, event_faults_duplicate_and_swap)
{
    const auto engine = start_engine();
    httplib::Client client(engine->local().ip, engine->local().port);
    client.Post("/admin/events", R"({"duplicate_every":4,"swap_every":2})", "application/json");
    const json body{{"prompt", "p"}, {"max_tokens", 5}, {"stream", true}};
    const auto result = client.Post("/v1/completions", body.dump(), "application/json");
    ASSERT_TRUE(result);
    EXPECT_THAT(token_indices(result->body), ElementsAre(0, 2, 1, 4, 3));
}

TEST(standin_engine_test, caller_that_leaves_cancels_the_work)
{
    const auto engine = start_engine();
    httplib::Client client(engine->local().ip, engine->local().port);
    const json body{{"prompt", "p"}, {"max_tokens", 1000000}, {"stream", true}};
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body.dump();
    request.content_receiver = [](const char*, std::size_t, std::uint64_t, std::uint64_t) {
        return false;
    };
    EXPECT_FALSE(client.send(request));
    client.stop();
    httplib::Client reader(engine->local().ip, engine->local().port);
    while (ledger_of(reader)["attempts"][0]["state"] != "cancelled") {
        std::this_thread::yield();
    }
}

TEST(standin_engine_test, old_fencing_number_is_refused_only_where_it_is_checked)
{
    for (const bool check : {true, false}) {
        const auto engine = start_engine(check);
        httplib::Client client(engine->local().ip, engine->local().port);
        client.Post("/orders/set_role", R"({"fencing":5})", "application/json");
        const auto old = client.Post("/orders/set_role", R"({"fencing":4})", "application/json");
        ASSERT_TRUE(old);
        EXPECT_EQ(old->status, check ? 409 : 200);
    }
}

TEST(standin_service_test, runs_are_counted_by_key)
{
    const auto service = *standin_service::create({});
    httplib::Client client(service->local().ip, service->local().port);
    for (int i = 0; i < 2; ++i) {
        ASSERT_TRUE(client.Post("/pallets", {{"Idempotency-Key", "k"}}, "body", "text/plain"));
    }
    EXPECT_EQ(service->runs("k"), 2);
    EXPECT_EQ(ledger_of(client)["runs"]["k"], 2);
}

TEST(standin_service_test, connection_can_close_after_the_effect)
{
    const auto service = *standin_service::create({});
    httplib::Client client(service->local().ip, service->local().port);
    client.Post("/admin/faults", R"({"close_after":1})", "application/json");
    EXPECT_FALSE(client.Post("/pallets", {{"Idempotency-Key", "k"}}, "body", "text/plain"));
    EXPECT_EQ(service->runs("k"), 1);
}

} // namespace
} // namespace sardinestream::testing
