// Tests that the bodies of all requests together stay within the memory for messages.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t body_bytes = 3U << 20U;
constexpr milliseconds work_time{1200};

class request_memory_test : public frontend_test {
protected:
    // Sends a request with a large body, in one piece or in chunks. Returns the answer.
    caller_answer send_large(absl::string_view id, bool chunked)
    {
        tcp_socket socket = this->connect();
        const std::string head =
            absl::StrCat("POST /pay/ HTTP/1.1\r\nHost: shop\r\nKey: k\r\nId: ", id, "\r\n",
                         chunked ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                                 : absl::StrCat("Content-Length: ", body_bytes, "\r\n\r\n"));
        const std::string body(body_bytes, 'b');
        // A refusal may come before the whole body is written.
        (void)socket.write_until_answer(head + (chunked ? chunk(body) + "0\r\n\r\n" : body), soon(),
                                        {});
        message_reader reader(socket);
        return read_answer(reader);
    }
};

// Guards against a process that exceeds its memory with request bodies that are within the limits.
TEST_F(request_memory_test, requests_for_which_there_is_no_memory_are_refused_at_once)
{
    constexpr int callers = 10;
    for (const bool chunked : {false, true}) {
        std::atomic<std::size_t> held = 0;
        std::atomic<std::size_t> most_held = 0;
        scripted_server server([&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            EXPECT_EQ(connection.body.size(), body_bytes);
            held += body_bytes;
            most_held = std::max<std::size_t>(most_held, held);
            std::this_thread::sleep_for(work_time);
            held -= body_bytes;
            connection.write(answer_to(connection, "served"));
        });
        this->servers.set_servers({});
        std::vector<const scripted_server*> used(callers, &server);
        this->use(used);
        std::atomic<int> served = 0;
        std::atomic<int> refused = 0;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&, i] {
                const steady_time begun = steady_clock::now();
                const caller_answer answer = this->send_large(absl::StrCat("r", i), chunked);
                served += answer.head.status == 200 ? 1 : 0;
                if (answer.head.status == 503) {
                    ++refused;
                    EXPECT_TRUE(find_header(answer.head.headers, "Retry-After").has_value());
                    EXPECT_LT(steady_clock::now() - begun, work_time);
                }
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        EXPECT_EQ(served + refused, callers);
        EXPECT_GE(served, 2);
        EXPECT_GE(refused, 1);
        EXPECT_LE(most_held, max_memory_bytes);
        EXPECT_EQ(this->send_large("later", chunked).head.status, 200);
    }
}

} // namespace
} // namespace sardinestream
