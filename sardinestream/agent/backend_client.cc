#include "sardinestream/agent/backend_client.h"

#include <algorithm>

#include <httplib.h>

#include "sardinestream/base/bounded_body.h"
#include "sardinestream/base/http_status.h"
#include "sardinestream/base/percent_encoding.h"
#include "sardinestream/base/tcp_probe.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::agent {
namespace {

constexpr int connect_timeout_s = 1;
constexpr std::size_t max_idle_connections = 64;
constexpr int http_ok = 200;
constexpr std::size_t max_answer_bytes = 8 << 20;

bool is_hop_by_hop_header(absl::string_view name)
{
    const std::string lower = absl::AsciiStrToLower(name);
    return lower == "connection" || lower == "keep-alive" || lower == "transfer-encoding" ||
           lower == "content-length";
}

backend_outcome classify_outcome(httplib::Error error, const backend_request& request,
                                 bool cancelled)
{
    if (error == httplib::Error::Success) {
        return backend_outcome::complete;
    }
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
        return backend_outcome::not_sent;
    }
    if (cancelled) {
        return backend_outcome::cancelled;
    }
    return absl::Now() >= request.deadline ? backend_outcome::timeout : backend_outcome::lost;
}

// Escapes the bytes that `is_allowed` does not take.
std::string escape(const std::string& text, bool (*is_allowed)(char))
{
    std::string escaped;
    for (const char letter : text) {
        escaped += is_allowed(letter) ? std::string(1, letter) : percent_encode({&letter, 1});
    }
    return escaped;
}

// A target keeps the escapes that its caller wrote.
bool is_allowed_in_target(char letter)
{
    return absl::ascii_isgraph(letter);
}

// Control characters cannot have come in a header: the library has decoded escapes, which are
// written again. A line end would begin another header.
bool is_allowed_in_header(char letter)
{
    return !absl::ascii_iscntrl(letter) || letter == '\t';
}

httplib::Request to_http(const backend_request& from)
{
    httplib::Request to;
    to.method = from.method;
    to.path = escape(from.path, is_allowed_in_target);
    to.body = from.body;
    for (const auto& [name, value] : from.headers) {
        if (absl::AsciiStrToLower(name) != "accept-encoding") {
            to.headers.emplace(name, escape(value, is_allowed_in_header));
        }
    }
    to.headers.emplace("Accept-Encoding", "identity");
    return to;
}

} // namespace

backend_client::backend_client(address server) : server_address(std::move(server)) {}

backend_client::~backend_client() = default;

std::shared_ptr<httplib::Client> backend_client::acquire_connection(bool fresh)
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (!fresh && !this->idle.empty()) {
            std::shared_ptr<httplib::Client> connection = std::move(this->idle.back());
            this->idle.pop_back();
            return connection;
        }
    }
    auto connection =
        std::make_shared<httplib::Client>(this->server_address.ip, this->server_address.port);
    connection->set_connection_timeout(connect_timeout_s);
    connection->set_tcp_nodelay(true);
    connection->set_keep_alive(!fresh);
    // Targets are encoded already.
    connection->set_url_encode(false);
    return connection;
}

void backend_client::return_connection(std::shared_ptr<httplib::Client> connection)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->idle.size() < max_idle_connections) {
        this->idle.push_back(std::move(connection));
    }
}

backend_answer backend_client::call(const backend_request& request, const byte_receiver& on_bytes,
                                    const stop_registrar& register_stop,
                                    const std::function<bool()>& was_cancelled)
{
    std::shared_ptr<httplib::Client> connection =
        this->acquire_connection(request.fresh_connection);
    const std::int64_t remaining_us =
        std::max<std::int64_t>(absl::ToInt64Microseconds(request.deadline - absl::Now()), 1);
    connection->set_read_timeout(remaining_us / 1'000'000, remaining_us % 1'000'000);

    backend_answer answer;
    httplib::Request http = to_http(request);
    bounded_body body(max_answer_bytes);
    http.content_receiver = body.receiver();
    // A response with an invalid status code is no answer; its body is not waited for.
    bool has_invalid_status = false;
    http.response_handler = [&](const httplib::Response& head) {
        answer.status = head.status;
        has_invalid_status = !is_final_status(head.status);
        return !has_invalid_status;
    };
    if (on_bytes) {
        http.content_receiver = [&](const char* bytes, std::size_t size, std::uint64_t,
                                    std::uint64_t) {
            const absl::string_view part(bytes, size);
            return answer.status == http_ok ? on_bytes(part) : body.append(part);
        };
    }
    register_stop([connection] { connection->stop(); });
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    connection->send(http, response, error);
    register_stop(nullptr);

    const bool cancelled = was_cancelled();
    answer.outcome = classify_outcome(error, request, cancelled);
    answer.message = httplib::to_string(error);
    if (has_invalid_status) {
        answer.outcome = backend_outcome::lost;
        answer.message = absl::StrCat("invalid status code ", answer.status);
    }
    if (answer.outcome != backend_outcome::complete) {
        return answer;
    }
    answer.status = response.status;
    answer.body = body.take();
    for (const auto& [name, value] : response.headers) {
        if (!is_hop_by_hop_header(name)) {
            answer.headers.emplace_back(name, value);
        }
    }
    // A cancelled connection is not reused: a stop that is still pending would end another call.
    if (!cancelled && !request.fresh_connection) {
        this->return_connection(std::move(connection));
    }
    return answer;
}

bool backend_client::is_responding() const
{
    httplib::Client probe(this->server_address.ip, this->server_address.port);
    probe.set_connection_timeout(connect_timeout_s);
    probe.set_read_timeout(connect_timeout_s);
    constexpr std::size_t max_health_bytes = 64 << 10;
    bounded_body body(max_health_bytes);
    httplib::Request health;
    health.method = "GET";
    health.path = "/health";
    health.content_receiver = body.receiver();
    const httplib::Result answer = probe.send(health);
    return answer && is_final_status(answer->status);
}

bool backend_client::accepts_connections() const
{
    return accepts_tcp(this->server_address, absl::Seconds(connect_timeout_s));
}

} // namespace sardinestream::agent
