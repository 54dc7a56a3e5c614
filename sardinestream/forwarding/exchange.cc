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
// An idempotent request tries another server after this many times its latency target.
constexpr double slow_answer_targets = 1.5;
// What nearly all streams need from their beginning to their end.
constexpr milliseconds time_of_a_stream{4500};
constexpr int http_unavailable = 503;
constexpr int most_stray_answers = 3;
// Servers that refuse one request before it is given up.
constexpr int most_refusals = 4;
constexpr std::size_t largest_answer_head = 65536;
constexpr std::size_t largest_whole_answer = 32U << 20U;
// Interim answers (1xx) before the final one.
constexpr int most_interim_answers = 8;
// A head of a sound server comes at once when it has begun.
constexpr milliseconds longest_head{2000};

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
    wanted.longest_wait = milliseconds(milliseconds_until(leave_by));
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

steady_time exchange::head_deadline() const
{
    return this->may_try_again(attempt_state::possibly_run)
               ? std::min(this->deadline, steady_clock::now() + longest_head)
               : this->deadline;
}

absl::StatusOr<http_response_head> exchange::read_final_head(server_channel& channel)
{
    const message_limits limits = {largest_answer_head, largest_whole_answer};
    for (int interim = 0; interim <= most_interim_answers; ++interim) {
        const steady_time end =
            channel.socket.has_input_or_end() ? this->head_deadline() : this->deadline;
        absl::StatusOr<http_response_head> head = channel.reader.read_response_head(
            limits, this->admitted.request.method == "HEAD", end, this->caller_watch);
        constexpr int first_final_status = 200;
        if (!head.ok() || head->status >= first_final_status) {
            return head;
        }
    }
    return make_error(absl::StatusCode::kDataLoss, "read", "", "interim answers only");
}

absl::StatusOr<http_response_head> exchange::read_own_head(server_channel& channel, bool& reusable)
{
    for (int strays = 0; strays <= most_stray_answers; ++strays) {
        absl::StatusOr<http_response_head> head = this->read_final_head(channel);
        if (!head.ok()) {
            return head.status();
        }
        const answer_marks marks = this->services.protocol.decode_answer(*head);
        if (marks.request_id == this->admitted.request.id) {
            return head;
        }
        if (marks.request_id.empty()) {
            // Only on a new connection can it be no answer to an earlier request.
            return channel.reused ? make_error(absl::StatusCode::kDataLoss, "read", "",
                                               "answer that names no request")
                                  : head;
        }
        // The late answer to an earlier request of this connection.
        reusable = false;
        count("sardine_stray_answers_total");
        log_event("stray_answer",
                  {{"request", this->admitted.request.id}, {"answers", marks.request_id}});
        std::string discarded;
        SARDINE_RETURN_IF_ERROR(this->read_whole_body(channel, discarded));
    }
    return make_error(absl::StatusCode::kDataLoss, "read", "", "answers of other requests only");
}

void exchange::take_notice(const backend_server& server, const http_response_head& head,
                           const answer_marks& marks)
{
    // An answer that names no request, or comes from another server, may be none of this server's.
    if (marks.request_id.empty() || marks.wrong_server) {
        return;
    }
    for (const auto& [is_bad, kind] :
         {std::pair{marks.bad_leaving, "leaving"}, std::pair{marks.bad_hold_off, "hold_off"}}) {
        if (is_bad) {
            count("sardine_server_notices_unread_total", {{"kind", kind}});
            log_routine_event("server_notice_unread", {{"request", this->admitted.request.id},
                                                       {"server", server.id},
                                                       {"kind", kind},
                                                       {"status", head.status}});
        }
    }
    if (marks.notice.is_empty()) {
        return;
    }
    const server_notice news = this->services.servers.take_notice(server, marks.notice);
    if (news.is_leaving) {
        count("sardine_server_notices_total", {{"kind", "leaving"}});
        log_event("server_leaves", {{"request", this->admitted.request.id},
                                    {"server", server.id},
                                    {"status", head.status}});
    }
    if (news.hold_off.has_value()) {
        count("sardine_server_notices_total", {{"kind", "hold_off"}});
        log_event("server_holds_off", {{"request", this->admitted.request.id},
                                       {"server", server.id},
                                       {"status", head.status},
                                       {"for_ms", news.hold_off->count()}});
    }
}

bool exchange::is_silent_too_long(server_channel& channel)
{
    milliseconds limit = longest_silence;
    if (this->chosen.kind == request_kind::idempotent) {
        limit = milliseconds(static_cast<std::int64_t>(
            slow_answer_targets * static_cast<double>(this->chosen.latency_target.count())));
    }
    const steady_time end = std::min(this->deadline, steady_clock::now() + limit);
    while (steady_clock::now() < end && !channel.reader.has_surplus()) {
        wait_for_input(channel.socket.descriptor(), this->caller_watch, end);
        if (channel.socket.has_input_or_end() || this->caller_watch.has_hung_up()) {
            return false;
        }
    }
    return !channel.reader.has_surplus() && steady_clock::now() < this->deadline;
}

exchange::next_step exchange::read_answer(server_channel& channel, bool all_written,
                                          attempt_record& record, bool& reusable)
{
    reusable = false;
    if (this->may_try_again(attempt_state::possibly_run) && this->is_silent_too_long(channel) &&
        this->services.take_retry(this->admitted.service)) {
        this->retry_granted = true;
        return this->after_failure(
            attempt_state::possibly_run,
            make_error(absl::StatusCode::kDeadlineExceeded, "answer", "", "no answer"), record);
    }
    reusable = all_written;
    absl::StatusOr<http_response_head> head = this->read_own_head(channel, reusable);
    record.first_byte = elapsed_since(record.begun);
    if (!head.ok()) {
        reusable = false;
        return this->after_failure(attempt_state::possibly_run, head.status(), record);
    }
    const answer_marks marks = this->services.protocol.decode_answer(*head);
    this->take_notice(record.given.server, *head, marks);
    if (!marks.never_ran && !marks.wrong_server) {
        this->services.servers.note_accepted(record.given);
    }
    reusable = reusable && head->keeps_alive() && !marks.notice.is_leaving;
    channel.idle_timeout = idle_timeout_of(*head);
    return this->relay(channel, *head, record, reusable);
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

absl::Status exchange::read_whole_body(server_channel& channel, std::string& body)
{
    answer_hold hold(this->services.memory);
    while (true) {
        const absl::StatusOr<bool> ended =
            channel.reader.read_body_part(body, this->deadline, this->caller_watch);
        if (!ended.ok()) {
            return ended.status();
        }
        if (body.size() > largest_whole_answer || !hold.grow_to(body.size())) {
            count("sardine_answers_too_large_total");
            return make_error(absl::StatusCode::kOutOfRange, "read", "", "answer too large");
        }
        if (*ended) {
            return absl::OkStatus();
        }
    }
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
    if (in_time && this->may_try_again(state) &&
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
                              this->services.servers.time_until_return(this->admitted.service)});
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
