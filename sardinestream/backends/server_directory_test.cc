#include <gtest/gtest.h>

#include "sardinestream/backends/server_directory.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

backend_server named(const std::string& id, bool draining = false)
{
    backend_server server;
    server.id = id;
    server.draining = draining;
    return server;
}

listed_server at_revision(std::int64_t revision, const backend_server& server)
{
    return {server, {revision}};
}

class server_directory_test : public testing::Test {
protected:
    // Applies a list in which all entries have the revision of the list.
    bool list(const std::vector<backend_server>& servers, std::int64_t revision,
              bool after_outage = false)
    {
        server_list all = {{}, {revision}};
        for (const backend_server& server : servers) {
            all.servers.push_back(at_revision(revision, server));
        }
        return this->directory.apply(all, this->outage(after_outage), this->start);
    }

    bool put(const backend_server& server, std::int64_t revision)
    {
        return this->directory.apply(server_changes{{{server.id, server, {revision}}}, {revision}},
                                     {}, this->start);
    }

    bool remove(const std::string& id, std::int64_t revision, bool after_outage = false)
    {
        return this->directory.apply(server_changes{{{id, std::nullopt, {revision}}}, {revision}},
                                     this->outage(after_outage), this->start);
    }

    // An outage in which entries may expire, until just now.
    [[nodiscard]] store_outage outage(bool happened) const
    {
        return happened ? this->outage_of(heartbeat) : store_outage();
    }

    // An outage until just now.
    [[nodiscard]] store_outage outage_of(milliseconds length) const
    {
        return {this->start - length, this->start};
    }

    static constexpr milliseconds heartbeat{1200};

    server_directory directory;
    const steady_time start = steady_clock::now();
};

// Guards against a store, or another writer of it, that names new servers without end.
TEST_F(server_directory_test, keeps_a_bounded_number_of_servers)
{
    constexpr std::size_t max_servers = 8192;
    std::int64_t revision = 1;
    this->list({named("first")}, revision);
    for (std::size_t i = 0; i < max_servers + 100; ++i) {
        this->put(named(std::to_string(i)), ++revision);
    }
    EXPECT_EQ(this->directory.usable().size(), max_servers);
    EXPECT_TRUE(this->put(named("first", true), ++revision));
    EXPECT_TRUE(this->remove("first", ++revision));
    EXPECT_TRUE(this->put(named("next"), ++revision));
}

// Guards against sound servers that are not used because the list that has them has no end.
TEST_F(server_directory_test, a_partial_list_adds_servers_and_removes_none)
{
    EXPECT_TRUE(this->directory.apply_partial({{at_revision(1, named("a"))}, {3}}, this->start));
    EXPECT_EQ(this->directory.position(), store_position{});
    EXPECT_TRUE(this->directory.apply_partial({{at_revision(2, named("b"))}, {3}}, this->start));
    EXPECT_EQ(this->directory.usable().size(), 2U);
    EXPECT_FALSE(this->directory.apply_partial({{at_revision(1, named("a"))}, {3}}, this->start));
    // Nor do changes make the list a whole one.
    EXPECT_TRUE(this->put(named("c"), 4));
    EXPECT_TRUE(this->remove("c", 4));
    EXPECT_EQ(this->directory.position(), store_position{});
    EXPECT_TRUE(this->list({named("b")}, 5));
    ASSERT_EQ(this->directory.usable().size(), 1U);
    EXPECT_EQ(this->directory.usable()[0].id, "b");
}

