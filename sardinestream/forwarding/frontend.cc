#include "sardinestream/forwarding/frontend.h"

#include <algorithm>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Time limit for the body of a request, measured from the arrival of the request.
constexpr milliseconds body_timeout{10000};
// How long a request waits for memory for its body.
constexpr milliseconds memory_timeout{300};
// After its last answer, a connection is read for this time before it is closed, so that the caller
// receives the end of the answer instead of a reset.
constexpr milliseconds linger_timeout{500};
// The same past the end of a planned shutdown, when the process is about to end.
constexpr milliseconds shutdown_linger_timeout{200};

// The next request may be on its way for this time after a connection was accepted, or after its
// last answer: a connection that has been idle for longer is closed at once by a shutdown.
constexpr milliseconds request_transit_time{300};

// A process that has just started usually has its desired state within this time.
constexpr milliseconds initial_state_timeout{400};
constexpr milliseconds initial_state_poll_interval{20};

// When a caller that is refused with 503 may come back.
constexpr milliseconds retry_time{1000};

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int headers_too_large = 431;
constexpr int unavailable = 503;

int status_of(const absl::Status& error)
{
    switch (error.code()) {
    case absl::StatusCode::kInvalidArgument:
        return bad_request;
    case absl::StatusCode::kResourceExhausted:
        return headers_too_large;
    case absl::StatusCode::kOutOfRange:
        return content_too_large;
    case absl::StatusCode::kDeadlineExceeded:
        return request_timeout;
    case absl::StatusCode::kFailedPrecondition:
        return unavailable;
    default:
        return 0;
    }
}

// Returns the length that the head states for the body; zero if it states none.
std::size_t declared_length(const http_request_head& head)
{
    std::size_t length = 0;
    return absl::SimpleAtoi(find_header(head.headers, "content-length").value_or(""), &length)
               ? length
               : 0;
}

acceptor_options make_options(int max_connections)
{
    acceptor_options options;
    options.max_connections = max_connections;
    options.refusal = encode_local_response({}, {unavailable, "not_run", retry_time});
    options.on_refused = [max_connections](absl::string_view reason) {
        count("sardine_connections_refused_total");
        log_event("connection_refused", {{"limit", max_connections}, {"reason", reason}},
                  log_level::warning);
    };
    return options;
}

} // namespace

absl::StatusOr<std::unique_ptr<frontend>>
frontend::start(const address& local, forwarding_services services, frontend_options options)
{
    absl::StatusOr<tcp_listener> bound = tcp_listener::bind(local);
    if (!bound.ok()) {
        return bound.status();
    }
    return std::unique_ptr<frontend>(
        new frontend(*std::move(bound), std::move(services), std::move(options)));
}

frontend::frontend(tcp_listener opened, forwarding_services shared, frontend_options chosen)
    : services(std::move(shared)), options(std::move(chosen)),
      stop_event(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), random(std::random_device()()),
      acceptor(std::move(opened), make_options(options.max_connections),
               [this](tcp_socket connection) { this->serve_connection(std::move(connection)); })
{
}

frontend::~frontend()
{
    this->stop_accepting();
}

void frontend::stop_accepting()
{
    this->acceptor.stop_accepting();
    const std::uint64_t one = 1;
    if (::write(this->stop_event.descriptor(), &one, sizeof(one)) < 0) {
        log_event("stop_event_failed", {}, log_level::error);
    }
}

void frontend::serve_connection(tcp_socket connection)
{
    message_reader reader(connection, this->services.shutdown_deadline);
    while (this->wait_for_request(connection, reader)) {
        if (!this->serve_request(connection, reader)) {
            connection.close_gracefully(this->linger_end());
            return;
        }
    }
}

steady_time frontend::linger_end() const
{
    const steady_time now = steady_clock::now();
    const steady_time shutdown = this->services.shutdown_deadline();
    return shutdown > now + linger_timeout ? now + linger_timeout
                                           : std::max(now, shutdown) + shutdown_linger_timeout;
}

request_limits frontend::limits() const
{
    const std::shared_ptr<const desired_state> state = this->options.current_state();
    return state == nullptr ? request_limits() : state->limits;
}

bool frontend::wait_for_request(tcp_socket& connection, message_reader& reader)
{
    const steady_time begun = steady_clock::now();
    const steady_time deadline = begun + this->limits().idle_timeout;
    while (!reader.has_surplus() && !connection.has_input_or_end()) {
        const bool stopped = this->stop_event.has_input_or_end();
        const steady_time end = stopped ? std::min({deadline, begun + request_transit_time,
                                                    this->services.shutdown_deadline()})
                                        : deadline;
        if (steady_clock::now() >= end) {
            return false;
        }
        if (stopped) {
            wait_for_input(connection.descriptor(), hangup_watch(), end);
        }
        else {
            wait_for_any_input({connection.descriptor(), this->stop_event.descriptor()},
                               hangup_watch(), end);
        }
    }
    return reader.wait_for_message(deadline).ok();
}

