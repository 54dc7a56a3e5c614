#include "sardinestream/forwarding/exchange.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr int http_unavailable = 503;

void log_notable_event(absl::string_view event, std::initializer_list<log_field> fields)
{
    log_event(event, fields);
}

// Returns whether the peer ended the connection before its answer was complete.
bool is_lost_connection(const absl::Status& cause)
{
    return absl::IsDataLoss(cause) || absl::IsNotFound(cause) || absl::IsUnavailable(cause);
}

std::string reason_of(attempt_state state)
{
    switch (state) {
    case attempt_state::nothing_sent:
        return "not_connected";
    case attempt_state::refused_by_server:
        return "refused_by_server";
    case attempt_state::execution_failed:
        return "server_failed";
    default:
        return "no_whole_answer";
    }
}

} // namespace

milliseconds exchange::elapsed_since(steady_time started)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - started);
}

exchange::exchange(forwarding_services& shared, tcp_socket& caller_socket,
                   admitted_request accepted)
    : services(shared), caller(caller_socket), caller_watch(caller_socket.descriptor()),
      admitted(std::move(accepted)), matched_route(*admitted.matched_route),
      registered(services.open, {admitted.request.id, admitted.service, admitted.arrival}),
      events(matched_route.resumable ? admitted.request.resume_after : ""),
      last_delivery(admitted.arrival)
{
    this->deadline = this->admitted.arrival + this->matched_route.timeout;
    if (this->admitted.request.time_limit.has_value()) {
        this->deadline =
            std::min(this->deadline, this->admitted.arrival + *this->admitted.request.time_limit);
    }
    if (const engine_model* const engine = this->timed_engine(); engine != nullptr) {
        this->expected_tokens = this->services.answer_sizes.expect(this->origin(), this->stated(),
                                                                   engine->usual_answer_tokens);
    }
}

bool exchange::promise_connection()
{
    this->connection_promised = this->admitted.request.keep_alive && !this->services.is_stopping();
    return this->connection_promised;
}

bool exchange::run()
{
    const bool keep = this->attempt_until_done();
    this->release_reserved();
    this->close_previous_stream();
    if (this->ends_with_connection) {
        this->caller.abort_when_delivered(steady_clock::now() + local_response_timeout);
    }
    return keep;
}

bool exchange::attempt_until_done()
{
    next_action next = next_action::retry;
    while (next != next_action::answered && next != next_action::close_connection) {
        next =
            next == next_action::go_back ? this->return_to_previous_server() : this->attempt_once();
    }
    return next == next_action::answered && this->connection_promised;
}

exchange::next_action exchange::attempt_once()
{
    absl::StatusOr<placement> placed = this->place();
    if (!placed.ok()) {
        if (this->previous.has_value() && !absl::IsCancelled(placed.status())) {
            return next_action::go_back;
        }
        return this->fail_request(placed.status()) ? next_action::answered
                                                   : next_action::close_connection;
    }
    attempt_record record;
    record.placed = *std::move(placed);
    record.started = steady_clock::now();
    record.events_before = this->events.delivered_events();
    this->total_queue_time += record.placed.waited;
    const next_action next = this->run_attempt(record);
    this->end_attempt(record, next);
    return next;
}

void exchange::end_attempt(const attempt_record& record, next_action next)
{
    if (next == next_action::leave) {
        return;
    }
    this->services.servers.finish(record.placed, record.result, record.first_byte);
    // A server that refused may accept the request later; the dispatcher does not select it in the
    // meantime.
    if (record.result != attempt_result::refused) {
        this->tried_ids.push_back(record.placed.server.id);
    }
}

steady_time exchange::answer_deadline() const
{
    return std::min(this->deadline, this->services.shutdown_deadline());
}

std::string exchange::encode_request_head(const backend_server& server) const
{
    const caller_request& request = this->admitted.request;
    attempt_details details;
    details.server_id = server.id;
    details.team = this->admitted.team;
    details.resume_after =
        this->events.last_id().empty() ? request.resume_after : this->events.last_id();
    details.remaining_time = milliseconds(milliseconds_until(this->answer_deadline()));
    if (this->services.servers.has_urgent_streams(this->admitted.service)) {
        details.priority = this->admitted.priority;
    }
    std::string text = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    for (const http_header& header : this->services.protocol.encode_headers(request, details)) {
        append_header(text, header.name, header.value);
    }
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (has_body) {
        append_header(text, "Content-Length", absl::StrCat(request.body.size()));
    }
    absl::StrAppend(&text, "\r\n");
    return text;
}

