// The whole path over real sockets: a caller, the front, scripted servers.

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/forwarding/front.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

steady_time soon()
{
    return steady_clock::now() + std::chrono::seconds(8);
}

// A wire protocol of the test's own: `Id`, `Key`, `Signed`, `Never-Ran`, `After`.
wire_protocol test_protocol()
{
    wire_protocol protocol;
    protocol.decode_request = [](const http_request_head& head) -> absl::StatusOr<caller_request> {
        caller_request request;
        request.id = std::string(find_header(head.headers, "Id").value_or(""));
        request.key = std::string(find_header(head.headers, "Key").value_or(""));
        request.method = head.method;
        request.target = head.target;
        request.host = std::string(find_header(head.headers, "Host").value_or(""));
        request.keeps_alive = head.keeps_alive();
        request.headers = {{"Host", request.host}, {"Id", request.id}};
        return request;
    };
    protocol.encode_headers = [](const caller_request& request, const attempt_details& details) {
        http_headers headers = request.headers;
        headers.push_back({"Team", details.team});
        headers.push_back({"After", details.resume_after});
        return headers;
    };
    protocol.decode_answer = [](const http_response_head& head) {
        answer_marks marks;
        marks.request_id = std::string(find_header(head.headers, "Id").value_or(""));
        marks.is_signed = find_header(head.headers, "Signed").has_value();
        marks.never_ran = find_header(head.headers, "Never-Ran").has_value();
        marks.wrong_server = head.status == 421;
        return marks;
    };
    protocol.own_answer_headers = [](const caller_request& request) {
        return http_headers{{"Id", request.id}};
    };
    return protocol;
}

route make_route(const std::string& prefix, request_kind kind)
{
    route made;
    made.name = prefix;
    made.host = "shop";
    made.path_prefix = prefix;
    made.kind = kind;
    made.resumable = kind == request_kind::streaming;
    made.services = {{"service", 1}};
    made.timeout = milliseconds(4000);
    made.latency_target = milliseconds(300);
    made.most_attempts = 2;
    return made;
}

std::shared_ptr<desired_state> make_state()
{
    auto state = std::make_shared<desired_state>();
    state->version = 1;
    state->routes = {make_route("/read/", request_kind::idempotent),
                     make_route("/pay/", request_kind::non_idempotent),
                     make_route("/tell/", request_kind::streaming)};
    state->has_teams = true;
    state->teams_by_key["k"] = {"growers", -1};
    state->index_routes();
    return state;
}

std::string answer_to(const scripted_connection& connection, absl::string_view body)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: ",
                        find_header(connection.head.headers, "Id").value_or(""),
                        "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

class front_test : public testing::Test {
protected:
    front_test() : protocol(test_protocol()) { this->open(); }
    void TearDown() override { this->stop(); }

    void open()
    {
        forwarding_services services{this->protocol, this->servers, this->channels,
                                     [this](const std::string&) { return this->budget-- > 0; },
                                     [this] { return this->stopping.load(); }};
        front_hooks hooks;
        hooks.current_state = [this] { return this->state; };
        hooks.on_admitted = [](const std::string&) {};
        this->served = *front::start({"127.0.0.1", 0}, std::move(services), std::move(hooks));
    }

    void stop()
    {
        this->stopping = true;
        this->served->stop_accepting();
        this->served->wait_until_idle(absl::Now() + absl::Seconds(10));
    }

    void use(const std::vector<const scripted_server*>& scripted)
    {
        std::vector<backend_server> list;
        for (const scripted_server* const one : scripted) {
            backend_server server;
            server.id = absl::StrCat("s", list.size());
            server.service = "service";
            server.slots = 4;
            server.endpoint = one->local();
            list.push_back(server);
        }
        this->servers.set_servers(list);
    }

    tcp_socket connect() { return *tcp_socket::connect(this->served->local(), soon(), {}); }

