// Tests that callers get every answer whole however their connection ends: after an answer, around
// a stop, or with input that is not read.

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// More than the buffers of both ends of a connection hold.
constexpr std::size_t long_answer_bytes = 8U << 20U;
constexpr std::size_t pipelined_bytes = 64U << 10U;
// A caller that reads its answer late.
constexpr milliseconds reading_delay{200};
// Far less than what is reserved for final answers and the exit.
constexpr milliseconds max_answer_delay{400};
constexpr char last_chunk[] = "0\r\n\r\n";

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: piece ", id, "\n\n");
}

// Returns the descriptor of this process whose connection leads to `peer`, or -1.
int descriptor_connected_to(const tcp_socket& peer)
{
    sockaddr_in wanted{};
    socklen_t length = sizeof(wanted);
    ::getsockname(peer.descriptor(), reinterpret_cast<sockaddr*>(&wanted), &length);
    constexpr int most_descriptors = 1024;
    for (int fd = 0; fd < most_descriptors; ++fd) {
        sockaddr_in found{};
        length = sizeof(found);
        if (::getpeername(fd, reinterpret_cast<sockaddr*>(&found), &length) == 0 &&
            found.sin_family == AF_INET && found.sin_port == wanted.sin_port) {
            return fd;
        }
    }
    return -1;
}

class closing_connections_test : public frontend_test {
protected:
    static scripted_server::script serving(const std::string& body)
    {
        return [body](scripted_connection& connection) {
            while (connection.read_request()) {
                connection.write(answer_to(connection, body));
            }
        };
    }

    static caller_answer read_long_answer(message_reader& reader)
    {
        caller_answer answer;
        absl::StatusOr<http_response_head> head =
            reader.read_response_head(message_limits(), false, soon(), {});
        if (!head.ok()) {
            answer.end = head.status();
            return answer;
        }
        answer.head = *std::move(head);
        answer.end = reader.read_body(2 * long_answer_bytes, answer.body, soon(), {});
        return answer;
    }

    // Returns whether the peer ends the connection in order, without a reset.
    static bool ends_in_order(message_reader& reader)
    {
        return absl::IsNotFound(reader.wait_for_message(soon()));
    }
};

// Guards against the end of an answer that is lost because unread input makes the close a reset.
TEST_F(closing_connections_test, an_answer_is_whole_although_input_behind_its_request_is_unread)
{
    const std::string body(long_answer_bytes, 'a');
    scripted_server server(serving(body));
    this->use({&server});
    tcp_socket socket = this->connect();
    std::string request = request_text("/pay/", "r1");
    request.insert(request.find("Id: "), "Connection: close\r\n");
    ASSERT_TRUE(socket.write_all(request + std::string(pipelined_bytes, 'x'), soon(), {}).ok());
    std::this_thread::sleep_for(reading_delay);
    message_reader reader(socket);
    const caller_answer answer = read_long_answer(reader);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body.size(), body.size());
    EXPECT_TRUE(ends_in_order(reader));
    this->channels.close_stale({});
}

// Guards against a next request that is lost although the head of the answer promised to read it.
TEST_F(closing_connections_test, a_promised_connection_takes_the_next_request_during_a_stop)
{
    std::atomic<bool> next_sent = false;
    scripted_server server([&](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(stream_head(connection) + chunk(event(1)));
            while (!next_sent) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            connection.write(chunk(event(2)) + last_chunk);
        }
    });
    this->use({&server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket.write_all(request_text("/tell/", "r1"), soon(), {}).ok());
    message_reader reader(socket);
    const absl::StatusOr<http_response_head> head =
        reader.read_response_head(message_limits(), false, soon(), {});
    ASSERT_TRUE(head.ok());
    EXPECT_TRUE(head->keeps_alive());
    std::thread stopper([this] { this->stop(); });
    while (!this->stopping) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    ASSERT_TRUE(socket.write_all(request_text("/tell/", "r2"), soon(), {}).ok());
    std::this_thread::sleep_for(milliseconds(50));
    next_sent = true;
    std::string body;
    const absl::Status read = reader.read_body(1 << 20, body, soon(), {});
    EXPECT_TRUE(read.ok()) << read;
    EXPECT_EQ(body, event(1) + event(2));
    const caller_answer next = read_answer(reader);
    EXPECT_TRUE(next.end.ok()) << next.end;
    EXPECT_EQ(next.body, event(1) + event(2));
    EXPECT_FALSE(next.head.keeps_alive());
    EXPECT_TRUE(ends_in_order(reader));
    stopper.join();
    this->channels.close_stale({});
}

