// Test fixture for the complete request path over real sockets: a caller, the frontend and scripted
// servers.

#ifndef SARDINESTREAM_FORWARDING_FRONTEND_FIXTURE_H_
#define SARDINESTREAM_FORWARDING_FRONTEND_FIXTURE_H_

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace sardinestream {

inline steady_time soon()
{
    return steady_clock::now() + std::chrono::seconds(8);
}

// Wire protocol for these tests; its headers are `Id`, `Key`, `Part` (of the prompt), `Prompt` (its
// tokens), `Signed`, `Version` (of the weights), `Instance`, `Never-Ran`, `After` (the last event),
// `Leaving`, and `Retry-After` in milliseconds.
inline wire_protocol test_protocol()
{
    wire_protocol protocol;
    protocol.decode_request = [](const http_request_head& head) -> absl::StatusOr<caller_request> {
        caller_request request;
        request.id = std::string(find_header(head.headers, "Id").value_or(""));
        request.key = std::string(find_header(head.headers, "Key").value_or(""));
        request.method = head.method;
        request.target = head.target;
        request.host = std::string(find_header(head.headers, "Host").value_or(""));
        request.keep_alive = head.keeps_alive();
        request.accepts_chunked = head.version >= 11;
        request.expects_version = find_header(head.headers, "Version").has_value();
        request.resume_after = header_or_empty(head.headers, "After");
        (void)absl::SimpleAtoi(header_or_empty(head.headers, "Prompt"), &request.prompt_tokens);
        request.headers = {{"Host", request.host}, {"Id", request.id}};
        if (request.expects_version) {
            request.headers.push_back({"Version", header_or_empty(head.headers, "Version")});
        }
        const std::string part = header_or_empty(head.headers, "Part");
        if (!part.empty()) {
            request.prompt_parts.push_back(part);
        }
        return request;
    };
    protocol.encode_headers = [](const caller_request& request, const attempt_details& details) {
        http_headers headers = request.headers;
        headers.push_back({"Team", details.team});
        headers.push_back({"After", details.resume_after});
        return headers;
    };
    protocol.decode_response = [](const http_response_head& head) {
        response_marks marks;
        marks.request_id = std::string(find_header(head.headers, "Id").value_or(""));
        marks.is_signed = find_header(head.headers, "Signed").has_value();
        marks.not_executed = find_header(head.headers, "Never-Ran").has_value();
        marks.misdirected = head.status == 421;
        marks.instance_id = header_or_empty(head.headers, "Instance");
        marks.notice.is_leaving = find_header(head.headers, "Leaving").has_value();
        int wait_ms = 0;
        if (absl::SimpleAtoi(find_header(head.headers, "Retry-After").value_or(""), &wait_ms)) {
            marks.notice.hold_off = std::chrono::milliseconds(wait_ms);
        }
        return marks;
    };
    protocol.local_response_headers = [](const caller_request& request) {
        return http_headers{{"Id", request.id}};
    };
    return protocol;
}

inline route make_route(const std::string& prefix, request_kind kind)
{
    route made;
    made.name = prefix;
    made.host = "shop";
    made.path_prefix = prefix;
    made.kind = kind;
    made.resumable = kind == request_kind::streaming;
    made.services = {{"service", 1}};
    made.timeout = std::chrono::milliseconds(4000);
    made.latency_target = std::chrono::milliseconds(300);
    made.max_attempts = 2;
    return made;
}

inline std::shared_ptr<desired_state> make_state()
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

inline std::string answer_to(const scripted_connection& connection, absl::string_view body)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: ",
                        find_header(connection.head.headers, "Id").value_or(""),
                        "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

inline std::string stream_head(const scripted_connection& connection)
{
    return absl::StrCat(
        "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: ", *find_header(connection.head.headers, "Id"),
        "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
}

inline std::string chunk(absl::string_view text)
{
    return absl::StrCat(absl::Hex(text.size()), "\r\n", text, "\r\n");
}

class frontend_test : public testing::Test {
protected:
    frontend_test() : protocol(test_protocol()) { this->open(); }
    void TearDown() override { this->stop(); }

    void open()
    {
        forwarding_services services{this->protocol,
                                     this->servers,
                                     this->channels,
                                     [this](const std::string&) { return this->budget-- > 0; },
                                     [this](const std::string&) { return this->budget > 0; },
                                     [this] { return this->stopping.load(); },
                                     [this] { return this->ends_at.load(); },
                                     [this] { return this->deregistered_at.load(); },
                                     this->request_memory,
                                     this->response_memory,
                                     this->crashes,
                                     this->in_progress,
                                     this->answer_durations,
                                     [] {},
                                     [this](const backend_server&) { ++this->replaced; },
                                     this->answer_sizes};
        frontend_options hooks;
        hooks.current_state = [this] { return this->state; };
        hooks.on_admitted = [](const std::string&) {};
        this->served = *frontend::start({"127.0.0.1", 0}, std::move(services), std::move(hooks));
    }

    void stop()
    {
        this->stopping = true;
        this->served->stop_accepting();
        this->served->wait_until_idle(steady_clock::now() + std::chrono::seconds(10));
    }

    void use(const std::vector<const scripted_server*>& scripted)
    {
        std::vector<backend_server> list;
        for (const scripted_server* const one : scripted) {
            backend_server server;
            server.id = absl::StrCat("s", list.size());
            server.service = "service";
            server.slots = 4;
            server.born_ms = 1;
            server.endpoint = one->local();
            list.push_back(server);
        }
        this->servers.set_servers(list);
    }

    // Reports the server at `ip` as a rank of the only group.
    void report_rank(const std::string& ip, double slowness, bool stands_still = false)
    {
        server_report report;
        report.group = "group";
        report.slowness = slowness;
        report.group_broken = stands_still;
        this->servers.apply_report(ip, report);
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
    // Cold servers are limited to their rate once a test sets policies that name one.
    dispatcher servers{dispatcher_options{"", 0, cold_bound{1, 0}}};
    connection_pool channels{[this] { return this->ends_at.load(); }};
    static constexpr std::size_t max_memory_bytes = 16U << 20U;
    message_memory request_memory{max_memory_bytes};
    message_memory response_memory{max_memory_bytes};
    const std::unique_ptr<suspects::suspect_registry> registry =
        suspects::suspect_registry::create(shared_server_suspects());
    // By default no server is taken for crashed: tests count the connections to their servers.
    std::atomic<bool> servers_have_crashed = false;
    crash_guard crashes{
        *this->registry,
        {[this](const address&) { return this->servers_have_crashed.load(); }, [] {}}};
    open_requests in_progress;
    answer_times answer_durations;
    answer_estimator answer_sizes;
    std::shared_ptr<const desired_state> state = make_state();
    std::atomic<int> budget = 100;
    // Number of answers of other servers than the one meant.
    std::atomic<int> replaced = 0;
    std::atomic<bool> stopping = false;
    std::atomic<steady_time> ends_at = steady_time::max();
    std::atomic<steady_time> deregistered_at = steady_time::max();
    std::unique_ptr<frontend> served;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_FRONTEND_FIXTURE_H_