    static std::string request_text(absl::string_view target, absl::string_view id,
                                    absl::string_view key = "k")
    {
        return absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: shop\r\nId: ", id,
                            "\r\nKey: ", key, "\r\nContent-Length: 2\r\n\r\n{}");
    }

    struct caller_answer {
        http_response_head head;
        std::string body;
        absl::Status end;
    };

    static caller_answer read_answer(message_reader& reader)
    {
        caller_answer answer;
        absl::StatusOr<http_response_head> head =
            reader.read_response_head(message_limits(), false, soon(), {});
        if (!head.ok()) {
            answer.end = head.status();
            return answer;
        }
        answer.head = *std::move(head);
        answer.end = reader.read_body(1 << 20, answer.body, soon(), {});
        return answer;
    }

    caller_answer call(absl::string_view target, absl::string_view id, absl::string_view key = "k")
    {
        tcp_socket socket = this->connect();
        EXPECT_TRUE(socket.write_all(request_text(target, id, key), soon(), {}).ok());
        message_reader reader(socket);
        return read_answer(reader);
    }

    const wire_protocol protocol;
    dispatcher servers{dispatcher_options{}};
    channel_pool channels;
    std::shared_ptr<const desired_state> state = make_state();
    std::atomic<int> budget = 100;
    std::atomic<bool> stopping = false;
    std::unique_ptr<front> served;
};

TEST_F(front_test, passes_request_and_answer_on)
{
    std::string seen;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        seen = absl::StrCat(connection.head.method, " ", connection.head.target, " ",
                            *find_header(connection.head.headers, "Team"), " ", connection.body);
        connection.write(answer_to(connection, "stock"));
    });
    this->use({&server});
    const caller_answer answer = this->call("/read/1", "r1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, "stock");
    EXPECT_EQ(seen, "POST /read/1 growers {}");
}

TEST_F(front_test, refuses_unknown_routes_and_keys)
{
    EXPECT_EQ(this->call("/none/", "r1").head.status, 404);
    EXPECT_EQ(this->call("/read/", "r2", "wrong").head.status, 401);
}

TEST_F(front_test, says_not_run_where_no_server_was_reached)
{
    const caller_answer answer = this->call("/pay/", "r1");
    EXPECT_EQ(answer.head.status, 503);
    EXPECT_TRUE(find_header(answer.head.headers, "Retry-After").has_value());
    EXPECT_TRUE(absl::StrContains(answer.body, "not_run"));
}

TEST_F(front_test, never_repeats_a_payment_after_a_reset)
{
    std::atomic<int> runs = 0;
    const auto lose = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++runs;
        connection.reset();
    };
    scripted_server first(lose);
    scripted_server second(lose);
    this->use({&first, &second});
    EXPECT_EQ(this->call("/pay/", "r1").head.status, 502);
    EXPECT_EQ(runs, 1);
}

TEST_F(front_test, repeats_a_payment_that_the_server_says_it_did_not_run)
{
    std::atomic<int> asked = 0;
    const auto shed_first = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (asked++ == 0) {
            connection.write("HTTP/1.1 503 Full\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        connection.write(answer_to(connection, "paid"));
    };
    scripted_server first(shed_first);
    scripted_server second(shed_first);
    this->use({&first, &second});
    EXPECT_EQ(this->call("/pay/", "r1").body, "paid");
}

// Servers of a group that is forming refuse everything for a moment; the request must wait for them
// instead of ending refused.
TEST_F(front_test, waits_for_a_server_that_refuses_for_a_moment)
{
    std::atomic<int> asked = 0;
    scripted_server server([&](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(asked++ < 2
                                 ? "HTTP/1.1 503 Full\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                                 : answer_to(connection, "paid"));
        }
    });
    this->use({&server});
    EXPECT_EQ(this->call("/pay/", "r1").body, "paid");
    EXPECT_EQ(asked, 3);
}

TEST_F(front_test, repeats_a_lookup_after_a_reset)
{
    std::atomic<int> asked = 0;
    const auto lose_first = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        if (asked++ == 0) {
            connection.reset();
            return;
        }
        connection.write(answer_to(connection, "stock"));
    };
    scripted_server first(lose_first);
    scripted_server second(lose_first);
    this->use({&first, &second});
    EXPECT_EQ(this->call("/read/", "r1").body, "stock");
}

