#include <algorithm>
#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/http/http_client.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/str_cat.h"

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

// What it calls, such as the store, has not answered then.
TEST(http_client, an_invalid_status_is_no_answer)
{
    for (const std::string status : {"000", "099", "101", "600", "999", "20", "2000", "2x0"}) {
        scripted_server server([&status](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(
                absl::StrCat("HTTP/1.1 ", status, " Odd\r\nContent-Length: 2\r\n\r\n{}"));
        });
        http_client client(server.local());
        const absl::StatusOr<http_answer> answer = client.call("GET", "/1", "", soon());
        EXPECT_TRUE(absl::IsInvalidArgument(answer.status())) << status << answer.status();
    }
}

TEST(http_client, interim_responses_are_skipped_up_to_a_number)
{
    std::atomic<int> interim = 3;
    scripted_server server([&interim](scripted_connection& connection) {
        while (connection.read_request()) {
            for (int i = 0; i < interim; ++i) {
                connection.write("HTTP/1.1 102 Wait\r\n\r\n");
            }
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        }
    });
    http_client client(server.local());
    const absl::StatusOr<http_answer> answer = client.call("GET", "/1", "", soon());
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "hi");
    interim = 100;
    EXPECT_FALSE(client.call("GET", "/2", "", soon()).ok());
}

// Guards against a process that is killed for its memory because servers send endless answers to
// its own calls.
TEST(http_client, endless_answers_to_many_clients_share_one_limit)
{
    const std::string part(64 << 10, ' ');
    scripted_server server([&part](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write("HTTP/1.1 200 OK\r\n\r\n");
        while (!connection.wait_for_end(std::chrono::milliseconds(1))) {
            connection.write(part);
        }
    });
    constexpr int clients = 24;
    constexpr std::size_t max_bytes = 24 << 20;
    std::atomic<int> failed = 0;
    std::atomic<std::size_t> largest = 0;
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&] {
            http_client client(server.local());
            const auto answer = client.call("GET", "/", "", soon());
            largest = std::max<std::size_t>(largest, own_call_memory().reserved());
            failed += answer.ok() ? 0 : 1;
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(failed, clients);
    EXPECT_LE(largest, max_bytes);
    EXPECT_EQ(own_call_memory().reserved(), 0U);
}

TEST(http_client, an_answer_counts_until_it_is_destroyed)
{
    const std::string body(1 << 20, ' ');
    scripted_server server([&body](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ",
                                      body.size(), "\r\n\r\n", body));
    });
    {
        http_client client(server.local());
        const auto answer = client.call("GET", "/", "", soon());
        ASSERT_TRUE(answer.ok());
        EXPECT_GE(own_call_memory().reserved(), body.size());
    }
    EXPECT_EQ(own_call_memory().reserved(), 0U);
}

TEST(http_client, an_answer_whose_parsed_form_is_too_large_is_known_before_it_is_parsed)
{
    std::string body = "[[]";
    while (body.size() < 1 << 20) {
        body += ",[]";
    }
    scripted_server server([&body](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ",
                                      body.size(), "\r\n\r\n", body));
    });
    http_client client(server.local());
    const auto answer = client.call("GET", "/", "", soon());
    ASSERT_TRUE(answer.ok());
    EXPECT_FALSE(answer->reserve_parsed());
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
