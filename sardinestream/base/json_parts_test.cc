#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sardinestream/base/json_parts.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

TEST(json_parts, splits_an_object_into_raw_members)
{
    const auto members = split_json_object(R"( {"a": [1, {"b":"}"}], "c":"x\",y" ,"d":1e999} )");
    ASSERT_TRUE(members.ok()) << members.status();
    ASSERT_EQ(members->size(), 3U);
    EXPECT_EQ(find_member(*members, "a"), R"([1, {"b":"}"}])");
    EXPECT_EQ(find_member(*members, "c"), R"("x\",y")");
    EXPECT_EQ(find_member(*members, "d"), "1e999");
    EXPECT_EQ(find_member(*members, "e"), "");
}

TEST(json_parts, splits_an_array_into_raw_elements)
{
    const auto elements = split_json_array(R"([{"a":[]}, "]", 3 ,null])");
    ASSERT_TRUE(elements.ok()) << elements.status();
    EXPECT_EQ(*elements, (std::vector<absl::string_view>{R"({"a":[]})", R"("]")", "3", "null"}));
    EXPECT_TRUE(split_json_array("[]")->empty());
}

TEST(json_parts, a_value_nested_a_million_times_is_one_part)
{
    constexpr std::size_t depth = 1000000;
    const std::string deep = absl::StrCat(std::string(depth, '['), std::string(depth, ']'));
    const std::string text = absl::StrCat("[1,", deep, ",2]");
    const auto elements = split_json_array(text);
    ASSERT_TRUE(elements.ok());
    ASSERT_EQ(elements->size(), 3U);
    EXPECT_EQ((*elements)[2], "2");
    EXPECT_EQ(json_depth(deep), static_cast<int>(depth));
}

TEST(json_parts, refuses_what_has_no_structure)
{
    for (const char* const bad : {"", "x", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{a:1}",
                                  "{\"a\":1}{", "{\"a\":1 \"b\":2}", "[1]"}) {
        EXPECT_FALSE(split_json_object(bad).ok()) << bad;
    }
    for (const char* const bad : {"", "[", "[1", "[1,]", "[1 2]", "[1]2", "{}", "[\""}) {
        EXPECT_FALSE(split_json_array(bad).ok()) << bad;
    }
}

// Guards against text of a few megabytes whose parts take many times as much.
TEST(json_parts, refuses_more_parts_than_any_sound_text_has)
{
    std::string elements = "1";
    for (std::size_t i = 1; i < max_json_parts; ++i) {
        elements += ",1";
    }
    EXPECT_TRUE(split_json_array("[" + elements + "]").ok());
    EXPECT_FALSE(split_json_array("[" + elements + ",1]").ok());
}

// Returns about how many bytes `value` takes.
std::size_t parsed_size(const nlohmann::json& value)
{
    constexpr std::size_t map_node_bytes = 96;
    std::size_t size = sizeof(value);
    if (value.is_string()) {
        return size + sizeof(std::string) + value.get_ref<const std::string&>().capacity();
    }
    if (!value.is_structured()) {
        return size;
    }
    for (const auto& [name, member] : value.items()) {
        size += parsed_size(member);
        size += value.is_object() ? map_node_bytes + name.size() : sizeof(value);
    }
    return size + sizeof(nlohmann::json::object_t);
}

// Guards against text whose parsed form takes many times its length.
TEST(json_parts, the_estimate_is_above_what_parsed_text_takes)
{
    for (const std::string element :
         {"0", "[]", "{}", "[[[]]]", R"({"a":0})", R"("text")", R"({"a":{"b":{}},"c":[0,0]})"}) {
        std::string text = "[" + element;
        for (int i = 0; i < 1000; ++i) {
            text += "," + element;
        }
        text += "]";
        EXPECT_GE(parsed_json_bytes(text), parsed_size(nlohmann::json::parse(text))) << element;
    }
}

TEST(json_parts, counts_no_brackets_in_strings_as_depth)
{
    EXPECT_EQ(json_depth(R"({"a":"[[[[","b":[{}]})"), 3);
    EXPECT_EQ(json_depth("7"), 0);
}

} // namespace
} // namespace sardinestream