TEST_F(server_directory_test, a_partial_list_brings_back_no_removed_server)
{
    this->list({named("a"), named("b")}, 1);
    this->remove("a", 3);
    EXPECT_FALSE(this->directory.apply_partial({{at_revision(1, named("a"))}, {2}}, this->start));
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

TEST_F(server_directory_test, a_partial_list_of_another_history_is_ignored)
{
    this->list({named("a")}, 5);
    const server_list other = {{{named("b"), {9, 1}}}, {9, 1}};
    EXPECT_FALSE(this->directory.apply_partial(other, this->start));
    const server_list restored = {{at_revision(9, named("c"))}, {9}, true};
    EXPECT_FALSE(this->directory.apply_partial(restored, this->start));
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

TEST_F(server_directory_test, drops_a_removed_server_immediately)
{
    this->list({named("a"), named("b")}, 1);
    EXPECT_TRUE(this->remove("a", 2));
    ASSERT_EQ(this->directory.usable().size(), 1U);
    EXPECT_EQ(this->directory.usable()[0].id, "b");
}

TEST_F(server_directory_test, keeps_a_server_that_vanished_after_an_outage_for_the_grace_period)
{
    this->list({named("a"), named("b")}, 1);
    this->list({named("a")}, 2, true);
    EXPECT_EQ(this->directory.usable().size(), 2U);
    EXPECT_FALSE(this->directory.drop_vanished(this->start + std::chrono::seconds(1)));
    EXPECT_TRUE(this->directory.drop_vanished(this->start + std::chrono::seconds(2)));
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

// After a crash the entry of the earlier start stays listed until it expires.
TEST_F(server_directory_test, uses_only_the_last_start_at_an_address)
{
    backend_server before = named("a");
    before.endpoint = {"10.0.0.1", 8000};
    before.born_ms = 1000;
    backend_server after = before;
    after.id = "b";
    after.born_ms = 2000;
    backend_server elsewhere = before;
    elsewhere.id = "c";
    elsewhere.endpoint.port = 8001;
    this->list({before, after, elsewhere}, 1);
    const std::vector<backend_server> usable = this->directory.usable();
    ASSERT_EQ(usable.size(), 2U);
    EXPECT_EQ(usable[0].id, "b");
    EXPECT_EQ(usable[1].id, "c");
}

// An entry that was disconnected from the store keeps a departed server for the grace period. It
// must not tell other entries that the store still lists that server.
TEST_F(server_directory_test, does_not_pass_on_a_vanished_server)
{
    this->list({named("a"), named("b")}, 1);
    this->remove("a", 2, true);
    this->put(named("c"), 3);
    EXPECT_EQ(this->directory.usable().size(), 3U);
    const std::vector<listed_server> listed = this->directory.shared(this->start).listed.servers;
    ASSERT_EQ(listed.size(), 2U);
    EXPECT_EQ(listed[0].server.id, "b");
    EXPECT_EQ(listed[1].server.id, "c");
}

TEST_F(server_directory_test, keeps_one_that_is_listed_again_in_time)
{
    this->list({named("a")}, 1);
    this->remove("a", 2, true);
    this->put(named("a"), 3);
    EXPECT_FALSE(this->directory.drop_vanished(this->start + std::chrono::seconds(3)));
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

TEST_F(server_directory_test, drops_one_that_was_leaving_also_after_an_outage)
{
    this->list({named("a", true)}, 1);
    EXPECT_TRUE(this->remove("a", 2, true));
    EXPECT_TRUE(this->directory.usable().empty());
}

TEST_F(server_directory_test, ignores_a_list_older_than_the_known_one)
{
    this->list({named("a")}, 5);
    EXPECT_FALSE(this->list({}, 4));
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

TEST_F(server_directory_test, a_late_change_does_not_undo_draining)
{
    this->list({named("a", true)}, 100);
    this->put(named("a"), 90);
    ASSERT_EQ(this->directory.usable().size(), 1U);
    EXPECT_TRUE(this->directory.usable()[0].draining);
}

TEST_F(server_directory_test, a_late_change_does_not_restore_a_removed_server)
{
    this->list({}, 100);
    this->put(named("a"), 90);
    EXPECT_TRUE(this->directory.usable().empty());
}

TEST_F(server_directory_test, a_late_removal_does_not_drop_a_server_that_has_returned)
{
    this->list({named("a")}, 110);
    this->remove("a", 105);
    EXPECT_EQ(this->directory.usable().size(), 1U);
}

// A list is read page by page while the store changes, so parts of it may be newer than the rest.
TEST_F(server_directory_test, an_older_list_does_not_undo_a_newer_entry)
{
    this->directory.apply(server_list{{at_revision(103, named("a", true))}, {100}}, {},
                          this->start);
    this->directory.apply(server_list{{at_revision(90, named("a"))}, {101}}, {}, this->start);
    this->directory.apply(server_list{{}, {102}}, {}, this->start);
    ASSERT_EQ(this->directory.usable().size(), 1U);
    EXPECT_TRUE(this->directory.usable()[0].draining);
}

TEST_F(server_directory_test, a_list_is_as_new_as_all_of_its_changes)
{
    this->list({named("a"), named("b")}, 1);
    this->directory.apply(
        server_changes{{{"a", named("a", true), {2}}, {"b", std::nullopt, {3}}}, {4}}, {},
        this->start);
    const server_list listed = this->directory.shared(this->start).listed;
    EXPECT_EQ(listed.position.revision, 4);
    ASSERT_EQ(listed.servers.size(), 1U);
    EXPECT_EQ(listed.servers[0].position.revision, 2);
    EXPECT_TRUE(listed.servers[0].server.draining);
}

TEST_F(server_directory_test, drops_a_server_removed_after_the_grace_period_immediately)
{
    this->list({named("a")}, 1);
    const steady_time later = this->start + std::chrono::seconds(2);
    EXPECT_TRUE(this->directory.apply(server_changes{{{"a", std::nullopt, {2}}}, {2}},
                                      this->outage(true), later));
    EXPECT_TRUE(this->directory.usable().empty());
}

TEST_F(server_directory_test, the_countdown_of_a_cold_time_changes_nothing)
{
    std::int64_t revision = 1;
    const auto state = [&](int cold_ms, int after_ms) {
        ++revision;
        server_change stated = {"a", named("a"), {revision}};
        stated.cold_remaining = milliseconds(cold_ms);
        return this->directory.apply(server_changes{{stated}, {revision}}, {},
                                     this->start + milliseconds(after_ms));
    };
    this->list({named("a")}, revision);
    EXPECT_TRUE(state(3000, 0));
    EXPECT_EQ(this->directory.usable()[0].cold_until, this->start + milliseconds(3000));
    EXPECT_FALSE(state(1800, 1300));
    EXPECT_FALSE(state(0, 3100));
    EXPECT_FALSE(state(0, 4300));
    // It has become cold again.
    EXPECT_TRUE(state(2500, 5000));
    const shared_servers shared = this->directory.shared(this->start + milliseconds(6000));
    EXPECT_EQ(shared.listed.servers[0].cold_remaining, milliseconds(1500));
    // It is warm earlier than it said.
    EXPECT_TRUE(state(0, 6500));
}

TEST_F(server_directory_test, a_cold_time_reaches_another_entry)
{
    server_change stated = {"a", named("a"), {2}};
    stated.cold_remaining = milliseconds(3000);
    this->list({named("a")}, 1);
    this->directory.apply(server_changes{{stated}, {2}}, {}, this->start);
    server_directory other;
    EXPECT_TRUE(other.merge(this->directory.shared(this->start + milliseconds(1000)), {},
                            this->start + milliseconds(1000)));
    ASSERT_EQ(other.usable().size(), 1U);
    EXPECT_EQ(other.usable()[0].cold_until, this->start + milliseconds(3000));
    // One that passes on no cold times knows the same entry.
    server_directory old_version;
    old_version.apply(server_list{{at_revision(2, named("a"))}, {2}}, {}, this->start);
    other.merge(old_version.shared(this->start), {}, this->start + milliseconds(1500));
    EXPECT_EQ(other.usable()[0].cold_until, this->start + milliseconds(3000));
}

// Guards against a failed call of the store that keeps a server which has left, whichever way the
// news comes: a list, a change, or another entry that keeps the server itself.
TEST_F(server_directory_test, an_outage_too_short_for_an_entry_to_expire_keeps_no_server)
{
    for (const milliseconds length : {milliseconds(0), heartbeat - milliseconds(1)}) {
        const store_outage outage = this->outage_of(length);
        const server_list both = {{at_revision(1, named("a")), at_revision(1, named("b"))}, {1}};
        const server_list rest = {{at_revision(1, named("b"))}, {2}};
        const server_changes removal = {{{"a", std::nullopt, {2}}}, {2}};
        server_directory by_list;
        by_list.apply(both, {}, this->start);
        EXPECT_TRUE(by_list.apply(rest, outage, this->start));
        server_directory by_change;
        by_change.apply(both, {}, this->start);
        EXPECT_TRUE(by_change.apply(removal, outage, this->start));
        server_directory keeping;
        keeping.apply(both, {}, this->start);
        keeping.apply(removal, this->outage(true), this->start);
        ASSERT_EQ(keeping.usable().size(), 2U);
        server_directory by_peer;
        by_peer.apply(both, {}, this->start);
        EXPECT_TRUE(by_peer.merge(keeping.shared(this->start), outage, this->start));
        for (const server_directory* const known : {&by_list, &by_change, &by_peer}) {
            ASSERT_EQ(known->usable().size(), 1U);
            EXPECT_EQ(known->usable()[0].id, "b");
        }
    }
}

// Guards against a failed call soon after an outage that ends its grace period.
TEST_F(server_directory_test, a_short_outage_does_not_end_the_grace_period_of_a_long_one)
{
    this->list({named("a"), named("b")}, 1);
    this->directory.apply(server_changes{{}, {1}}, this->outage(true), this->start);
    const steady_time later = this->start + milliseconds(600);
    const server_changes removal = {{{"a", std::nullopt, {2}}}, {2}};
    EXPECT_FALSE(this->directory.apply(removal, {later - milliseconds(100), later}, later));
    EXPECT_EQ(this->directory.usable().size(), 2U);
    EXPECT_EQ(this->directory.next_expiry(), this->start + relist_grace_period);
}

// An entry without the store keeps the servers that a newer list of another entry lacks: they may
// only have been unable to renew their entries.
TEST_F(server_directory_test, an_outage_that_lasts_keeps_what_another_entry_no_longer_lists)
{
    server_directory peer;
    peer.apply(server_list{{}, {2}}, {}, this->start);
    this->list({named("a")}, 1);
    this->directory.merge(peer.shared(this->start), store_outage{this->start - heartbeat, {}},
                          this->start);
    EXPECT_EQ(this->directory.usable().size(), 1U);
    EXPECT_EQ(this->directory.next_expiry(), this->start + relist_grace_period);
    EXPECT_TRUE(this->directory.drop_vanished(this->directory.next_expiry()));
    EXPECT_EQ(this->directory.next_expiry(), steady_time::max());
}

TEST_F(server_directory_test, drops_all_vanished_servers_if_there_was_no_outage)
{
    this->list({named("a"), named("b")}, 1);
    this->remove("a", 2, true);
    EXPECT_EQ(this->directory.vanished(), 1U);
    EXPECT_EQ(this->directory.drop_all_vanished(this->start), 1U);
    ASSERT_EQ(this->directory.usable().size(), 1U);
    EXPECT_EQ(this->directory.usable()[0].id, "b");
}

} // namespace
} // namespace sardinestream