TEST_F(front_test, repeats_nothing_without_budget)
{
    this->budget = 0;
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.reset();
    });
    this->use({&server});
    EXPECT_EQ(this->call("/read/", "r1").head.status, 502);
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(front_test, drops_the_late_answer_to_another_request)
{
    scripted_server server([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(
                "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: other\r\nContent-Length: 5\r\n\r\n"
                "wrong");
            connection.write(answer_to(connection, "right"));
        }
    });
    this->use({&server});
    EXPECT_EQ(this->call("/read/", "r1").body, "right");
    EXPECT_EQ(this->call("/read/", "r2").body, "right");
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(front_test, never_passes_on_a_success_without_signature)
{
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse");
    });
    this->use({&server});
    EXPECT_EQ(this->call("/pay/", "r1").head.status, 502);
}

TEST_F(front_test, a_cut_answer_is_never_whole_to_the_caller)
{
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 50\r\n\r\nhalf");
    });
    this->use({&server});
    EXPECT_EQ(this->call("/pay/", "r1").head.status, 502);
}

std::string stream_head(const scripted_connection& connection)
{
    return absl::StrCat(
        "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: ", *find_header(connection.head.headers, "Id"),
        "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
}

std::string chunk(absl::string_view text)
{
    return absl::StrCat(absl::Hex(text.size()), "\r\n", text, "\r\n");
}

TEST_F(front_test, a_stream_goes_on_at_another_server_after_its_last_event)
{
    std::atomic<int> asked = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection));
        if (asked++ == 0) {
            connection.write(chunk("id: 1\ndata: a\n\nid: 2\nda"));
            std::this_thread::sleep_for(milliseconds(50));
            connection.reset();
            return;
        }
        EXPECT_EQ(*find_header(connection.head.headers, "After"), "1");
        connection.write(chunk("id: 2\ndata: b\n\n"));
        connection.write("0\r\n\r\n");
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_TRUE(answer.end.ok());
    EXPECT_EQ(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(front_test, a_stream_that_cannot_go_on_is_visibly_incomplete)
{
    this->budget = 0;
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        connection.write(stream_head(connection));
        connection.write(chunk("id: 1\ndata: a\n\n"));
        std::this_thread::sleep_for(milliseconds(50));
        connection.reset();
    });
    this->use({&server});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_FALSE(answer.end.ok());
}

TEST_F(front_test, frees_the_server_when_the_caller_hangs_up)
{
    std::atomic<bool> freed = false;
    scripted_server server([&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        freed = connection.wait_for_end(milliseconds(3000));
    });
    this->use({&server});
    {
        tcp_socket socket = this->connect();
        ASSERT_TRUE(socket.write_all(request_text("/tell/", "r1"), soon(), {}).ok());
        std::this_thread::sleep_for(milliseconds(100));
    }
    const steady_time end = steady_clock::now() + milliseconds(1000);
    while (!freed && steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    EXPECT_TRUE(freed);
}

TEST_F(front_test, rejects_a_smuggled_body_and_closes)
{
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket
                    .write_all("POST /pay/ HTTP/1.1\r\nHost: shop\r\nId: r\r\nContent-Length: 4\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                               soon(), {})
                    .ok());
    message_reader reader(socket);
    const caller_answer answer = read_answer(reader);
    EXPECT_EQ(answer.head.status, 400);
    EXPECT_FALSE(answer.head.keeps_alive());
}

// A request that comes on an idle connection just as the front stops must be answered: it was once
// taken for one whose caller has gone.
TEST_F(front_test, answers_a_request_that_crosses_the_stop)
{
    scripted_server server([](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        std::this_thread::sleep_for(milliseconds(300));
        connection.write(answer_to(connection, "late"));
    });
    this->use({&server});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket.write_all(request_text("/pay/", "r1"), soon(), {}).ok());
    std::this_thread::sleep_for(milliseconds(50));
    std::thread stopper([this] { this->stop(); });
    message_reader reader(socket);
    const caller_answer answer = read_answer(reader);
    stopper.join();
    EXPECT_EQ(answer.body, "late");
    EXPECT_FALSE(answer.head.keeps_alive());
}

TEST_F(front_test, closes_idle_connections_when_it_stops)
{
    tcp_socket socket = this->connect();
    std::this_thread::sleep_for(milliseconds(50));
    const steady_time begun = steady_clock::now();
    this->stop();
    EXPECT_LT(steady_clock::now() - begun, std::chrono::seconds(2));
}

} // namespace
} // namespace sardinestream