// Guards against a connection that is closed while the next request is on its way.
TEST_F(closing_connections_test, a_request_just_behind_an_answer_is_served_during_a_stop)
{
    scripted_server server(serving("served"));
    this->use({&server});
    tcp_socket socket = this->connect();
    message_reader reader(socket);
    ASSERT_TRUE(socket.write_all(request_text("/pay/", "r1").substr(0, 10), soon(), {}).ok());
    while (this->served->connections() == 0) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    this->served->stop_accepting();
    ASSERT_TRUE(socket.write_all(request_text("/pay/", "r1").substr(10), soon(), {}).ok());
    const caller_answer first = read_answer(reader);
    EXPECT_EQ(first.body, "served");
    EXPECT_TRUE(first.head.keeps_alive());
    this->stopping = true;
    std::this_thread::sleep_for(milliseconds(20));
    (void)socket.write_all(request_text("/pay/", "r2"), soon(), {});
    const caller_answer next = read_answer(reader);
    EXPECT_TRUE(next.end.ok()) << next.end;
    EXPECT_EQ(next.body, "served");
    EXPECT_FALSE(next.head.keeps_alive());
    this->channels.close_stale({});
}

// Guards against uploads that a process leaves half read, without an answer, when it ends.
TEST_F(closing_connections_test, an_upload_that_outlasts_a_stop_is_refused_before_its_end)
{
    const std::string head = "POST /pay/ HTTP/1.1\r\nHost: shop\r\nKey: k\r\nId: r1\r\n";
    for (const std::string& begun :
         {std::string("POST /pay/ HTT"), head + "Content-Length: 1000\r\n\r\nfirst",
          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"}) {
        scripted_server server(serving("served"));
        this->use({&server});
        tcp_socket socket = this->connect();
        message_reader reader(socket);
        ASSERT_TRUE(socket.write_all(begun, soon(), {}).ok());
        std::this_thread::sleep_for(milliseconds(50));
        this->ends_at = steady_clock::now() + milliseconds(400);
        std::thread stopper([this] { this->stop(); });
        const caller_answer answer = read_answer(reader);
        EXPECT_EQ(answer.head.status, 503) << begun;
        EXPECT_TRUE(find_header(answer.head.headers, "Retry-After").has_value());
        EXPECT_FALSE(answer.head.keeps_alive());
        EXPECT_TRUE(ends_in_order(reader));
        socket.close();
        stopper.join();
        EXPECT_EQ(server.connections(), 0);
        this->stopping = false;
        this->ends_at = steady_time::max();
        this->open();
    }
}

// Guards against an upload of which a process that ends leaves no line.
TEST_F(closing_connections_test, an_upload_is_listed_as_open_from_its_head_on)
{
    scripted_server server(serving("served"));
    this->use({&server});
    tcp_socket socket = this->connect();
    message_reader reader(socket);
    const std::string request = request_text("/read/", "r1");
    ASSERT_TRUE(socket.write_all(request.substr(0, request.size() - 1), soon(), {}).ok());
    std::this_thread::sleep_for(reading_delay);
    const std::vector<open_request> open = this->in_progress.list();
    ASSERT_EQ(open.size(), 1U);
    EXPECT_EQ(open.front().id, "r1");
    EXPECT_EQ(name_of(open.front().phase), "reading");
    ASSERT_TRUE(socket.write_all(request.substr(request.size() - 1), soon(), {}).ok());
    EXPECT_EQ(read_answer(reader).body, "served");
    this->stop();
    EXPECT_EQ(this->in_progress.size(), 0U);
    this->channels.close_stale({});
}

// Guards against uploads that are refused although they arrive while there is time.
TEST_F(closing_connections_test, an_upload_that_arrives_during_a_stop_is_served)
{
    scripted_server server(serving("served"));
    this->use({&server});
    tcp_socket socket = this->connect();
    message_reader reader(socket);
    const std::string request = request_text("/read/", "r1");
    ASSERT_TRUE(socket.write_all(request.substr(0, request.size() - 1), soon(), {}).ok());
    std::this_thread::sleep_for(milliseconds(50));
    this->ends_at = steady_clock::now() + milliseconds(3500);
    std::thread stopper([this] { this->stop(); });
    std::this_thread::sleep_for(milliseconds(1000));
    ASSERT_TRUE(socket.write_all(request.substr(request.size() - 1), soon(), {}).ok());
    const caller_answer answer = read_answer(reader);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, "served");
    stopper.join();
    this->channels.close_stale({});
}

