// Tests of the directory with a store that comes back from an older copy.

#include <gtest/gtest.h>

#include "sardinestream/backends/server_directory.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds entry_lifetime{4800};
// Servers in touch with a restored store have written their entries again by then.
constexpr milliseconds rewritten{2000};

// An entry as its server wrote it with its `sequence`th heartbeat.
listed_server written(const std::string& id, std::int64_t sequence, const store_position& position,
                      bool draining = false)
{
    listed_server listed;
    listed.server.id = id;
    listed.server.born_ms = 1000;
    listed.server.draining = draining;
    listed.position = position;
    listed.sequence = sequence;
    return listed;
}

server_change change_of(const listed_server& listed)
{
    return {listed.server.id, listed.server, listed.position, listed.server.born_ms,
            listed.sequence};
}

server_change removal_of(const listed_server& last, const store_position& position)
{
    return {last.server.id, std::nullopt, position, last.server.born_ms, last.sequence};
}

class restored_store_test : public testing::Test {
protected:
    bool list(const std::vector<listed_server>& servers, const store_position& position)
    {
        return this->directory.apply(server_list{servers, position}, {}, this->now);
    }

    // Lists as after a restoration that the store's era does not show.
    bool list_restored(const std::vector<listed_server>& servers, const store_position& position)
    {
        return this->directory.apply(server_list{servers, position, true}, {}, this->now);
    }

    bool change(const server_change& changed)
    {
        return this->directory.apply(server_changes{{changed}, changed.position}, {}, this->now);
    }

    // The store answers a watch that saw no changes.
    void confirm(const store_position& position)
    {
        this->directory.apply(server_changes{{}, position}, {}, this->now);
    }

    [[nodiscard]] bool uses(const std::string& id) const { return uses(this->directory, id); }

    [[nodiscard]] static bool uses(const server_directory& known, const std::string& id)
    {
        for (const backend_server& server : known.usable()) {
            if (server.id == id && !server.draining) {
                return true;
            }
        }
        return false;
    }

    void wait(milliseconds time)
    {
        this->now += time;
        this->directory.drop_vanished(this->now);
    }

    server_directory directory{entry_lifetime};
    steady_time now = steady_clock::now();
};

TEST_F(restored_store_test, an_older_copy_does_not_bring_back_a_server_that_left)
{
    this->list({written("a", 3, {10, 1}), written("b", 3, {11, 1})}, {11, 1});
    this->change(removal_of(written("a", 3, {10, 1}), {12, 1}));
    this->list({written("a", 3, {10, 2}), written("b", 3, {11, 2})}, {11, 2});
    EXPECT_FALSE(this->uses("a"));
    EXPECT_TRUE(this->uses("b"));
}

TEST_F(restored_store_test, an_older_copy_does_not_undo_draining)
{
    this->list({written("a", 3, {10, 1})}, {11, 1});
    this->change(change_of(written("a", 9, {12, 1}, true)));
    this->list({written("a", 3, {10, 2})}, {11, 2});
    EXPECT_FALSE(this->uses("a"));
}

TEST_F(restored_store_test, a_change_at_a_revision_that_is_given_out_again_takes_effect)
{
    this->list({written("a", 3, {10, 1}), written("b", 3, {11, 1})}, {40, 1});
    this->change(change_of(written("b", 9, {41, 1})));
    this->list({written("a", 3, {10, 2}), written("b", 3, {11, 2})}, {20, 2});
    this->change(change_of(written("a", 12, {21, 2}, true)));
    this->change(removal_of(written("b", 3, {11, 2}), {22, 2}));
    EXPECT_FALSE(this->uses("a"));
    EXPECT_FALSE(this->uses("b"));
}

TEST_F(restored_store_test, a_server_whose_entry_is_lost_stays_until_it_has_written_it_again)
{
    this->list({}, {10, 1});
    this->change(change_of(written("a", 1, {12, 1})));
    this->list({}, {10, 2});
    EXPECT_TRUE(this->uses("a"));
    this->wait(relist_grace_period - milliseconds(100));
    this->change(change_of(written("a", 4, {11, 2})));
    this->wait(rewritten);
    EXPECT_TRUE(this->uses("a"));
}

