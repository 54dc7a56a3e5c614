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
    const absl::StatusOr<server_list> read = decode_servers(encode_servers({{{server, 7}}, 9}));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->revision, 9);
    ASSERT_EQ(read->servers.size(), 1U);
    EXPECT_EQ(read->servers[0].server, server);
    EXPECT_EQ(read->servers[0].revision, 7);
}

TEST(peer_state, refuses_what_it_cannot_read)
{
    EXPECT_FALSE(decode_document("{}").ok());
    EXPECT_FALSE(decode_servers("[").ok());
    EXPECT_FALSE(decode_servers(R"({"revision":1,"servers":[{"id":"x"}]})").ok());
}

} // namespace
} // namespace sardinestream
