// Tests which evacuations are in force after news from the store and from other entries.

#include <gtest/gtest.h>

#include "sardinestream/backends/evacuation_list.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using names = std::set<std::string>;
using std::chrono::milliseconds;

class evacuation_list_test : public testing::Test {
protected:
    bool list(const std::vector<std::string>& data_centres, const store_position& position,
              bool restored = false)
    {
        return this->known.apply(evacuation_snapshot{data_centres, position, restored}, this->now);
    }

    bool change(const evacuation_change& one, std::int64_t era = 1)
    {
        return this->known.apply(evacuation_changes{{one}, {one.revision, era}}, this->now);
    }

    const steady_time now = steady_time(std::chrono::hours(1));
    evacuation_list known;
};

TEST_F(evacuation_list_test, follows_the_store)
{
    EXPECT_FALSE(this->list({}, {5, 1}));
    EXPECT_TRUE(this->change({"a", 6}));
    EXPECT_EQ(this->known.in_force(), names{"a"});
    EXPECT_TRUE(this->change({"a", 7, true}));
    EXPECT_TRUE(this->known.in_force().empty());
    EXPECT_EQ(this->known.position(), (store_position{7, 1}));
}

TEST_F(evacuation_list_test, a_complete_list_ends_what_it_lacks)
{
    this->list({"a", "b"}, {5, 1});
    EXPECT_TRUE(this->list({"b", "b"}, {9, 1}));
    EXPECT_EQ(this->known.in_force(), names{"b"});
}

TEST_F(evacuation_list_test, an_older_fact_changes_nothing)
{
    this->list({"a"}, {9, 1});
    EXPECT_FALSE(this->list({}, {8, 1}));
    EXPECT_FALSE(this->change({"a", 8, true}));
    EXPECT_FALSE(this->known.merge({{}, {}, {8, 1}, {8, 1}}, this->now, "peer"));
    EXPECT_EQ(this->known.in_force(), names{"a"});
    // A watch that began before the copy of a peer.
    EXPECT_FALSE(
        this->known.apply(evacuation_changes{{{"a", 8, true}, {"b", 7}}, {10, 1}}, this->now));
    EXPECT_EQ(this->known.in_force(), names{"a"});
}

TEST_F(evacuation_list_test, takes_the_newer_copy_of_a_peer)
{
    evacuation_list peer;
    peer.apply(evacuation_snapshot{{"a", "b"}, {12, 1}}, this->now);
    EXPECT_TRUE(this->known.merge(peer.shared(this->now), this->now, "peer"));
    EXPECT_EQ(this->known.in_force(), (names{"a", "b"}));
    peer.apply(evacuation_changes{{{"a", 13, true}}, {13, 1}}, this->now);
    EXPECT_TRUE(this->known.merge(peer.shared(this->now), this->now, "peer"));
    EXPECT_EQ(this->known.in_force(), names{"b"});
    EXPECT_EQ(this->known.list()[0].source, "peer");
}

// Entries would otherwise fetch from each other after each watch.
TEST_F(evacuation_list_test, an_answer_without_changes_is_nothing_to_tell)
{
    this->list({"a"}, {5, 1});
    this->known.apply(evacuation_changes{{}, {9, 1}}, this->now);
    this->list({"a"}, {12, 1});
    EXPECT_EQ(this->known.position(), (store_position{12, 1}));
    EXPECT_EQ(this->known.changed(), (store_position{5, 1}));
    this->change({"a", 13, true});
    EXPECT_EQ(this->known.changed(), (store_position{13, 1}));
}

TEST_F(evacuation_list_test, a_restored_store_does_not_end_what_only_it_has_lost)
{
    this->list({"listed"}, {5, 1});
    this->change({"lost", 9});
    this->list({"listed", "older"}, {6, 2}, true);
    EXPECT_EQ(this->known.in_force(), (names{"listed", "lost", "older"}));
    EXPECT_FALSE(this->known.drop_expired(this->now + lost_history_memory - milliseconds(1)));
    EXPECT_TRUE(this->known.drop_expired(this->now + lost_history_memory));
    EXPECT_EQ(this->known.in_force(), (names{"listed", "older"}));
}

TEST_F(evacuation_list_test, a_restored_store_that_names_no_era_is_recognized)
{
    this->list({"lost"}, {9, 0});
    EXPECT_FALSE(this->list({}, {6, 0}));
    this->list({}, {6, 0}, true);
    EXPECT_EQ(this->known.in_force(), names{"lost"});
    EXPECT_EQ(this->known.position(), (store_position{6, 0}));
    EXPECT_TRUE(this->known.drop_expired(this->now + lost_history_memory));
}

TEST_F(evacuation_list_test, a_restored_store_that_names_the_data_centre_decides)
{
    this->list({"again", "over"}, {9, 1});
    this->list({}, {5, 2}, true);
    this->change({"again", 6}, 2);
    this->change({"over", 7, true}, 2);
    EXPECT_EQ(this->known.in_force(), names{"again"});
    EXPECT_FALSE(this->known.drop_expired(this->now + lost_history_memory));
    EXPECT_TRUE(this->change({"again", 8, true}, 2));
    EXPECT_TRUE(this->known.in_force().empty());
}

// Another entry has seen the restoration first; the own watch still answers from the lost history.
TEST_F(evacuation_list_test, the_lost_history_changes_nothing_after_a_copy_of_the_new_one)
{
    this->list({"a"}, {9, 1});
    this->known.merge({{"b"}, {}, {6, 2}, {6, 2}}, this->now, "peer");
    EXPECT_FALSE(this->change({"c", 10}, 1));
    EXPECT_FALSE(this->list({}, {10, 1}));
    EXPECT_EQ(this->known.in_force(), (names{"a", "b"}));
    // The store's own list of the new history ends what it no longer lists.
    this->list({}, {7, 2}, true);
    EXPECT_EQ(this->known.in_force(), names{"a"});
}

TEST_F(evacuation_list_test, a_new_entry_learns_what_a_peer_keeps_of_a_lost_history)
{
    evacuation_list peer;
    peer.apply(evacuation_snapshot{{"lost"}, {9, 1}}, this->now);
    peer.apply(evacuation_snapshot{{"b"}, {6, 2}, true}, this->now);
    this->known.merge(peer.shared(this->now + milliseconds(20000)), this->now, "peer");
    EXPECT_EQ(this->known.in_force(), (names{"b", "lost"}));
    EXPECT_TRUE(this->known.drop_expired(this->now + milliseconds(40000)));
    EXPECT_EQ(this->known.in_force(), names{"b"});
}

TEST_F(evacuation_list_test, is_bounded)
{
    std::vector<std::string> many;
    for (std::size_t i = 0; i < evacuation_list::max_evacuations + 5; ++i) {
        many.push_back(absl::StrCat("dc-", i));
    }
    this->list(many, {5, 1});
    EXPECT_EQ(this->known.in_force().size(), evacuation_list::max_evacuations);
    EXPECT_FALSE(this->change({"one-more", 6}));
    this->list({"a"}, {7, 1});
    EXPECT_EQ(this->known.in_force(), names{"a"});
}

} // namespace
} // namespace sardinestream
