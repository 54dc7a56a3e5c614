#include "sardinestream/http/http_service.h"

#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/http/message_body.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

// How often an idle connection checks whether the service is stopping.
constexpr std::chrono::milliseconds stop_check_interval{500};
constexpr std::chrono::seconds idle_timeout{30};
constexpr std::chrono::seconds exchange_timeout{2};
// After its last answer, a connection is read for this time before it is closed, so that the caller
// receives the end of the answer instead of a reset.
constexpr std::chrono::milliseconds linger_timeout{300};
constexpr int most_connections = 64;
// Handlers use no body.
constexpr std::size_t max_body_bytes = 4096;

acceptor_options make_options()
{
    acceptor_options options;
    options.max_connections = most_connections;
    options.on_refused = [](absl::string_view reason) {
        log_event("service_connection_refused", {{"limit", most_connections}, {"reason", reason}},
                  log_level::warning);
    };
    return options;
}

} // namespace

absl::StatusOr<std::unique_ptr<http_service>> http_service::start(const address& local,
                                                                  http_handler handler)
{
    absl::StatusOr<tcp_listener> bound = tcp_listener::bind(local);
    if (!bound.ok()) {
        return bound.status();
    }
    return std::unique_ptr<http_service>(new http_service(*std::move(bound), std::move(handler)));
}

http_service::http_service(tcp_listener bound, http_handler handle)
    : handler(std::move(handle)),
      acceptor(std::move(bound), make_options(),
               [this](tcp_socket connection) { this->serve(std::move(connection)); })
{
}

http_service::~http_service()
{
    this->stopping = true;
}

void http_service::serve(tcp_socket connection)
{
    this->serve_requests(connection);
    connection.close_gracefully(steady_clock::now() + linger_timeout);
}

void http_service::serve_requests(tcp_socket& connection)
{
    message_reader reader(connection);
    const message_limits limits = {message_limits().header_bytes, max_body_bytes};
    const steady_time idle_end = steady_clock::now() + idle_timeout;
    while (!this->stopping) {
        const absl::Status first =
            reader.wait_for_message(std::min(idle_end, steady_clock::now() + stop_check_interval));
        if (absl::IsDeadlineExceeded(first) && steady_clock::now() < idle_end) {
            continue;
        }
        if (!first.ok()) {
            return;
        }
        const steady_time deadline = steady_clock::now() + exchange_timeout;
        absl::StatusOr<http_request_head> head = reader.read_request_head(limits, deadline);
        if (!head.ok() || !skip_body(reader, max_body_bytes, deadline, {}).ok()) {
            return;
        }
        const http_answer answer = this->handler(*head);
        const answer_head written = {answer.status, "", answer.headers, answer.body.size()};
        const std::string text = encode_answer_head(written) +
                                 (has_body(head->method, answer.status) ? answer.body : "");
        if (!connection.write_all(text, deadline, {}).ok() || !head->keeps_alive()) {
            return;
        }
    }
}

} // namespace sardinestream
