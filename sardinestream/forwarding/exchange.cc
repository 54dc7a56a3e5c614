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

// Callers leave a stream whose next event takes longer than this, or than four times the target.
constexpr milliseconds caller_patience_for_event{2000};
constexpr int patience_targets = 4;
// What a server needs from a free place to the first event, at the least.
constexpr milliseconds least_time_to_first_event{400};
// What nearly all streams need from their beginning to their end.
constexpr milliseconds time_of_a_stream{4500};
constexpr int http_unavailable = 503;
// Servers that refuse one request before it is given up.
constexpr int most_refusals = 4;

void log_notable_event(absl::string_view event, std::initializer_list<log_field> fields)
{
    log_event(event, fields);
}

std::string reason_of(attempt_state state)
{
    switch (state) {
    case attempt_state::nothing_sent:
        return "not_connected";
    case attempt_state::refused_by_server:
        return "refused_by_server";
    case attempt_state::run_failed:
        return "server_failed";
    default:
        return "no_whole_answer";
    }
}

} // namespace

milliseconds exchange::elapsed_since(steady_time begun)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begun);
}

exchange::exchange(forwarding_services& shared, tcp_socket& caller_socket, admitted_request given)
    : services(shared), caller(caller_socket), caller_watch(caller_socket.descriptor()),
      admitted(std::move(given)), chosen(*admitted.chosen)
{
    this->deadline = this->admitted.arrival + this->chosen.timeout;
    if (this->admitted.request.patience.has_value()) {
        this->deadline =
            std::min(this->deadline, this->admitted.arrival + *this->admitted.request.patience);
    }
}

bool exchange::keeps_connection() const
{
    return this->admitted.request.keeps_alive && !this->services.is_stopping();
}

bool exchange::run()
{
    while (true) {
        absl::StatusOr<placement> placed = this->place();
        if (!placed.ok()) {
            return this->give_up(placed.status());
        }
        attempt_record record = {*std::move(placed), steady_clock::now()};
        this->total_wait += record.given.waited;
        const next_step next = this->attempt(record);
        this->services.servers.finish(record.given, record.result, record.first_byte);
        if (next == next_step::try_again) {
            // One that refused may take the request later; the dispatcher leaves it alone
            // meanwhile.
            if (record.result != attempt_result::refused) {
                this->tried_ids.push_back(record.given.server.id);
            }
            continue;
        }
        return next == next_step::answered && this->keeps_connection();
    }
}

bool exchange::would_be_cut_by_stop() const
{
    return this->chosen.kind == request_kind::streaming && !this->answer_begun &&
           steady_clock::now() > this->services.ends_at() - time_of_a_stream;
}

absl::StatusOr<placement> exchange::place()
{
    if (this->would_be_cut_by_stop()) {
        // Another entry can serve it whole.
        return make_error(absl::StatusCode::kResourceExhausted, "place", this->admitted.service,
                          "about to stop");
    }
    placement_request wanted;
    wanted.service = this->admitted.service;
    wanted.priority = this->admitted.priority;
    wanted.excluded_ids = this->tried_ids;
    steady_time leave_by = this->deadline;
    if (this->chosen.kind == request_kind::streaming) {
        const milliseconds patience =
            std::max(caller_patience_for_event, patience_targets * this->chosen.latency_target);
        leave_by =
            std::min(leave_by, this->admitted.arrival + patience - least_time_to_first_event);
    }
    else {
        leave_by = steady_clock::now() + (leave_by - steady_clock::now()) / 2;
    }
    leave_by = std::min(leave_by, this->services.ends_at());
    if (this->answer_begun) {
        leave_by = std::min(this->deadline, steady_clock::now() + least_time_to_first_event);
    }
    wanted.max_wait = milliseconds(milliseconds_until(leave_by));
    return this->services.servers.place(wanted, this->caller_watch);
}

std::string exchange::encode_request(const backend_server& server) const
{
    const caller_request& request = this->admitted.request;
    attempt_details details;
    details.server_id = server.id;
    details.team = this->admitted.team;
    details.resume_after =
        this->events.last_id().empty() ? request.resume_after : this->events.last_id();
    details.time_left = milliseconds(milliseconds_until(this->deadline));
    std::string text = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    for (const http_header& header : this->services.protocol.encode_headers(request, details)) {
        append_header(text, header.name, header.value);
    }
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (has_body) {
        append_header(text, "Content-Length", absl::StrCat(request.body.size()));
    }
    absl::StrAppend(&text, "\r\n", request.body);
    return text;
}