bool frontend::serve_request(tcp_socket& connection, message_reader& reader)
{
    const steady_time arrival = steady_clock::now();
    const request_limits limits = this->limits();
    const message_limits bounds = {limits.header_bytes, limits.body_bytes};
    absl::StatusOr<http_request_head> head =
        reader.read_request_head(bounds, arrival + limits.header_timeout);
    if (!head.ok()) {
        return this->reject_message(connection, head.status(), caller_request());
    }
    absl::StatusOr<caller_request> request = this->services.protocol.decode_request(*head);
    if (!request.ok()) {
        caller_request rejected;
        rejected.method = head->method;
        return this->reject_message(connection, request.status(), rejected);
    }
    message_memory_reservation reservation(this->services.request_memory, "caller");
    if (!this->read_body(connection, reader, {*head, limits, arrival}, reservation, *request)) {
        return false;
    }
    return this->admit(connection, *std::move(request), arrival);
}

bool frontend::read_body(tcp_socket& connection, message_reader& reader,
                         const arriving_request& arriving, message_memory_reservation& reservation,
                         caller_request& request)
{
    const auto& [head, limits, arrival] = arriving;
    const open_requests::registration registered(this->services.open,
                                                 {request.id, "", arrival, request_phase::reading});
    const std::size_t declared = std::min(declared_length(head), limits.body_bytes);
    if (!reservation.resize(declared, arrival + memory_timeout)) {
        return this->refuse_unread(connection, std::move(request), "no_memory");
    }
    const std::optional<absl::string_view> expectation = find_header(head.headers, "expect");
    if (expectation.has_value() && absl::EqualsIgnoreCase(*expectation, "100-continue")) {
        const absl::Status continued = connection.write_all("HTTP/1.1 100 Continue\r\n\r\n",
                                                            arrival + limits.header_timeout, {});
        if (!continued.ok()) {
            return this->reject_message(connection, continued, request);
        }
    }
    request.body.reserve(declared);
    const absl::Status read = read_body_within(reader, limits.body_bytes, reservation, request.body,
                                               arrival + body_timeout, {});
    if (absl::IsAborted(read)) {
        return this->refuse_unread(connection, std::move(request), "no_memory");
    }
    if (absl::IsFailedPrecondition(read)) {
        // Another entry can serve the request; the caller must know that this one does not.
        return this->refuse_unread(connection, std::move(request), "shutting_down");
    }
    return read.ok() || this->reject_message(connection, read, request);
}

bool frontend::refuse_unread(tcp_socket& connection, caller_request request, absl::string_view code)
{
    request.keep_alive = false;
    (void)this->refuse(connection, request, unavailable, code);
    return false;
}

bool frontend::reject_message(tcp_socket& connection, const absl::Status& error,
                              const caller_request& rejected)
{
    const int status = status_of(error);
    count("sardine_bad_requests_total", {{"status", absl::StrCat(status)}});
    log_event("request_rejected",
              {{"request", rejected.id}, {"status", status}, {"reason", error.message()}});
    if (status != 0) {
        const bool is_stopping = status == unavailable;
        (void)write_local_response(connection, {},
                                   {status, is_stopping ? "shutting_down" : "bad_request",
                                    is_stopping ? retry_time : milliseconds(0), false,
                                    rejected.method});
    }
    return false;
}

bool frontend::refuse(tcp_socket& connection, const caller_request& request, int status,
                      absl::string_view code)
{
    count("sardine_refusals_total", {{"code", std::string(code)}});
    log_event("request", {{"request", request.id},
                          {"host", request.host},
                          {"path", request.path()},
                          {"outcome", "refused"},
                          {"status", status},
                          {"reason", code}});
    const bool keep = request.keep_alive && !this->services.is_stopping();
    return write_local_response(
        connection, this->services.protocol.local_response_headers(request),
        {status, code, status == unavailable ? retry_time : milliseconds(0), keep, request.method});
}

std::shared_ptr<const desired_state> frontend::wait_for_state(const tcp_socket& connection) const
{
    const hangup_watch caller(connection.descriptor());
    const steady_time deadline = steady_clock::now() + initial_state_timeout;
    while (true) {
        std::shared_ptr<const desired_state> state = this->options.current_state();
        if (state != nullptr || steady_clock::now() >= deadline || caller.has_hung_up()) {
            return state;
        }
        std::this_thread::sleep_for(initial_state_poll_interval);
    }
}

bool frontend::admit(tcp_socket& connection, caller_request request, steady_time arrival)
{
    std::shared_ptr<const desired_state> state = this->wait_for_state(connection);
    if (state == nullptr) {
        return this->refuse(connection, request, unavailable, "no_configuration");
    }
    const route* const chosen = state->find_route(request.host, request.path());
    if (chosen == nullptr) {
        return this->refuse(connection, request, not_found, "no_route");
    }
    const team* const owner = request.key.empty() ? nullptr : state->find_team(request.key);
    if (state->has_teams && owner == nullptr && !chosen->is_public) {
        return this->refuse(connection, request, unauthorized, "unknown_key");
    }
    admitted_request admitted;
    admitted.arrival = arrival;
    admitted.matched_route = chosen;
    admitted.team = owner == nullptr ? "" : owner->name;
    admitted.priority =
        owner != nullptr && owner->priority >= 0 ? owner->priority : chosen->priority;
    {
        const absl::MutexLock lock(&this->mutex);
        const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
        admitted.service = choose_service(*chosen, draw);
    }
    this->options.on_admitted(admitted.service);
    admitted.request = std::move(request);
    admitted.state = std::move(state);
    exchange one(this->services, connection, std::move(admitted));
    return one.run();
}

} // namespace sardinestream