// Guards against a stream that looks complete because the process ends while its caller reads
// slowly.
TEST_F(closing_connections_test, a_stream_without_chunks_ends_with_a_reset_if_the_process_ends)
{
    const std::shared_ptr<desired_state> changed = make_state();
    for (route& each : changed->routes) {
        each.timeout = milliseconds(800);
    }
    changed->index_routes();
    this->state = changed;
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection));
        constexpr int many_events = 10;
        for (int id = 1; id <= many_events; ++id) {
            connection.write(chunk(absl::StrCat(
                "id: ", id, "\ndata: ", std::string(long_answer_bytes / many_events, 'x'),
                "\n\n")));
        }
        connection.write(last_chunk);
    });
    this->use({&server});
    tcp_socket socket = this->connect();
    std::string request = request_text("/tell/", "r1");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    ASSERT_TRUE(socket.write_all(request, soon(), {}).ok());
    wait_for_input(socket.descriptor(), {}, soon());
    std::this_thread::sleep_for(reading_delay);
    // Closes the connection as the kernel does when a process ends.
    const int caller_descriptor = descriptor_connected_to(socket);
    ASSERT_GE(caller_descriptor, 0);
    const tcp_socket nothing(::open("/dev/null", O_RDWR | O_CLOEXEC));
    ASSERT_GE(::dup3(nothing.descriptor(), caller_descriptor, O_CLOEXEC), 0);
    this->stop();
    message_reader reader(socket);
    const caller_answer answer = read_long_answer(reader);
    EXPECT_LT(answer.body.size(), long_answer_bytes);
    EXPECT_TRUE(absl::IsUnavailable(answer.end)) << answer.end;
}

// Guards against a whole stream whose end is lost because its connection is reset.
TEST_F(closing_connections_test, a_whole_stream_without_chunks_ends_in_order)
{
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection) + chunk(event(1) + event(2)) + last_chunk);
    });
    this->use({&server});
    tcp_socket socket = this->connect();
    std::string request = request_text("/tell/", "r1");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    ASSERT_TRUE(socket.write_all(request, soon(), {}).ok());
    std::this_thread::sleep_for(reading_delay);
    message_reader reader(socket);
    const caller_answer answer = read_long_answer(reader);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body, event(1) + event(2));
}

// Guards against answers that are owed until after the end of the process, because their server
// stopped midway before the stop began.
TEST_F(closing_connections_test, a_stop_answers_a_request_whose_server_stalls_in_its_answer)
{
    for (const bool has_head : {false, true}) {
        std::atomic<bool> stalls = false;
        scripted_server server([&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            const std::string answer = answer_to(connection, "answer");
            connection.write(answer.substr(0, has_head ? answer.size() - 1 : answer.size() / 2));
            stalls = true;
            (void)connection.wait_for_end(milliseconds(6000));
        });
        this->use({&server});
        tcp_socket socket = this->connect();
        ASSERT_TRUE(socket.write_all(request_text("/pay/", "r1"), soon(), {}).ok());
        while (!stalls) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        std::this_thread::sleep_for(reading_delay);
        const steady_time ends = steady_clock::now() + milliseconds(900);
        this->ends_at = ends;
        message_reader reader(socket);
        EXPECT_EQ(read_answer(reader).head.status, 504) << has_head;
        EXPECT_LT(steady_clock::now(), ends + max_answer_delay) << has_head;
        this->ends_at = steady_time::max();
    }
}

