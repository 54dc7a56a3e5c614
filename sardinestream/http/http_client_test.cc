#include <gtest/gtest.h>

#include "sardinestream/http/http_client.h"
#include "sardinestream/testing/scripted_server.h"

namespace sardinestream {
namespace {

steady_time soon()
{
    return steady_clock::now() + std::chrono::seconds(5);
}

TEST(http_client, keeps_its_connection_for_the_next_call)
{
    scripted_server server([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        }
    });
    {
        http_client client(server.local());
        EXPECT_EQ(client.call("GET", "/1", "", soon())->body, "hi");
        EXPECT_EQ(client.call("GET", "/2", "", soon())->body, "hi");
    }
    EXPECT_EQ(server.connections(), 1);
}

TEST(http_client, opens_a_new_connection_after_surplus_bytes)
{
    scripted_server server([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
                             "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
        }
    });
    {
        http_client client(server.local());
        EXPECT_EQ(client.call("GET", "/1", "", soon())->body, "hi");
        EXPECT_EQ(client.call("GET", "/2", "", soon())->body, "hi");
    }
    EXPECT_EQ(server.connections(), 2);
}

TEST(http_client, a_refused_connection_is_unavailable)
{
    address nobody;
    {
        scripted_server gone([](scripted_connection&) {});
        nobody = gone.local();
    }
    http_client client(nobody);
    EXPECT_TRUE(absl::IsUnavailable(client.call("GET", "/", "", soon()).status()));
}

} // namespace
} // namespace sardinestream
