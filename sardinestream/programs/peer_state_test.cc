#include <gtest/gtest.h>

#include "sardinestream/programs/peer_state.h"

namespace sardinestream {
namespace {

TEST(peer_state, a_document_survives_its_encoding)
{
    const stored_document document = {"{\"version\":\"ä\"}", 42};
    const absl::StatusOr<stored_document> read = decode_document(encode_document(document));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->text, document.text);
    EXPECT_EQ(read->revision, 42);
}

TEST(peer_state, a_list_of_servers_survives_its_encoding)
{
    backend_server server;
    server.id = "i-1";
    server.born_ms = 5;
    server.endpoint = {"10.0.0.1", 80};
    server.service = "s";
    server.data_centre = "a";
    server.slots = 3;
    server.draining = true;
    const std::chrono::milliseconds cold(2500);
    const departed_server left = {"i-2", 6, 4, {8, 2}, std::chrono::milliseconds(150)};
    const absl::StatusOr<shared_servers> read =
        decode_servers(encode_servers({{{{server, {7, 2}, 3, cold}}, {9, 2}}, {left}}));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->listed.position, (store_position{9, 2}));
    ASSERT_EQ(read->listed.servers.size(), 1U);
    EXPECT_EQ(read->listed.servers[0].server, server);
    EXPECT_EQ(read->listed.servers[0].position, (store_position{7, 2}));
    EXPECT_EQ(read->listed.servers[0].sequence, 3);
    EXPECT_EQ(read->listed.servers[0].cold_remaining, cold);
    ASSERT_EQ(read->departed.size(), 1U);
    EXPECT_EQ(read->departed[0].id, "i-2");
    EXPECT_EQ(read->departed[0].born_ms, 6);
    EXPECT_EQ(read->departed[0].sequence, 4);
    EXPECT_EQ(read->departed[0].position, (store_position{8, 2}));
    EXPECT_EQ(read->departed[0].age, left.age);
}

TEST(peer_state, evacuations_survive_their_encoding)
{
    const absl::StatusOr<shared_evacuations> read = decode_evacuations(encode_evacuations(
        {{"a", "\xff"}, {{"b", std::chrono::milliseconds(40)}}, {9, 2}, {7, 2}}));
    ASSERT_TRUE(read.ok()) << read.status();
    ASSERT_EQ(read->data_centres.size(), 2U);
    EXPECT_EQ(read->data_centres[0], "a");
    ASSERT_EQ(read->kept.size(), 1U);
    EXPECT_EQ(read->kept[0].data_centre, "b");
    EXPECT_EQ(read->kept[0].remaining.count(), 40);
    EXPECT_EQ(read->position, (store_position{9, 2}));
    EXPECT_EQ(read->changed, (store_position{7, 2}));
}

TEST(peer_state, refuses_what_it_cannot_read)
{
    EXPECT_FALSE(decode_evacuations("{\"data_centres\":[3]}").ok());
    EXPECT_FALSE(decode_document("{}").ok());
    EXPECT_FALSE(decode_servers("[").ok());
    EXPECT_FALSE(decode_servers(R"({"revision":1,"servers":[{"id":"x"}]})").ok());
}

// Entries of older versions state no cold time.
TEST(peer_state, reads_a_server_with_an_odd_cold_time_or_none)
{
    backend_server server;
    server.id = "i-1";
    server.endpoint = {"10.0.0.1", 80};
    const std::string text = encode_servers({{{{server, {7}, 3}}, {9}}, {}});
    const std::string stated = R"("cold_ms":0,)";
    ASSERT_NE(text.find(stated), std::string::npos);
    for (const char* const other :
         {"", R"("cold_ms":"x",)", R"("cold_ms":-1,)", R"("cold_ms":1e99,)"}) {
        std::string changed = text;
        changed.replace(changed.find(stated), stated.size(), other);
        const absl::StatusOr<shared_servers> read = decode_servers(changed);
        ASSERT_TRUE(read.ok()) << other;
        ASSERT_EQ(read->listed.servers.size(), 1U) << other;
        EXPECT_EQ(read->listed.servers[0].cold_remaining.count(), 0) << other;
    }
}

TEST(peer_state, an_odd_server_of_a_peer_costs_only_itself)
{
    backend_server server;
    server.id = "i-1";
    server.endpoint = {"10.0.0.1", 80};
    std::string text = encode_servers({{{{server, {7}, 3}}, {9}}, {}});
    const std::string odd = R"({"id":"odd","position":{"revision":"x","era":[]}},)";
    text.insert(text.find("{\"born_ms"), odd);
    const absl::StatusOr<shared_servers> read = decode_servers(text);
    ASSERT_TRUE(read.ok()) << read.status();
    ASSERT_EQ(read->listed.servers.size(), 1U);
    EXPECT_EQ(read->listed.servers[0].server.id, "i-1");
}

// Guards against one unreadable part of a peer's answer that costs the rest.
TEST(peer_state, an_odd_departure_of_a_peer_costs_only_itself)
{
    const departed_server left = {"i-2", 6, 4, {8, 2}, std::chrono::milliseconds(150)};
    std::string text = encode_servers({{{}, {9}}, {left}});
    text.insert(text.find("{\"age_ms"), R"({"id":7},7,{"id":"i-3","age_ms":1},)");
    const absl::StatusOr<shared_servers> read = decode_servers(text);
    ASSERT_TRUE(read.ok()) << read.status();
    ASSERT_EQ(read->departed.size(), 1U);
    EXPECT_EQ(read->departed[0].id, "i-2");
}

TEST(peer_state, an_odd_evacuation_of_a_peer_costs_only_itself)
{
    const absl::StatusOr<shared_evacuations> read = decode_evacuations(
        R"({"position":{"revision":1,"era":1},"changed":{"revision":1,"era":1},)"
        R"("data_centres":[7,"a",null],"kept":[{},{"data_centre":"b","remaining_ms":5},3]})");
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->data_centres, std::vector<std::string>{"a"});
    ASSERT_EQ(read->kept.size(), 1U);
    EXPECT_EQ(read->kept[0].data_centre, "b");
}

} // namespace
} // namespace sardinestream