exchange::next_action exchange::run_attempt(attempt_record& record)
{
    const backend_server& server = record.placed.server;
    // An idle connection may have been cut unnoticed. A second attempt must not wait on one, too.
    const bool require_new = !this->matched_route.may_run_again() || this->possibly_executed;
    absl::StatusOr<std::unique_ptr<server_connection>> connection =
        this->services.connections.open(server, this->admitted.request.id, require_new,
                                        this->answer_deadline(), this->caller_watch);
    if (!connection.ok()) {
        return this->handle_failure(attempt_state::nothing_sent, connection.status(), record);
    }
    ++this->servers_sent;
    if (!this->response_started) {
        this->registered.set_phase(request_phase::sent);
    }
    this->retry_granted = false;
    record.started = steady_clock::now();
    if (!this->possibly_executed) {
        this->measured.emplace(this->services.answer_durations, this->shape(), record.started);
    }
    const steady_time write_limit =
        this->previous.has_value() ? record.started + silence_timeout : this->deadline;
    const moving_deadline write_end = [&] {
        return std::min(this->answer_deadline(), write_limit);
    };
    const absl::StatusOr<bool> written =
        (*connection)
            ->socket.write_message_until_answer(this->encode_request_head(server),
                                                this->admitted.request.body, write_end,
                                                this->caller_watch);
    // After the write, so that a request that a pause of the process delays counts for long enough.
    this->services.servers.note_sent(record.placed);
    if (!written.ok()) {
        (*connection)->socket.abort();
        return this->handle_failure(attempt_state::possibly_executed, written.status(), record);
    }
    bool reusable = *written;
    const next_action next = this->read_response(**connection, *written, record, reusable);
    this->end_connection(*std::move(connection), record, reusable, next);
    return next;
}

void exchange::end_connection(std::unique_ptr<server_connection> connection,
                              const attempt_record& record, bool reusable, next_action next)
{
    if (next == next_action::leave) {
        this->previous->connection = std::move(connection);
        return;
    }
    const backend_server& server = record.placed.server;
    if (reusable && !connection->reader.has_surplus()) {
        const milliseconds idle_timeout = connection->idle_timeout;
        this->services.connections.release(server, std::move(connection), idle_timeout);
        return;
    }
    if (record.result == attempt_result::unreachable) {
        this->services.connections.discard(server);
    }
    if (record.result != attempt_result::succeeded) {
        // Aborts the connection, so that a server that was unreachable for a while does not receive
        // the request later.
        connection->socket.abort();
    }
}

bool exchange::can_retry(attempt_state state) const
{
    // Without the id of an event, another server would begin again.
    const bool cannot_resume =
        this->response_started && (this->events.last_id().empty() || this->events.lacks_event());
    const bool refused_too_often = this->servers_refused >= max_refusals && !this->response_started;
    if (refused_too_often || cannot_resume) {
        return false;
    }
    const bool run = this->possibly_executed || state == attempt_state::possibly_executed ||
                     state == attempt_state::execution_failed;
    return may_retry(this->matched_route, state, run, this->servers_sent);
}

void exchange::note_sound(attempt_record& record)
{
    if (!record.sound) {
        record.sound = true;
        this->services.crashes.note_sound(this->admitted.request, this->admitted.service);
    }
}

