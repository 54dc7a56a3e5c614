#include <gtest/gtest.h>

#include "sardinestream/platform/desired_state_decoder.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

constexpr char document[] = R"({"version":7,
  "routes":[
    {"name":"r1","host":"a.example","path-prefix":"/x/","kind":"streaming","timeout-ms":8000,
     "target-latency-ms":400,"priority":1,
     "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
     "attempts":2,"public":false,"stream-resumption":true,"target-gap-ms":120},
    {"name":"r2","host":"a.example","path-prefix":"/y/","kind":"non_idempotent",
     "service":"s2","attempts":1,"public":true}],
  "services":[
    {"name":"s1","health-path":"/health","connection-limit":408,"cold-start-s":3.0,"cold-per-s":26,
     "engine":{"slots":12,"stride":6,"step_ms":4.84,"read_per_s":74800.0,"sets":6,"experts":64,
               "placements":11,"spare":4,"expert-mb":1700.0,"expert-share":0.85,
               "link-mbps":92000.0}},
    {"name":"s2","health-path":"/health","connection-limit":96}],
  "limits":{"max-header-bytes":16384,"idle-timeout-ms":15000},
  "tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":0}],
  "something-new":{}})";

TEST(decode_desired_state, reads_routes_services_limits_and_teams)
{
    const auto state = decode_desired_state(document);
    ASSERT_TRUE(state.ok()) << state.status();
    EXPECT_EQ((*state)->version, 7);
    const route* const stream = (*state)->find_route("a.example", "/x/1");
    ASSERT_NE(stream, nullptr);
    EXPECT_EQ(stream->kind, request_kind::streaming);
    EXPECT_TRUE(stream->may_run_again());
    EXPECT_EQ(stream->services.size(), 2U);
    EXPECT_EQ(stream->pause_target, std::chrono::milliseconds(120));
    const route* const payment = (*state)->find_route("a.example", "/y/1");
    EXPECT_FALSE(payment->may_run_again());
    EXPECT_TRUE(payment->is_public);
    EXPECT_EQ((*state)->find_team("k2")->name, "t1");
    EXPECT_EQ((*state)->limits.header_bytes, 16384U);
    const engine_model& engine = (*state)->services.at("s1").engine;
    EXPECT_EQ(engine.layer_sets, 6);
    EXPECT_EQ(engine.steps_per_pass, 6);
    EXPECT_TRUE(engine.has_speed());
    EXPECT_EQ((*state)->services.at("s1").cold_rate, 26);
    EXPECT_EQ((*state)->services.at("s1").cold_period, std::chrono::milliseconds(3000));
    EXPECT_EQ((*state)->services.at("s2").cold_rate, 0);
    EXPECT_NEAR(engine.copy_ms(), 147.8, 0.1);
    EXPECT_FALSE((*state)->services.at("s2").has_engine);
}

TEST(decode_desired_state, treats_an_unknown_kind_as_one_that_runs_once)
{
    std::string text = document;
    text.replace(text.find("streaming"), 9, "whatever!");
    EXPECT_EQ((*decode_desired_state(text))->routes[0].kind, request_kind::non_idempotent);
}

TEST(decode_desired_state, refuses_malformed_documents)
{
    EXPECT_TRUE(absl::IsInvalidArgument(decode_desired_state("{").status()));
    EXPECT_TRUE(absl::IsInvalidArgument(decode_desired_state("{\"version\":1}").status()));
}

TEST(decode_server_entry, refuses_an_entry_nested_too_deeply)
{
    for (const std::size_t depth : {100U, 500000U}) {
        const std::string text =
            R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","slots":12,"state":"ready","x":)" +
            std::string(depth, '[') + std::string(depth, ']') + "}";
        EXPECT_TRUE(absl::IsInvalidArgument(decode_server_entry("i-1", text).status()));
    }
}

constexpr char entry[] =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","slots":12,"state":"ready",)"
    R"("cold-remaining-ms":5,"sequence":4,"born":123})";

TEST(decode_server_entry, reads_an_entry)
{
    const absl::StatusOr<server_entry> decoded = decode_server_entry("i-1", entry);
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->sequence, 4);
    const backend_server* const server = &decoded->server;
    EXPECT_EQ(server->id, "i-1");
    EXPECT_EQ(server->endpoint.port, 8080);
    EXPECT_EQ(server->slots, 12);
    EXPECT_EQ(server->born_ms, 123);
    EXPECT_FALSE(server->draining);
    EXPECT_EQ(decoded->cold_remaining, std::chrono::milliseconds(5));
    EXPECT_FALSE(decoded->has_odd_cold_time);
}

// Guards against a name that adds headers to the requests of callers, or makes servers refuse them.
TEST(decode_server_entry, a_name_that_no_header_can_carry_names_no_server)
{
    const std::string entry = R"({"service": "orders", "address": "10.0.0.1:8000", "zone": "a",
        "slots": 4, "state": "ready", "sequence": 7})";
    for (const std::string name : {"a\r\nX-Added: 1", "a\nb", "a\x1f", " a", "a\t", "a\x7f"}) {
        EXPECT_TRUE(absl::IsInvalidArgument(decode_server_entry(name, entry).status())) << name;
    }
    for (const std::string name : {"a b", "a&b", "a+b", "a#b", "a%b", "caf\xc3\xa9"}) {
        EXPECT_TRUE(decode_server_entry(name, entry).ok()) << name;
    }
}

TEST(decode_server_entry, an_odd_cold_time_leaves_the_entry_usable)
{
    const std::pair<const char*, std::int64_t> cases[] = {
        {"0", 0},          {"-5", 0},        {"86400000", 600000}, {"\"long\"", 0}, {"[]", 0},
        {"1e300", 600000}, {"2500.2", 2501}, {"null", 0},          {"true", 0}};
    for (const auto& [text, expected_ms] : cases) {
        const absl::StatusOr<server_entry> decoded = decode_server_entry(
            "i-1",
            absl::StrCat(R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","slots":12,)",
                         R"("state":"ready","cold-remaining-ms":)", text, "}"));
        ASSERT_TRUE(decoded.ok()) << text;
        EXPECT_EQ(decoded->cold_remaining.count(), expected_ms) << text;
    }
}

TEST(decode_server_entry, refuses_entries_of_another_writer)
{
    for (
        const char* const bad :
        {"{}", "nonsense", "[]", "null", R"({"service":"s1"})",
         R"({"service":"s1","address":"host:1","zone":"a","slots":1,"state":"ready"})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":"1","state":"ready"})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":0,"state":"ready"})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":1,"state":"odd"})",
         R"({"service":"s1","address":"10.0.0.1:70000","zone":"a","slots":1,"state":"ready"})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":1e999,"state":"ready"})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":1e300,"state":"ready"})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":4294967297,"state":"ready"})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":1,"state":"ready","born":1e19})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":1,"state":"ready","born":1.5})",
         R"({"service":"s1","address":"10.0.0.1:1","zone":"a","slots":1,"state":"ready","sequence":99999999999999999999})"}) {
        EXPECT_TRUE(absl::IsInvalidArgument(decode_server_entry("i-1", bad).status())) << bad;
    }
}

} // namespace
} // namespace sardinestream::platform