// Guards against an answer that is owed until after the end of the process, because its server had
// stopped reading the request before the stop began.
TEST_F(closing_connections_test, a_stop_answers_a_request_that_its_server_does_not_read)
{
    constexpr std::size_t long_body_bytes = 12U << 20U;
    const std::shared_ptr<desired_state> changed = make_state();
    changed->limits.body_bytes = long_body_bytes;
    this->state = changed;
    std::atomic<bool> over = false;
    std::atomic<bool> reached = false;
    scripted_server server([&](scripted_connection&) {
        reached = true;
        while (!over) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    });
    this->use({&server});
    tcp_socket socket = this->connect();
    const std::string text =
        absl::StrCat("POST /pay/ HTTP/1.1\r\nHost: shop\r\nId: r1\r\nKey: k\r\nContent-Length: ",
                     long_body_bytes, "\r\n\r\n", std::string(long_body_bytes, 'x'));
    ASSERT_TRUE(socket.write_all(text, soon(), {}).ok());
    while (!reached) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_for(reading_delay);
    const steady_time ends = steady_clock::now() + milliseconds(900);
    this->ends_at = ends;
    message_reader reader(socket);
    EXPECT_EQ(read_answer(reader).head.status, 504);
    EXPECT_LT(steady_clock::now(), ends + max_answer_delay);
    over = true;
}

// Guards against a request without an answer because the connection to its server is still being
// made at the end of a stop.
TEST_F(closing_connections_test, a_stop_answers_a_request_whose_server_cannot_be_reached)
{
    // Its queue of connections is full, so that further ones get no reply.
    const tcp_socket full(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(local);
    ASSERT_EQ(::bind(full.descriptor(), reinterpret_cast<sockaddr*>(&local), length), 0);
    ASSERT_EQ(::listen(full.descriptor(), 0), 0);
    ASSERT_EQ(::getsockname(full.descriptor(), reinterpret_cast<sockaddr*>(&local), &length), 0);
    backend_server server;
    server.id = "s0";
    server.service = "service";
    server.slots = 4;
    server.born_ms = 1;
    server.endpoint = {"127.0.0.1", ::ntohs(local.sin_port)};
    std::vector<tcp_socket> queued;
    absl::Status last;
    while (last.ok()) {
        absl::StatusOr<tcp_socket> one =
            tcp_socket::connect(server.endpoint, steady_clock::now() + milliseconds(100), {});
        last = one.status();
        if (one.ok()) {
            queued.push_back(*std::move(one));
        }
    }
    ASSERT_TRUE(absl::IsDeadlineExceeded(last)) << last;
    this->servers.set_servers({server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket.write_all(request_text("/pay/", "r1"), soon(), {}).ok());
    std::this_thread::sleep_for(reading_delay);
    const steady_time ends = steady_clock::now() + milliseconds(200);
    this->ends_at = ends;
    message_reader reader(socket);
    EXPECT_EQ(read_answer(reader).head.status, 503);
    EXPECT_LT(steady_clock::now(), ends + max_answer_delay);
}

// Guards against an answer that is cut because its caller reads on after the end of a stop.
TEST_F(closing_connections_test, an_answer_is_written_on_for_a_caller_that_reads_after_a_stop)
{
    const std::string body(long_answer_bytes, 'a');
    scripted_server server(serving(body));
    this->use({&server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket.write_all(request_text("/pay/", "r1"), soon(), {}).ok());
    wait_for_input(socket.descriptor(), {}, soon());
    this->ends_at = steady_clock::now();
    std::thread stopper([this] { this->stop(); });
    std::this_thread::sleep_for(milliseconds(1000));
    message_reader reader(socket);
    const caller_answer answer = read_long_answer(reader);
    EXPECT_TRUE(answer.end.ok()) << answer.end;
    EXPECT_EQ(answer.body.size(), body.size());
    stopper.join();
    this->channels.close_stale({});
}

} // namespace
} // namespace sardinestream
