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

// A directory with a sound server that shares its address with an entry of another writer.
class shared_address_test : public server_directory_test {
protected:
    static backend_server at_address(const std::string& id, std::int64_t born_ms,
                                     const std::string& service = "orders", bool draining = false)
    {
        backend_server server = named(id, draining);
        server.endpoint = {"10.0.0.1", 8000};
        server.born_ms = born_ms;
        server.service = service;
        return server;
    }

    [[nodiscard]] std::vector<std::string> used() const
    {
        std::vector<std::string> ids;
        for (const backend_server& server : this->directory.usable()) {
            ids.push_back(server.id);
        }
        return ids;
    }

    // The store answers a watch that saw no changes, so long after the start.
    bool confirm(milliseconds after, const store_outage& outage = {})
    {
        return this->directory.apply(server_changes{}, outage, this->start + after);
    }

    static constexpr milliseconds entry_lifetime{4800};
    const backend_server sound = at_address("sound", 1000);
};

// Guards against entries of an unknown service that take sound servers out of use: written before
// or after them, known before the desired state or not, heard from the store or a peer.
TEST_F(shared_address_test, an_entry_of_an_undeclared_service_hides_no_server)
{
    const backend_server odd = at_address("watch", 2000, "uptime-watch");
    for (const bool odd_first : {true, false}) {
        for (const bool declared_first : {true, false}) {
            server_directory known;
            if (declared_first) {
                known.add_services({"orders"}, this->start);
            }
            known.apply(server_list{{at_revision(1, odd_first ? odd : this->sound)}, {1}}, {},
                        this->start);
            const backend_server& second = odd_first ? this->sound : odd;
            known.apply(server_changes{{{second.id, second, {2}}}, {2}}, {}, this->start);
            if (!declared_first) {
                EXPECT_TRUE(known.add_services({"orders"}, this->start));
            }
            server_directory told;
            told.add_services({"orders"}, this->start);
            told.merge(known.shared(this->start), {}, this->start);
            for (const server_directory* const each : {&known, &told}) {
                ASSERT_EQ(each->usable().size(), 1U);
                EXPECT_EQ(each->usable()[0].id, "sound");
            }
        }
    }
}

// A service is declared after its servers have started; requests of an earlier desired state may
// still wait for one that is declared no longer.
TEST_F(shared_address_test, servers_are_used_once_their_service_has_been_declared)
{
    this->directory.add_services({"stock"}, this->start);
    this->list({this->sound}, 1);
    EXPECT_TRUE(this->used().empty());
    EXPECT_TRUE(this->directory.add_services({"orders"}, this->start));
    EXPECT_EQ(this->used(), std::vector<std::string>{"sound"});
    EXPECT_FALSE(this->directory.add_services({"stock"}, this->start));
    EXPECT_EQ(this->used(), std::vector<std::string>{"sound"});
}

// Guards against a well-formed entry that hides a server for good: a server whose entry does not
// expire is alive, whatever others write of its address.
TEST_F(shared_address_test, a_later_start_is_believed_until_the_earlier_entry_had_to_expire)
{
    this->directory.add_services({"orders"}, this->start);
    this->list({this->sound, at_address("claim", 2000)}, 1);
    EXPECT_EQ(this->used(), std::vector<std::string>{"claim"});
    // A further claim does not begin anew.
    this->directory.apply(server_changes{{{"claim", at_address("claim", 3000), {2}}}, {2}}, {},
                          this->start + entry_lifetime / 2);
    EXPECT_FALSE(this->confirm(entry_lifetime));
    EXPECT_EQ(this->used(), std::vector<std::string>{"claim"});
    EXPECT_TRUE(this->confirm(entry_lifetime + milliseconds(1)));
    EXPECT_EQ(this->used(), (std::vector<std::string>{"claim", "sound"}));
}

// Entries do not expire while the store is away.
TEST_F(shared_address_test, an_outage_does_not_prove_that_an_earlier_start_is_alive)
{
    this->list({this->sound, at_address("successor", 2000)}, 1);
    const milliseconds after = 2 * entry_lifetime;
    this->confirm(after, {this->start + milliseconds(100), this->start + after});
    EXPECT_EQ(this->used(), std::vector<std::string>{"successor"});
}

// Guards against the address of a successor that is given back to the server before it.
TEST_F(shared_address_test, a_successor_that_drains_keeps_its_address)
{
    this->list({this->sound, at_address("successor", 2000)}, 1);
    this->put(at_address("successor", 2000, "orders", true), 2);
    EXPECT_EQ(this->used(), std::vector<std::string>{"successor"});
}

// Guards against an entry that takes an address and is never asked who answers there.
TEST_F(shared_address_test, an_entry_that_was_never_ready_hides_no_server)
{
    this->list({this->sound, at_address("claim", 2000, "orders", true)}, 1);
    EXPECT_EQ(this->used(), (std::vector<std::string>{"claim", "sound"}));
}

// Guards against a sound server that stays hidden although another one than the claimed one has
// answered at its address.
TEST_F(shared_address_test, a_claim_ends_when_another_server_answers)
{
    const backend_server claim = at_address("claim", 2000);
    this->list({this->sound, claim}, 1);
    backend_server earlier = claim;
    earlier.born_ms = 1500;
    EXPECT_FALSE(this->directory.note_replaced(earlier, this->start));
    EXPECT_FALSE(this->directory.note_replaced(named("unknown"), this->start));
    EXPECT_EQ(this->used(), std::vector<std::string>{"claim"});
    EXPECT_TRUE(this->directory.note_replaced(claim, this->start));
    EXPECT_EQ(this->used(), (std::vector<std::string>{"claim", "sound"}));
    // Another start is another claim.
    this->put(at_address("claim", 3000), 2);
    EXPECT_EQ(this->used(), std::vector<std::string>{"claim"});
}

// Guards against entries of an unknown service that leave no room for servers.
TEST_F(shared_address_test, entries_of_undeclared_services_leave_room_for_others)
{
    constexpr std::int64_t max_servers = 8192;
    this->directory.add_services({"orders"}, this->start);
    server_list all = {{}, {1}};
    for (std::int64_t i = 0; i < max_servers + 100; ++i) {
        all.servers.push_back(
            at_revision(1, at_address(std::to_string(i), 2000 + i, "uptime-watch")));
    }
    all.servers.push_back(at_revision(1, this->sound));
    this->directory.apply(all, {}, this->start);
    EXPECT_EQ(this->used(), std::vector<std::string>{"sound"});
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
