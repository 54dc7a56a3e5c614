#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "sardinestream/catalogue/catalogue_test_entries.h"
#include "sardinestream/catalogue/entry_validation.h"

namespace sardinestream::catalogue {
namespace {

using nlohmann::json;

json valid()
{
    return json::parse(make_entry("key"));
}

entry_refusal refusal_of(const json& spec)
{
    const entry_verdict verdict = validate_entry("e", spec.dump());
    return std::holds_alternative<entry_refusal>(verdict) ? std::get<entry_refusal>(verdict)
                                                          : entry_refusal{};
}

TEST(entry_validation_test, a_valid_entry_is_accepted_with_its_defaults)
{
    const entry_verdict verdict = validate_entry("e", make_entry("key", 9));
    ASSERT_TRUE(std::holds_alternative<catalogue_entry>(verdict));
    const auto& entry = std::get<catalogue_entry>(verdict);
    EXPECT_EQ(entry.owner, "mehulaakso");
    EXPECT_EQ(entry.work, work_class::model);
    EXPECT_EQ(entry.priority, priority_class::interactive);
    EXPECT_EQ(entry.limits.max_in_flight, 9U);
    EXPECT_EQ(entry.limits.max_tokens, 4096U);
}

TEST(entry_validation_test, what_is_no_object_is_refused)
{
    EXPECT_EQ(refusal_of(json::array()).code, entry_code::not_an_object);
}

TEST(entry_validation_test, an_unknown_field_is_named_with_those_that_are_known)
{
    json spec = valid();
    spec["limits"]["max_inflight"] = 3;
    const entry_refusal refusal = refusal_of(spec);
    EXPECT_EQ(refusal.code, entry_code::unknown_field);
    EXPECT_EQ(refusal.field, "limits.max_inflight");
    EXPECT_EQ(refusal.allowed,
              "max_in_flight|requests_per_s|max_body_bytes|max_tokens|max_deadline_ms");
}

TEST(entry_validation_test, a_field_of_a_newer_release_is_ignored_once_accepted)
{
    json spec = valid();
    spec["colour"] = "red";
    EXPECT_TRUE(std::holds_alternative<catalogue_entry>(
        validate_entry("e", spec.dump(), unknown_fields::ignore)));
}

TEST(entry_validation_test, a_missing_field_is_named)
{
    json spec = valid();
    spec.erase("repeat");
    EXPECT_EQ(refusal_of(spec), (entry_refusal{entry_code::missing_field, "repeat", "", ""}));
}

TEST(entry_validation_test, a_choice_outside_its_set_is_refused_with_the_set)
{
    json spec = valid();
    spec["work_class"] = "modell";
    EXPECT_EQ(refusal_of(spec),
              (entry_refusal{entry_code::not_in_set, "work_class", "model|plain", ""}));
}

TEST(entry_validation_test, a_wrong_type_is_refused_with_the_right_one)
{
    json spec = valid();
    spec["owner"] = 7;
    EXPECT_EQ(refusal_of(spec), (entry_refusal{entry_code::wrong_type, "owner", "string", ""}));
    spec = valid();
    spec["limits"]["max_tokens"] = 1.5;
    EXPECT_EQ(refusal_of(spec),
              (entry_refusal{entry_code::wrong_type, "limits.max_tokens", "integer", ""}));
}

TEST(entry_validation_test, a_bad_key_digest_is_refused_by_its_position)
{
    json spec = valid();
    spec["key_digests"].push_back("not a digest");
    EXPECT_EQ(refusal_of(spec),
              (entry_refusal{entry_code::bad_format, "key_digests[1]", "[0-9a-f]{64}", ""}));
    spec["key_digests"][1] = spec["key_digests"][0];
    EXPECT_EQ(refusal_of(spec).code, entry_code::duplicate_key);
}

TEST(entry_validation_test, an_entry_that_is_too_large_is_refused)
{
    json spec = valid();
    spec["owner"] = std::string(max_entry_bytes, 'x');
    EXPECT_EQ(refusal_of(spec).code, entry_code::too_large);
}

TEST(entry_validation_test, limits_are_accepted_in_their_range_and_refused_outside)
{
    const bool held = rc::check("a limit is accepted exactly in its range", [] {
        const std::map<std::string, std::int64_t> maxima = {{"max_in_flight", 100000},
                                                            {"requests_per_s", 1000000},
                                                            {"max_body_bytes", 8 << 20},
                                                            {"max_tokens", 1000000},
                                                            {"max_deadline_ms", 3600000}};
        const auto [name, maximum] = *rc::gen::elementOf(maxima);
        const auto value = *rc::gen::oneOf(rc::gen::arbitrary<std::int64_t>(),
                                           rc::gen::inRange<std::int64_t>(-2, 3),
                                           rc::gen::inRange<std::int64_t>(maximum - 1, maximum + 3),
                                           rc::gen::inRange<std::int64_t>(1, maximum));
        json spec = valid();
        spec["limits"][name] = value;
        const entry_refusal refusal = refusal_of(spec);
        const bool in_range = value >= 1 && value <= maximum;
        RC_ASSERT((refusal.code == entry_code::none) == in_range);
        if (!in_range) {
            RC_ASSERT(refusal.code == entry_code::out_of_range);
            RC_ASSERT(refusal.field == "limits." + name);
            RC_ASSERT(refusal.allowed == "1.." + std::to_string(maximum));
        }
    });
    EXPECT_TRUE(held);
}

TEST(entry_validation_test, an_engine_target_is_read)
{
    json spec = valid();
    spec["engine"] = {{"version", "v2"}, {"adapters", {"labels"}}, {"role", "decode"}};
    const entry_verdict verdict = validate_entry("e", spec.dump());
    const auto& entry = std::get<catalogue_entry>(verdict);
    EXPECT_EQ(entry.engine, (engine_target{"v2", {"labels"}, "decode"}));
}

TEST(entry_validation_test, an_engine_target_names_what_is_wrong_in_it)
{
    json spec = valid();
    spec["engine"] = {{"version", "v2"}, {"role", "idle"}};
    EXPECT_EQ(refusal_of(spec).field, "engine.role");
    EXPECT_EQ(refusal_of(spec).allowed, "mixed|prefill|decode");
    spec["engine"] = {{"role", "mixed"}};
    EXPECT_EQ(refusal_of(spec).code, entry_code::missing_field);
    EXPECT_EQ(refusal_of(spec).field, "engine.version");
}

TEST(entry_validation_test, a_plain_service_has_no_engine_target)
{
    json spec = valid();
    spec["work_class"] = "plain";
    spec["engine"] = {{"version", "v2"}};
    EXPECT_EQ(refusal_of(spec).field, "work_class");
}

TEST(entry_validation_test, any_bytes_get_a_verdict)
{
    const bool held = rc::check("no input is accepted by chance or crashes", [] {
        const auto noise = *rc::gen::arbitrary<std::string>();
        std::string text = make_entry("key");
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(at, *rc::gen::inRange<std::size_t>(0, 8), noise);
        const entry_verdict verdict = validate_entry("e", text);
        if (const auto* entry = std::get_if<catalogue_entry>(&verdict)) {
            RC_ASSERT(entry->key_digests.size() == 1U);
            RC_ASSERT(entry->key_digests[0].size() == 64U);
        }
    });
    EXPECT_TRUE(held);
}

} // namespace
} // namespace sardinestream::catalogue
