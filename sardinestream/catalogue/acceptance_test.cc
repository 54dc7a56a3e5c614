#include <gtest/gtest.h>

#include "sardinestream/catalogue/acceptance.h"
#include "sardinestream/catalogue/catalogue_test_entries.h"

namespace sardinestream::catalogue {
namespace {

// A catalogue and the entries that operators wrote.
class acceptance_test : public ::testing::Test {
protected:
    void write(const std::string& name, const std::string& spec)
    {
        platform::object& object = this->view.objects[name];
        object.name = name;
        object.spec = spec;
        object.version = ++this->view.version;
        ++object.generation;
    }

    // Plans on the current view and puts the plan in force.
    acceptance_plan decide()
    {
        const std::uint64_t number = this->image.number() + 1;
        acceptance_plan plan = plan_acceptance(this->image, this->view, number, absl::Now());
        catalogue_index index = this->image.index();
        catalogue_image::shard_array shards = this->image.shards();
        index.number = number;
        for (const auto& [id, records] : plan.changed) {
            shards[id] = make_shard(id, number, "s", records);
            index.shards[id] = {number, "s"};
        }
        this->image = catalogue_image(index, shards);
        return plan;
    }

    int in_force(const std::string& name) const
    {
        const entry_record* record = this->image.find(name);
        return record == nullptr || !record->entry.has_value()
                   ? 0
                   : static_cast<int>(record->entry->limits.max_in_flight);
    }

    entry_view view;
    catalogue_image image;
};

TEST_F(acceptance_test, a_refused_version_leaves_the_accepted_one_in_force)
{
    this->write("a", make_entry("k", 5));
    this->decide();
    this->write("a", "{}");
    EXPECT_EQ(this->decide().refused, 1);
    EXPECT_EQ(this->in_force("a"), 5);
    const entry_record* record = this->image.find("a");
    EXPECT_EQ(record->accepted.generation, 1U);
    EXPECT_EQ(record->refused.generation, 2U);
    EXPECT_EQ(record->refusal.code, entry_code::missing_field);
}

TEST_F(acceptance_test, the_same_entries_need_no_second_decision)
{
    this->write("a", make_entry("k", 5));
    this->write("b", "{}");
    this->write("c", make_entry("k", 6));
    this->decide();
    EXPECT_TRUE(this->decide().changed.empty());
}

TEST_F(acceptance_test, of_two_entries_with_one_key_the_earlier_edit_wins)
{
    this->write("b", make_entry("k", 1));
    this->write("a", make_entry("k", 2));
    this->decide();
    EXPECT_EQ(this->in_force("b"), 1);
    EXPECT_EQ(this->in_force("a"), 0);
    EXPECT_EQ(this->image.find("a")->refusal.code, entry_code::duplicate_key);
    EXPECT_EQ(this->image.find("a")->refusal.other, "b");
}

TEST_F(acceptance_test, of_two_entries_that_steer_one_service_the_earlier_edit_wins)
{
    const std::string engine = R"("engine":{"version":"v1"},"owner")";
    std::string first = make_entry("key-1");
    std::string second = make_entry("key-2");
    first.replace(first.find("\"owner\""), 7, engine);
    second.replace(second.find("\"owner\""), 7, engine);
    this->write("a", first);
    this->write("b", second);
    this->decide();
    EXPECT_TRUE(this->image.find("a")->entry.has_value());
    EXPECT_EQ(this->image.find("b")->refusal.code, entry_code::duplicate_key);
    EXPECT_EQ(this->image.find("b")->refusal.field, "engine");
}

TEST_F(acceptance_test, a_clash_is_examined_again_once_it_is_gone)
{
    this->write("b", make_entry("k", 1));
    this->write("a", make_entry("k", 2));
    this->decide();
    this->view.objects.erase("b");
    EXPECT_EQ(this->decide().removed, 1);
    EXPECT_EQ(this->in_force("a"), 2);
    EXPECT_EQ(this->image.find("b"), nullptr);
}

TEST_F(acceptance_test, a_key_moves_between_entries_in_one_round)
{
    this->write("a", make_entry("k", 1));
    this->decide();
    this->write("b", make_entry("k", 2));
    this->write("a", make_entry("other", 3));
    this->decide();
    EXPECT_EQ(this->in_force("a"), 3);
    EXPECT_EQ(this->in_force("b"), 2);
}

TEST_F(acceptance_test, an_entry_made_anew_is_examined_though_its_generation_is_the_same)
{
    this->write("a", make_entry("k", 1));
    this->decide();
    this->view.objects["a"].spec = make_entry("k", 2);
    this->decide();
    EXPECT_EQ(this->in_force("a"), 2);
}

TEST_F(acceptance_test, shards_survive_the_round_trip)
{
    this->write("a", make_entry("k", 7));
    this->write("b", "[]");
    this->decide();
    for (const shard_pointer& part : this->image.shards_after(0)) {
        const shard_pointer parsed = parse_shard(part->object_name, part->content).value();
        EXPECT_EQ(make_shard(parsed->id, parsed->number, "s", parsed->records)->content,
                  part->content);
    }
    const catalogue_index parsed = parse_index(format_index(this->image.index())).value();
    EXPECT_EQ(parsed.shards, this->image.index().shards);
}

TEST_F(acceptance_test, a_status_names_code_field_and_range)
{
    std::string spec = make_entry("k", 0);
    this->write("a", spec);
    this->decide();
    const std::string status = format_entry_status(*this->image.find("a"));
    EXPECT_NE(status.find(R"("allowed":"1..100000")"), std::string::npos) << status;
    EXPECT_NE(status.find(R"("code":"out_of_range")"), std::string::npos) << status;
    EXPECT_NE(status.find(R"("field":"limits.max_in_flight")"), std::string::npos) << status;
}

} // namespace
} // namespace sardinestream::catalogue
