#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/base/http_server.h"

#include "absl/synchronization/notification.h"

namespace sardinestream {
namespace {

constexpr int burst_connections = 400;
constexpr int client_timeout_s = 60;

std::unique_ptr<http_server> start_server(http_server_options options,
                                          httplib::Server::Handler handler)
{
    options.local = {"127.0.0.1", 0};
    options.keep_alive = absl::Seconds(1);
    std::unique_ptr<http_server> server = *http_server::create(std::move(options));
    server->routes().Get("/", std::move(handler));
    server->start();
    return server;
}

int get_status(const address& remote)
{
    httplib::Client client(remote.ip, remote.port);
    client.set_connection_timeout(client_timeout_s);
    client.set_read_timeout(client_timeout_s);
    const httplib::Result result = client.Get("/");
    return result ? result->status : -1;
}

// A connection on which a test writes and reads bytes.
class raw_caller {
public:
    explicit raw_caller(const address& remote) : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(remote.port));
        inet_pton(AF_INET, remote.ip.c_str(), &to.sin_addr);
        EXPECT_EQ(connect(this->descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)), 0);
    }
    ~raw_caller() { close(this->descriptor); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    // Returns false if the connection was reset.
    [[nodiscard]] bool write(absl::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Returns what arrives until the connection ends, with "(reset)" after it if it was reset.
    [[nodiscard]] std::string read_to_end() const
    {
        std::string bytes;
        std::array<char, 4096> buffer{};
        while (true) {
            const ssize_t received = recv(this->descriptor, buffer.data(), buffer.size(), 0);
            if (received < 0) {
                return bytes + "(reset)";
            }
            if (received == 0) {
                return bytes;
            }
            bytes.append(buffer.data(), static_cast<std::size_t>(received));
        }
    }

private:
    const int descriptor;
};

constexpr std::size_t upload_bytes = 4U << 20;
constexpr char refusal_body[] = "refused";

std::string upload_head(std::size_t size)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

bool refuse(const httplib::Request& /*request*/, httplib::Response& response)
{
    response.status = 503;
    response.set_header("Connection", "close");
    response.set_content(refusal_body, "text/plain");
    return true;
}

TEST(http_server_test, burst_of_connections_is_answered_whole)
{
    const auto server = start_server({}, [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok", "text/plain");
    });
    std::atomic<int> answered{0};
    std::vector<std::thread> callers;
    callers.reserve(burst_connections);
    for (int i = 0; i < burst_connections; ++i) {
        callers.emplace_back([&] { answered += get_status(server->local()) == 200 ? 1 : 0; });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(answered, burst_connections);
}

TEST(http_server_test, connection_beyond_the_cap_is_refused)
{
    absl::Notification entered;
    absl::Notification release;
    http_server_options options;
    options.max_connections = 1;
    options.refuse_request = [](const httplib::Request&, httplib::Response& response) {
        response.set_content("full", "text/plain");
    };
    const auto server = start_server(options, [&](const httplib::Request&, httplib::Response&) {
        entered.Notify();
        release.WaitForNotification();
    });
    std::thread first([&] { EXPECT_EQ(get_status(server->local()), 200); });
    entered.WaitForNotification();
    EXPECT_EQ(get_status(server->local()), 503);
    release.Notify();
    first.join();
}

TEST(http_server_test, a_handler_sees_that_its_caller_has_gone)
{
    absl::Notification entered;
    absl::Notification noticed;
    const auto server = start_server({}, [&](const httplib::Request&, httplib::Response&) {
        EXPECT_FALSE(caller_has_gone());
        entered.Notify();
        while (!caller_has_gone()) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        noticed.Notify();
    });
    httplib::Client client(server->local().ip, server->local().port);
    std::thread caller([&] { EXPECT_FALSE(client.Get("/")); });
    entered.WaitForNotification();
    client.stop();
    caller.join();
    EXPECT_TRUE(noticed.WaitForNotificationWithTimeout(absl::Seconds(60)));
}

TEST(http_server_test, a_refusal_reaches_a_caller_that_is_still_sending)
{
    http_server_options options;
    options.before_routes = refuse;
    const auto server = start_server(options, [](const httplib::Request&, httplib::Response&) {});
    const raw_caller caller(server->local());
    EXPECT_TRUE(caller.write(upload_head(upload_bytes)));
    EXPECT_TRUE(caller.write(std::string(upload_bytes, 'x')));
    EXPECT_THAT(caller.read_to_end(), ::testing::EndsWith(refusal_body));
}

TEST(http_server_test, the_body_of_a_refused_request_is_not_taken_for_another_request)
{
    http_server_options options;
    options.before_routes = refuse;
    std::atomic<int> handled{0};
    const auto server =
        start_server(options, [&](const httplib::Request&, httplib::Response&) { ++handled; });
    const std::string body = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const raw_caller caller(server->local());
    EXPECT_TRUE(caller.write(upload_head(body.size()) + body));
    const std::string answers = caller.read_to_end();
    EXPECT_EQ(answers.find("HTTP/1.1"), answers.rfind("HTTP/1.1")) << answers;
}

TEST(http_server_test, a_request_of_which_half_has_arrived_counts)
{
    const auto server = start_server({}, [](const httplib::Request&, httplib::Response&) {});
    const raw_caller caller(server->local());
    const std::string body = "0123456789";
    EXPECT_EQ(server->requests(), 0);
    EXPECT_TRUE(caller.write(upload_head(body.size()) + body.substr(5)));
    while (server->requests() == 0) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    EXPECT_TRUE(caller.write(body.substr(0, 5)));
    EXPECT_THAT(caller.read_to_end(), ::testing::StartsWith("HTTP/1.1 404"));
    while (server->requests() != 0) {
        absl::SleepFor(absl::Milliseconds(1));
    }
}

TEST(http_server_test, second_listener_on_the_address_fails)
{
    const auto server = start_server({}, [](const httplib::Request&, httplib::Response&) {});
    EXPECT_FALSE(http_server::create({.local = server->local()}).ok());
}

TEST(http_server_test, half_a_head_delays_no_stop_beyond_its_deadline)
{
    using std::chrono::steady_clock;
    const auto server = start_server({}, [](const httplib::Request&, httplib::Response&) {});
    {
        const raw_caller caller(server->local());
        EXPECT_TRUE(caller.write("GET / HT"));
        while (server->requests() == 0) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        const auto begun = steady_clock::now();
        EXPECT_FALSE(server->stop_accepting(begun + std::chrono::milliseconds(100)));
        EXPECT_LT(steady_clock::now() - begun, std::chrono::seconds(2));
    }
    server->stop();
    EXPECT_EQ(server->connections(), 0);
}

TEST(http_server_test, stop_lets_a_handler_finish)
{
    absl::Notification entered;
    absl::Notification release;
    const auto server = start_server({}, [&](const httplib::Request&, httplib::Response&) {
        entered.Notify();
        release.WaitForNotification();
    });
    std::thread caller([&] { EXPECT_EQ(get_status(server->local()), 200); });
    entered.WaitForNotification();
    std::thread stopping([&] { server->stop(); });
    release.Notify();
    caller.join();
    stopping.join();
}

} // namespace
} // namespace sardinestream