exchange::next_step exchange::attempt(attempt_record& record)
{
    const backend_server& server = record.given.server;
    const bool fresh = !this->chosen.may_run_again();
    absl::StatusOr<std::unique_ptr<server_channel>> channel =
        this->services.channels.open(server, fresh, this->deadline, this->caller_watch);
    if (!channel.ok()) {
        return this->after_failure(attempt_state::nothing_sent, channel.status(), record);
    }
    ++this->servers_sent;
    this->retry_granted = false;
    record.begun = steady_clock::now();
    const absl::StatusOr<bool> written = (*channel)->socket.write_until_answer(
        this->encode_request(server), this->deadline, this->caller_watch);
    if (!written.ok()) {
        (*channel)->socket.abort();
        return this->after_failure(attempt_state::possibly_run, written.status(), record);
    }
    bool reusable = *written;
    const next_step next = this->read_answer(**channel, *written, record, reusable);
    if (reusable && !(*channel)->reader.has_surplus()) {
        const milliseconds idle_timeout = (*channel)->idle_timeout;
        this->services.channels.keep(server, *std::move(channel), idle_timeout);
        return next;
    }
    if (record.result != attempt_result::succeeded) {
        // A server that could not be reached for a while must not receive the request later.
        (*channel)->socket.abort();
    }
    return next;
}

exchange::next_step exchange::relay(server_channel& channel, const http_response_head& head,
                                    attempt_record& record, bool& reusable)
{
    const answer_marks marks = this->services.protocol.decode_answer(head);
    if (marks.never_ran || marks.wrong_server) {
        std::string discarded;
        reusable = reusable && this->read_whole_body(channel, discarded).ok();
        record.result = marks.wrong_server ? attempt_result::replaced : attempt_result::refused;
        return this->after_failure(attempt_state::refused_by_server,
                                   make_error(absl::StatusCode::kResourceExhausted, "answer",
                                              record.given.server.id,
                                              absl::StrCat("status ", head.status)),
                                   record);
    }
    const bool is_ours =
        marks.is_signed && find_header(head.headers, "content-encoding") == std::nullopt;
    if (is_success(head.status) && !is_ours) {
        reusable = false;
        record.result = attempt_result::failed;
        return this->after_failure(attempt_state::possibly_run,
                                   make_error(absl::StatusCode::kDataLoss, "answer",
                                              record.given.server.id,
                                              "answer without the server's signature"),
                                   record);
    }
    if (is_success(head.status) && is_event_stream(head)) {
        return this->relay_stream(channel, head, record, reusable);
    }
    return this->relay_whole(channel, head, record, reusable);
}

exchange::next_step exchange::relay_whole(server_channel& channel, const http_response_head& head,
                                          attempt_record& record, bool& reusable)
{
    std::string body;
    const absl::Status read = this->read_whole_body(channel, body);
    if (!read.ok()) {
        reusable = false;
        return this->after_failure(attempt_state::possibly_run, read, record);
    }
    const bool success = is_success(head.status);
    record.result = success ? attempt_result::succeeded : attempt_result::failed;
    constexpr int first_server_error = 500;
    if (head.status >= first_server_error && this->may_try_again(attempt_state::run_failed) &&
        this->services.take_retry(this->admitted.service)) {
        this->retry_granted = true;
        return this->after_failure(attempt_state::run_failed,
                                   make_error(absl::StatusCode::kInternal, "answer",
                                              record.given.server.id,
                                              absl::StrCat("status ", head.status)),
                                   record);
    }
    if (this->answer_begun) {
        return next_step::broken_off;
    }
    answer_head relayed = this->relayed_head(head);
    if (this->admitted.request.method != "HEAD") {
        relayed.content_length = body.size();
    }
    this->answer_begun = true;
    const absl::Status sent = this->caller.write_all(
        encode_answer_head(relayed) + body,
        std::max(this->deadline, steady_clock::now() + own_answer_timeout), hangup_watch());
    this->log_attempt(record, success ? "answered" : "server_failed");
    this->log_outcome(sent.ok() ? "answered" : "caller_gone", head.status, "");
    return sent.ok() ? next_step::answered : next_step::broken_off;
}

answer_head exchange::relayed_head(const http_response_head& head) const
{
    answer_head relayed;
    relayed.status = head.status;
    relayed.reason = head.reason;
    relayed.headers = end_to_end_headers(head.headers);
    if (head.status == http_unavailable) {
        // The server's wait is for this process, which has other servers.
        std::erase_if(relayed.headers, [](const http_header& header) {
            return absl::EqualsIgnoreCase(header.name, "retry-after");
        });
    }
    relayed.keeps_connection = this->keeps_connection();
    return relayed;
}

