#include <gtest/gtest.h>

#include "sardinestream/http/http_service.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// More than the buffers of both ends of a connection hold.
constexpr std::size_t page_bytes = 8U << 20U;
constexpr std::size_t surplus_bytes = 64U << 10U;
constexpr milliseconds reading_delay{200};

steady_time soon()
{
    return steady_clock::now() + std::chrono::seconds(8);
}

// Guards against a page whose end is lost because unread input makes the close a reset.
TEST(http_service_test, a_page_is_whole_although_input_behind_its_request_is_unread)
{
    const absl::StatusOr<std::unique_ptr<http_service>> service =
        http_service::start({"127.0.0.1", 0}, [](const http_request_head&) {
            return http_answer{200, {}, std::string(page_bytes, 'p')};
        });
    ASSERT_TRUE(service.ok());
    tcp_socket socket = *tcp_socket::connect((*service)->local(), soon(), {});
    ASSERT_TRUE(socket
                    .write_all("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
                                   std::string(surplus_bytes, 'x'),
                               soon(), {})
                    .ok());
    std::this_thread::sleep_for(reading_delay);
    message_reader reader(socket);
    ASSERT_TRUE(reader.read_response_head(message_limits(), false, soon(), {}).ok());
    std::string body;
    const absl::Status read = reader.read_body(2 * page_bytes, body, soon(), {});
    EXPECT_TRUE(read.ok()) << read;
    EXPECT_EQ(body.size(), page_bytes);
}

// Guards against a page behind the head that answers a HEAD request.
TEST(http_service_test, an_answer_to_a_head_request_ends_with_its_head)
{
    const absl::StatusOr<std::unique_ptr<http_service>> service =
        http_service::start({"127.0.0.1", 0}, [](const http_request_head&) {
            return http_answer{200, {}, "page"};
        });
    ASSERT_TRUE(service.ok());
    tcp_socket socket = *tcp_socket::connect((*service)->local(), soon(), {});
    message_reader reader(socket);
    std::string body;
    ASSERT_TRUE(socket.write_all("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", soon(), {}).ok());
    ASSERT_TRUE(reader.read_response_head(message_limits(), true, soon(), {}).ok());
    ASSERT_TRUE(socket.write_all("GET / HTTP/1.1\r\nHost: h\r\n\r\n", soon(), {}).ok());
    ASSERT_TRUE(reader.read_response_head(message_limits(), false, soon(), {}).ok());
    ASSERT_TRUE(reader.read_body(page_bytes, body, soon(), {}).ok());
    EXPECT_EQ(body, "page");
}

} // namespace
} // namespace sardinestream
