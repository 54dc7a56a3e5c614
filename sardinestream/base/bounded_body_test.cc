#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/base/bounded_body.h"

namespace sardinestream {
namespace {

constexpr std::size_t megabyte = 1 << 20;

TEST(bounded_body, keeps_a_body_within_its_limit)
{
    bounded_body body(8);
    EXPECT_TRUE(body.append("1234"));
    EXPECT_TRUE(body.append("5678"));
    EXPECT_FALSE(body.append("9"));
    EXPECT_EQ(body.take(), "12345678");
}

// Guards against many endless answers that are each within their limit.
TEST(bounded_body, all_bodies_together_have_a_limit)
{
    const std::string part(megabyte, 'x');
    constexpr std::size_t max_each = 24 * megabyte;
    bounded_body first(max_each);
    int kept = 0;
    {
        bounded_body second(max_each);
        while (first.append(part) && second.append(part)) {
            ++kept;
        }
        EXPECT_EQ(kept, 16);
    }
    EXPECT_TRUE(first.append(part));
}

// Guards against a call that the library reads without a limit.
TEST(bounded_body, ends_a_call_whose_answer_is_too_long)
{
    httplib::Server server;
    server.Get("/", [](const httplib::Request&, httplib::Response& response) {
        response.set_chunked_content_provider("text/plain",
                                              [](std::size_t, httplib::DataSink& sink) {
                                                  const std::string part(65536, 'x');
                                                  return sink.write(part.data(), part.size());
                                              });
    });
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread serving([&server] { server.listen_after_bind(); });
    bounded_body body(megabyte);
    httplib::Request request;
    request.method = "GET";
    request.path = "/";
    request.content_receiver = body.receiver();
    httplib::Client client("127.0.0.1", port);
    const httplib::Result result = client.send(request);
    EXPECT_EQ(result.error(), httplib::Error::Canceled);
    EXPECT_LE(body.take().size(), megabyte);
    server.stop();
    serving.join();
}

} // namespace
} // namespace sardinestream
