#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/catalogue/acceptance.h"
#include "sardinestream/catalogue/catalogue_test_entries.h"
#include "sardinestream/catalogue/status_page.h"

namespace sardinestream::catalogue {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

class status_page_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        platform::object accepted;
        accepted.name = "till";
        accepted.spec = make_entry("key", 3);
        accepted.generation = 2;
        platform::object refused;
        refused.name = "<b>";
        refused.spec = R"({"owner":7})";
        refused.generation = 5;
        entry_view view;
        view.objects = {{accepted.name, accepted}, {refused.name, refused}};
        const acceptance_plan plan =
            plan_acceptance(catalogue_image(), view, 1, absl::FromUnixMillis(0));
        catalogue_index index;
        index.number = 1;
        std::vector<shard_pointer> shards;
        for (const auto& [id, records] : plan.changed) {
            shards.push_back(make_shard(id, 1, "s", records));
            index.shards[id] = {1, "s"};
        }
        ASSERT_TRUE(this->state.apply_changes(index, shards).ok());
    }

    catalogue_state state;
};

TEST_F(status_page_test, json_shows_what_is_in_force_and_why)
{
    const std::string shown = status_json(this->state, true);
    EXPECT_THAT(shown, HasSubstr(R"("number":1)"));
    EXPECT_THAT(shown, HasSubstr(R"("in_force":{"generation":2,"number":1,"time":"1970-)"));
    EXPECT_THAT(shown, HasSubstr(R"("code":"wrong_type","field":"owner","allowed":"string")"));
    EXPECT_THAT(shown, Not(HasSubstr(sha256_hex("key"))));
}

TEST_F(status_page_test, a_filter_chooses_entries)
{
    EXPECT_THAT(status_json(this->state, true, {.owner = "mehulaakso", .entry = ""}),
                Not(HasSubstr("wrong_type")));
    EXPECT_THAT(status_json(this->state, true, {.owner = "", .entry = "till"}),
                HasSubstr(R"("max_in_flight":3)"));
}

TEST_F(status_page_test, the_page_escapes_what_operators_wrote)
{
    const std::string page = status_html(this->state, false);
    EXPECT_THAT(page, HasSubstr("<td>&lt;b&gt;</td>"));
    EXPECT_THAT(page, HasSubstr("✗"));
    EXPECT_THAT(page, Not(HasSubstr("<b>")));
}

} // namespace
} // namespace sardinestream::catalogue