TEST_F(restored_store_test, a_server_whose_entry_is_lost_for_good_is_dropped)
{
    this->list({written("a", 3, {10, 1})}, {12, 1});
    this->list({}, {9, 2});
    this->wait(rewritten);
    EXPECT_FALSE(this->uses("a"));
}

TEST_F(restored_store_test, a_server_that_starts_again_under_its_id_is_used)
{
    this->list({written("a", 30, {10, 1})}, {11, 1});
    this->change(removal_of(written("a", 30, {10, 1}), {12, 1}));
    listed_server again = written("a", 1, {8, 2});
    again.server.born_ms = 2000;
    this->list({again}, {9, 2});
    EXPECT_TRUE(this->uses("a"));
}

TEST_F(restored_store_test, a_departed_server_is_used_again_if_its_listed_entry_does_not_expire)
{
    this->list({written("a", 3, {10, 1})}, {11, 1});
    this->change(removal_of(written("a", 3, {10, 1}), {12, 1}));
    this->list({written("a", 3, {10, 2})}, {11, 2});
    this->wait(entry_lifetime - milliseconds(1));
    this->confirm({11, 2});
    EXPECT_FALSE(this->uses("a"));
    this->wait(milliseconds(2));
    this->confirm({11, 2});
    EXPECT_TRUE(this->uses("a"));
}

TEST_F(restored_store_test, a_departed_server_stays_out_of_use_if_its_listed_entry_expires)
{
    this->list({written("a", 3, {10, 1})}, {11, 1});
    this->change(removal_of(written("a", 3, {10, 1}), {12, 1}));
    this->list({written("a", 3, {10, 2})}, {11, 2});
    this->change(removal_of(written("a", 3, {10, 2}), {12, 2}));
    this->wait(2 * entry_lifetime);
    this->confirm({13, 2});
    EXPECT_FALSE(this->uses("a"));
}

TEST_F(restored_store_test, two_restorations_in_a_row_undo_nothing)
{
    this->list({written("a", 3, {10, 1}), written("b", 3, {11, 1})}, {11, 1});
    this->change(removal_of(written("a", 3, {10, 1}), {12, 1}));
    this->list({written("a", 3, {10, 2}), written("b", 3, {11, 2})}, {11, 2});
    this->change(change_of(written("b", 9, {12, 2}, true)));
    this->list({written("a", 3, {10, 3}), written("b", 3, {11, 3})}, {11, 3});
    EXPECT_FALSE(this->uses("a"));
    EXPECT_FALSE(this->uses("b"));
    this->change(change_of(written("c", 1, {12, 3})));
    EXPECT_TRUE(this->uses("c"));
}

TEST_F(restored_store_test, a_store_without_eras_that_falls_back_is_followed)
{
    this->list({written("a", 3, {10}), written("b", 3, {11})}, {40});
    this->change(removal_of(written("a", 3, {10}), {41}));
    this->list_restored({written("a", 3, {10}), written("b", 3, {11})}, {20});
    EXPECT_FALSE(this->uses("a"));
    this->change(change_of(written("b", 9, {21}, true)));
    EXPECT_FALSE(this->uses("b"));
}

TEST_F(restored_store_test, an_era_that_falls_is_followed)
{
    this->list({written("a", 3, {10, 5})}, {40, 5});
    this->list({written("a", 3, {10, 4})}, {20, 4});
    this->change(change_of(written("a", 9, {21, 4}, true)));
    EXPECT_FALSE(this->uses("a"));
    this->change(change_of(written("b", 1, {22, 4})));
    EXPECT_TRUE(this->uses("b"));
}

