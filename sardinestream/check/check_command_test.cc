// Tests the outcome of the tool: exit status and text, for readable and unreadable input.

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sardinestream/check/check_command.h"
#include "sardinestream/platform/desired_state_decoder.h"

namespace sardinestream::check {
namespace {

using testing::HasSubstr;

constexpr char sound[] = R"({"version":7,
  "routes":[{"name":"r1","host":"a.example","path-prefix":"/x/","kind":"idempotent","service":"s1",
             "public":true}],
  "services":[{"name":"s1"}]})";
constexpr char faulty[] = R"({"version":8,
  "routes":[{"name":"r1","host":"a.example","path-prefix":"/x/","kind":"idempotent","service":"s2",
             "public":true}],
  "services":[{"name":"s1"}],
  "tenants":[{"name":"t1","api-keys":["secret"]},{"name":"t2","api-keys":["secret"]}]})";

check_outcome outcome_for(const std::string& config, std::optional<std::string> in_force,
                          bool as_json = false)
{
    check_command command;
    command.config = config;
    command.in_force = std::move(in_force);
    command.as_json = as_json;
    return run_check(command, platform::decode_desired_state);
}

TEST(run_check, a_sound_configuration_ends_with_zero_and_no_text)
{
    const check_outcome outcome = outcome_for(sound, std::nullopt);
    EXPECT_EQ(outcome.exit_status, exit_clean);
    EXPECT_EQ(outcome.text, "");
}

TEST(run_check, findings_end_with_one_and_show_no_key)
{
    const check_outcome outcome = outcome_for(faulty, sound);
    EXPECT_EQ(outcome.exit_status, exit_findings);
    EXPECT_THAT(outcome.text, HasSubstr("kind=error place=\"routes[r1].service\" "
                                        "code=unknown_service value=\"s2\""));
    EXPECT_THAT(outcome.text, HasSubstr("code=key_of_another_team"));
    EXPECT_THAT(outcome.text, HasSubstr("kind=difference place=\"routes[r1].services\""));
    EXPECT_THAT(outcome.text, testing::Not(HasSubstr("secret")));
}

TEST(run_check, differences_alone_are_no_fault)
{
    std::string newer = sound;
    newer.replace(newer.find('7'), 1, "9");
    newer.replace(newer.find("/x/"), 3, "/y/");
    const check_outcome outcome = outcome_for(newer, sound);
    EXPECT_EQ(outcome.exit_status, exit_clean);
    EXPECT_THAT(outcome.text, HasSubstr("value=\"/x/ -> /y/\""));
}

TEST(run_check, writes_json)
{
    const nlohmann::json list = nlohmann::json::parse(outcome_for(faulty, sound, true).text);
    EXPECT_EQ(list.at(0).at("code"), "unknown_service");
}

TEST(run_check, unreadable_input_ends_with_two)
{
    for (const char* const text : {"", "{", "[]", R"({"version":"a"})", "\xff\xfe"}) {
        EXPECT_EQ(outcome_for(text, std::nullopt).exit_status, exit_unreadable) << text;
        EXPECT_EQ(outcome_for(sound, text).exit_status, exit_unreadable) << text;
        EXPECT_EQ(run_catalogue_check(text, false).exit_status,
                  std::string(text) == "[]" ? exit_clean : exit_unreadable);
    }
}

TEST(run_catalogue_check, names_field_and_allowed_values)
{
    const check_outcome outcome =
        run_catalogue_check(R"([{"name":"till","spec":{"owner":"till"}}, 3])", false);
    EXPECT_EQ(outcome.exit_status, exit_findings);
    EXPECT_THAT(outcome.text, HasSubstr("place=\"entries[till].service\" code=missing_field"));
    EXPECT_THAT(outcome.text, HasSubstr("code=not_an_entry"));
}

TEST(fetch_in_force, names_the_address_that_does_not_answer)
{
    const absl::StatusOr<std::string> fetched = fetch_in_force({"127.0.0.1", 1});
    ASSERT_FALSE(fetched.ok());
    EXPECT_THAT(describe(fetched.status()), HasSubstr("127.0.0.1:1"));
}

} // namespace
} // namespace sardinestream::check
