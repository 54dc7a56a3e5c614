#include "sardinestream/http/http_service.h"

#include <utility>

#include "sardinestream/base/log.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

constexpr std::chrono::milliseconds accept_interval{500};
constexpr std::chrono::seconds idle_timeout{30};
constexpr std::chrono::seconds exchange_timeout{2};
constexpr int most_connections = 64;

} // namespace

absl::StatusOr<std::unique_ptr<http_service>> http_service::start(const address& local,
                                                                  http_handler handler)
{
    absl::StatusOr<tcp_listener> bound = tcp_listener::bind(local);
    if (!bound.ok()) {
        return bound.status();
    }
    std::unique_ptr<http_service> service(new http_service(*std::move(bound), std::move(handler)));
    service->acceptor = std::thread([raw = service.get()] { raw->accept_connections(); });
    return service;
}

http_service::http_service(tcp_listener bound, http_handler given)
    : listener(std::move(bound)), handler(std::move(given))
{
}

http_service::~http_service()
{
    this->stopping = true;
    this->acceptor.join();
}

void http_service::accept_connections()
{
    while (!this->stopping) {
        absl::StatusOr<tcp_socket> accepted =
            this->listener.accept(steady_clock::now() + accept_interval);
        if (!accepted.ok()) {
            continue;
        }
        if (this->connections.size() >= most_connections) {
            log_event("service_connection_refused", {{"limit", most_connections}},
                      log_level::warning);
            continue;
        }
        auto connection = std::make_shared<tcp_socket>(*std::move(accepted));
        if (!this->connections.spawn([this, connection] { this->serve(std::move(*connection)); })) {
            log_event("service_connection_refused", {{"reason", "no thread"}}, log_level::warning);
        }
    }
}

void http_service::serve(tcp_socket connection)
{
    message_reader reader(connection);
    const message_limits limits;
    const steady_time idle_end = steady_clock::now() + idle_timeout;
    while (!this->stopping) {
        const absl::Status first =
            reader.wait_for_message(std::min(idle_end, steady_clock::now() + accept_interval));
        if (absl::IsDeadlineExceeded(first) && steady_clock::now() < idle_end) {
            continue;
        }
        if (!first.ok()) {
            return;
        }
        const steady_time deadline = steady_clock::now() + exchange_timeout;
        absl::StatusOr<http_request_head> head = reader.read_request_head(limits, deadline);
        std::string body;
        if (!head.ok() || !reader.read_body(limits.body_bytes, body, deadline, {}).ok()) {
            return;
        }
        const http_answer answer = this->handler(*head);
        std::string text =
            absl::StrCat("HTTP/1.1 ", answer.status, " ", reason_phrase(answer.status), "\r\n");
        append_header(text, "Content-Length", absl::StrCat(answer.body.size()));
        for (const http_header& header : answer.headers) {
            append_header(text, header.name, header.value);
        }
        absl::StrAppend(&text, "\r\n", answer.body);
        if (!connection.write_all(text, deadline, {}).ok() || !head->keeps_alive()) {
            return;
        }
    }
}

} // namespace sardinestream