exchange::next_action exchange::handle_failure(attempt_state state, const absl::Status& cause,
                                               attempt_record& record)
{
    if (absl::IsCancelled(cause)) {
        record.result = attempt_result::abandoned;
        this->log_attempt(record, "caller_gone");
        this->log_outcome("caller_gone", 0, cause.message());
        return next_action::close_connection;
    }
    this->events.drop_undelivered();
    if (state == attempt_state::refused_by_server) {
        --this->servers_sent;
        ++this->servers_refused;
    }
    if (state == attempt_state::possibly_executed || state == attempt_state::execution_failed) {
        this->possibly_executed = true;
    }
    if (state == attempt_state::possibly_executed && !record.sound && is_lost_connection(cause)) {
        this->services.crashes.note_lost(record.placed.server, this->admitted.request);
    }
    this->log_attempt(record, cause.message());
    count("sardine_attempt_failures_total",
          {{"service", this->admitted.service}, {"step", step_of(cause)}});
    const bool never_sent = state == attempt_state::nothing_sent && this->servers_sent == 0;
    const bool in_time = steady_clock::now() < this->answer_deadline();
    const bool goes_on_elsewhere = this->reserved.has_value() && in_time && this->can_retry(state);
    if (this->previous.has_value() && !goes_on_elsewhere) {
        return next_action::go_back;
    }
    // A refusal while the whole service is down must not consume the retry budget.
    const bool service_down = state == attempt_state::refused_by_server &&
                              !this->response_started &&
                              this->services.servers.is_down(this->admitted.service);
    if (in_time && !service_down && this->can_retry(state) &&
        (never_sent || this->retry_granted || this->services.take_retry(this->admitted.service))) {
        this->retry_granted = true;
        count("sardine_retries_total",
              {{"service", this->admitted.service}, {"reason", reason_of(state)}});
        return next_action::retry;
    }
    return this->fail_request(cause) ? next_action::answered : next_action::close_connection;
}

bool exchange::fail_request(const absl::Status& cause)
{
    if (absl::IsCancelled(cause)) {
        this->log_outcome("caller_gone", 0, cause.message());
        return false;
    }
    if (this->response_started) {
        this->log_outcome("cut", 0, cause.message());
        return false;
    }
    const bool timed_out = steady_clock::now() >= this->answer_deadline();
    const int status = final_status(this->possibly_executed, timed_out);
    this->log_outcome(this->possibly_executed ? "outcome_unknown" : "refused", status,
                      cause.message());
    count("sardine_refusals_total", {{"service", this->admitted.service},
                                     {"status", absl::StrCat(status)},
                                     {"step", step_of(cause)}});
    constexpr milliseconds min_retry_after{300};
    milliseconds wait{0};
    if (status == http_unavailable) {
        wait = std::max({retry_after_of(cause), min_retry_after,
                         this->services.servers.retry_after(this->admitted.service)});
    }
    return this->send_local_response(status,
                                     this->possibly_executed ? "outcome_unknown" : "not_run", wait);
}

bool exchange::send_local_response(int status, absl::string_view code, milliseconds retry_after)
{
    this->response_started = true;
    return write_local_response(
        this->caller, this->services.protocol.local_response_headers(this->admitted.request),
        {status, code, retry_after, this->promise_connection(), this->admitted.request.method});
}

void exchange::log_outcome(absl::string_view outcome, int status, absl::string_view reason) const
{
    observe_seconds(
        "sardine_request_seconds",
        {{"service", this->admitted.service}, {"outcome", std::string(outcome)}},
        std::chrono::duration<double>(steady_clock::now() - this->admitted.arrival).count());
    const auto write = outcome == "answered" ? log_routine_event : log_notable_event;
    write("request", {{"request", this->admitted.request.id},
                      {"route", this->matched_route.name},
                      {"version", this->admitted.state->version},
                      {"service", this->admitted.service},
                      {"team", this->admitted.team},
                      {"outcome", outcome},
                      {"status", status},
                      {"servers", this->servers_sent},
                      {"events", this->events.delivered_events()},
                      {"queued_ms", this->total_queue_time.count()},
                      {"total_ms", elapsed_since(this->admitted.arrival).count()},
                      {"silent_ms", elapsed_since(this->last_delivery).count()},
                      {"hint_tokens", this->admitted.request.expected_response_tokens},
                      {"expected_tokens", this->expected_tokens},
                      {"seen_tokens", this->delivered_tokens()},
                      {"expected_cost_ms", this->expected_cost_ms()},
                      {"seen_cost_ms", this->seen_cost_ms()},
                      {"reason", reason}});
}

void exchange::log_attempt(const attempt_record& record, absl::string_view outcome) const
{
    const auto write =
        record.result == attempt_result::succeeded ? log_routine_event : log_notable_event;
    write("attempt", {{"request", this->admitted.request.id},
                      {"server", record.placed.server.id},
                      {"address", record.placed.server.endpoint.to_string()},
                      {"slowness", record.placed.slowness},
                      {"occupancy", record.placed.occupancy},
                      {"first_byte_ms", record.first_byte.count()},
                      {"elapsed_ms", elapsed_since(record.started).count()},
                      {"parts", this->admitted.request.parts_for_log()},
                      {"outcome", outcome}});
}

} // namespace sardinestream
