// Tests which of the listed servers are used where anybody may write entries, also of addresses
// that belong to others.

#include <gtest/gtest.h>

#include "sardinestream/backends/server_directory.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// A directory with a sound server that shares its address with an entry of another writer.
class shared_address_test : public testing::Test {
protected:
    static backend_server at_address(const std::string& id, std::int64_t born_ms,
                                     const std::string& service = "orders", bool draining = false)
    {
        backend_server server;
        server.id = id;
        server.draining = draining;
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

    // All entries have the revision of the list.
    void list(const std::vector<backend_server>& servers, std::int64_t revision)
    {
        server_list all = {{}, {revision}};
        for (const backend_server& server : servers) {
            all.servers.push_back({server, {revision}});
        }
        this->directory.apply(all, {}, this->start);
    }

    void put(const backend_server& server, std::int64_t revision, milliseconds after = {})
    {
        this->directory.apply(server_changes{{{server.id, server, {revision}}}, {revision}}, {},
                              this->start + after);
    }

    static constexpr milliseconds entry_lifetime{4800};
    const backend_server sound = at_address("sound", 1000);
    server_directory directory{entry_lifetime};
    const steady_time start = steady_clock::now();
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
            known.apply(server_list{{{odd_first ? odd : this->sound, {1}}}, {1}}, {}, this->start);
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
    this->put(at_address("claim", 3000), 2, entry_lifetime / 2);
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
    EXPECT_FALSE(this->directory.note_replaced(at_address("unknown", 1), this->start));
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
    std::vector<backend_server> all;
    for (std::int64_t i = 0; i < max_servers + 100; ++i) {
        all.push_back(at_address(std::to_string(i), 2000 + i, "uptime-watch"));
    }
    all.push_back(this->sound);
    this->list(all, 1);
    EXPECT_EQ(this->used(), std::vector<std::string>{"sound"});
}

} // namespace
} // namespace sardinestream