bool exchange::may_try_again(attempt_state state) const
{
    if (this->servers_refused >= most_refusals) {
        return false;
    }
    const bool run = this->possibly_run || state == attempt_state::possibly_run ||
                     state == attempt_state::run_failed;
    return may_send_again(this->chosen, state, run, this->servers_sent);
}

exchange::next_step exchange::after_failure(attempt_state state, const absl::Status& cause,
                                            attempt_record& record)
{
    if (absl::IsCancelled(cause)) {
        record.result = attempt_result::abandoned;
        this->log_attempt(record, "caller_gone");
        this->log_outcome("caller_gone", 0, cause.message());
        return next_step::broken_off;
    }
    this->events.drop_partial_event();
    if (state == attempt_state::refused_by_server) {
        --this->servers_sent;
        ++this->servers_refused;
    }
    if (state == attempt_state::possibly_run || state == attempt_state::run_failed) {
        this->possibly_run = true;
    }
    this->log_attempt(record, cause.message());
    count("sardine_attempt_failures_total",
          {{"service", this->admitted.service}, {"step", step_of(cause)}});
    const bool first_of_request = state == attempt_state::nothing_sent && this->servers_sent == 0;
    const bool in_time = steady_clock::now() < this->deadline;
    // What showed only that the service has not returned is no reason to spend the budget.
    const bool in_vain = state == attempt_state::refused_by_server &&
                         this->services.servers.is_down(this->admitted.service);
    if (in_time && !in_vain && this->may_try_again(state) &&
        (first_of_request || this->retry_granted ||
         this->services.take_retry(this->admitted.service))) {
        this->retry_granted = true;
        count("sardine_retries_total",
              {{"service", this->admitted.service}, {"reason", reason_of(state)}});
        return next_step::try_again;
    }
    return this->give_up(cause) ? next_step::answered : next_step::broken_off;
}

bool exchange::give_up(const absl::Status& cause)
{
    if (absl::IsCancelled(cause)) {
        this->log_outcome("caller_gone", 0, cause.message());
        return false;
    }
    if (this->answer_begun) {
        this->log_outcome("cut", 0, cause.message());
        return false;
    }
    const bool timed_out = steady_clock::now() >= this->deadline;
    const int status = final_status(this->possibly_run, timed_out);
    this->log_outcome(this->possibly_run ? "outcome_unknown" : "refused", status, cause.message());
    count("sardine_refusals_total", {{"service", this->admitted.service},
                                     {"status", absl::StrCat(status)},
                                     {"step", step_of(cause)}});
    constexpr milliseconds usual_retry_after{300};
    milliseconds come_back{0};
    if (status == http_unavailable) {
        come_back = std::max({retry_after_of(cause), usual_retry_after,
                              this->services.servers.retry_after(this->admitted.service)});
    }
    return this->answer_ourselves(status, this->possibly_run ? "outcome_unknown" : "not_run",
                                  come_back);
}

bool exchange::answer_ourselves(int status, absl::string_view code, milliseconds retry_after)
{
    this->answer_begun = true;
    return write_own_answer(this->caller,
                            this->services.protocol.own_answer_headers(this->admitted.request),
                            status, code, retry_after, this->keeps_connection());
}

void exchange::log_outcome(absl::string_view outcome, int status, absl::string_view reason) const
{
    observe_seconds(
        "sardine_request_seconds",
        {{"service", this->admitted.service}, {"outcome", std::string(outcome)}},
        std::chrono::duration<double>(steady_clock::now() - this->admitted.arrival).count());
    const auto write = outcome == "answered" ? log_routine_event : log_notable_event;
    write("request", {{"request", this->admitted.request.id},
                      {"route", this->chosen.name},
                      {"version", this->admitted.state->version},
                      {"service", this->admitted.service},
                      {"team", this->admitted.team},
                      {"outcome", outcome},
                      {"status", status},
                      {"servers", this->servers_sent},
                      {"events", this->events.taken()},
                      {"queued_ms", this->total_wait.count()},
                      {"total_ms", elapsed_since(this->admitted.arrival).count()},
                      {"reason", reason}});
}

void exchange::log_attempt(const attempt_record& record, absl::string_view outcome) const
{
    const auto write =
        record.result == attempt_result::succeeded ? log_routine_event : log_notable_event;
    write("attempt", {{"request", this->admitted.request.id},
                      {"server", record.given.server.id},
                      {"address", record.given.server.endpoint.to_string()},
                      {"slowness", record.given.slowness},
                      {"occupancy", record.given.occupancy},
                      {"first_byte_ms", record.first_byte.count()},
                      {"elapsed_ms", elapsed_since(record.begun).count()},
                      {"outcome", outcome}});
}

} // namespace sardinestream