TEST_F(restored_store_test, an_entry_that_has_just_started_learns_which_listed_server_has_departed)
{
    this->list({written("a", 3, {10, 1}), written("b", 3, {11, 1})}, {11, 1});
    this->change(removal_of(written("a", 3, {10, 1}), {12, 1}));
    this->list({written("a", 3, {10, 2}), written("b", 3, {11, 2})}, {11, 2});
    server_directory started(entry_lifetime);
    started.apply(server_list{{written("a", 3, {10, 2}), written("b", 3, {11, 2})}, {30, 2}}, {},
                  this->now);
    EXPECT_NE(started.departed_digest(this->now), this->directory.departed_digest(this->now));
    started.merge(this->directory.shared(this->now), {}, this->now);
    EXPECT_FALSE(uses(started, "a"));
    EXPECT_TRUE(uses(started, "b"));
    EXPECT_EQ(started.departed_digest(this->now), this->directory.departed_digest(this->now));
}

TEST_F(restored_store_test, an_entry_of_an_earlier_era_takes_what_is_newer_from_a_peer)
{
    const listed_server left = written("a", 3, {10, 1});
    this->list({left, written("b", 3, {11, 1})}, {40, 1});
    server_directory peer(entry_lifetime);
    peer.apply(server_list{{left, written("b", 3, {11, 1})}, {12, 1}}, {}, this->now);
    peer.apply(server_list{{written("a", 3, {10, 2}), written("b", 3, {11, 2})}, {12, 2}}, {},
               this->now);
    peer.apply(
        server_changes{{removal_of(left, {13, 2}), change_of(written("c", 1, {14, 2}))}, {14, 2}},
        {}, this->now);
    this->directory.merge(peer.shared(this->now), {}, this->now);
    EXPECT_FALSE(this->uses("a"));
    EXPECT_TRUE(this->uses("b"));
    EXPECT_TRUE(this->uses("c"));
}

TEST_F(restored_store_test, a_peer_of_an_earlier_era_undoes_nothing)
{
    this->list({written("a", 3, {10, 2}), written("b", 3, {11, 2})}, {12, 2});
    this->change(removal_of(written("a", 3, {10, 2}), {13, 2}));
    server_directory peer(entry_lifetime);
    peer.apply(server_list{{written("a", 3, {10, 1}), written("gone", 3, {11, 1})}, {40, 1}}, {},
               this->now);
    this->directory.merge(peer.shared(this->now), {}, this->now);
    EXPECT_FALSE(this->uses("a"));
    EXPECT_TRUE(this->uses("b"));
    EXPECT_FALSE(this->uses("gone"));
}

TEST_F(restored_store_test, entries_of_different_eras_agree_whoever_asks_first)
{
    server_directory other(entry_lifetime);
    const listed_server a = written("a", 3, {10, 1});
    const listed_server b = written("b", 3, {11, 1});
    this->list({a, b}, {12, 1});
    other.apply(server_list{{a, b}, {12, 1}}, {}, this->now);
    this->change(removal_of(a, {13, 1}));
    other.apply(server_list{{written("a", 3, {10, 2}), written("b", 3, {11, 2})}, {12, 2}}, {},
                this->now);
    other.merge(this->directory.shared(this->now), {}, this->now);
    this->directory.merge(other.shared(this->now), {}, this->now);
    EXPECT_FALSE(this->uses("a"));
    EXPECT_FALSE(uses(other, "a"));
    EXPECT_TRUE(this->uses("b"));
    EXPECT_TRUE(uses(other, "b"));
    EXPECT_EQ(this->directory.departed_digest(this->now), other.departed_digest(this->now));
}

TEST_F(restored_store_test, a_server_that_lapsed_and_returned_is_used)
{
    const listed_server before = written("a", 3, {10, 1});
    this->list({before}, {12, 1});
    this->change(removal_of(before, {13, 1}));
    this->change(change_of(written("a", 8, {14, 1})));
    EXPECT_TRUE(this->uses("a"));
    EXPECT_EQ(this->directory.departed_digest(this->now), 0U);
}

TEST_F(restored_store_test, departed_servers_are_forgotten_in_time)
{
    this->list({written("a", 3, {10, 1})}, {12, 1});
    this->change(removal_of(written("a", 3, {10, 1}), {13, 1}));
    this->wait(std::chrono::minutes(6));
    this->confirm({13, 1});
    EXPECT_TRUE(this->directory.shared(this->now).departed.empty());
}

} // namespace
} // namespace sardinestream
