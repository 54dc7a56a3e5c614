// Implements the part of exchange that reads a server's response and its notices (leaving,
// hold-off).

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/http_status.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/forwarding/exchange.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// An idempotent request is retried at another server after this multiple of its latency target.
constexpr double slow_response_latency_targets = 1.5;
constexpr int max_stray_responses = 3;
constexpr std::size_t max_response_head_bytes = 32 << 10;
// A connection is closed rather than read up to the end of a longer or slower refusal.
constexpr std::size_t max_refusal_bytes = 64 << 10;
constexpr milliseconds refusal_body_timeout{200};
// A healthy server sends the rest of a head immediately after its first bytes.
constexpr milliseconds head_completion_timeout{2000};
// A shutdown that begins while a request waits for its answer is noticed within this time, which is
// far below any grace period.
constexpr milliseconds shutdown_check{500};

} // namespace

steady_time exchange::head_deadline() const
{
    return this->previous.has_value() || this->can_retry(attempt_state::possibly_executed)
               ? std::min(this->answer_deadline(), steady_clock::now() + head_completion_timeout)
               : this->answer_deadline();
}

absl::StatusOr<http_response_head> exchange::read_final_head(server_connection& connection)
{
    const message_limits limits = {max_response_head_bytes, max_response_bytes};
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        const steady_time end =
            connection.socket.has_input_or_end() ? this->head_deadline() : this->answer_deadline();
        absl::StatusOr<http_response_head> head = connection.reader.read_response_head(
            limits, this->admitted.request.method == "HEAD", end, this->caller_watch);
        if (!head.ok() || is_final_status(head->status)) {
            return head;
        }
    }
    return make_error(absl::StatusCode::kDataLoss, "read", "",
                      "too many interim responses without a final one");
}

absl::StatusOr<http_response_head> exchange::read_matching_head(server_connection& connection,
                                                                bool& reusable)
{
    for (int stray_responses = 0; stray_responses <= max_stray_responses; ++stray_responses) {
        absl::StatusOr<http_response_head> head = this->read_final_head(connection);
        if (!head.ok()) {
            return head.status();
        }
        const response_marks marks = this->services.protocol.decode_response(*head);
        if (marks.request_id == this->admitted.request.id) {
            return head;
        }
        if (marks.request_id.empty()) {
            // On a reused connection, it may be the response to an earlier request.
            return connection.reused
                       ? make_error(absl::StatusCode::kDataLoss, "read", "",
                                    "response without a request id on a reused connection")
                       : head;
        }
        // A late response to an earlier request on this connection.
        reusable = false;
        count("sardine_stray_answers_total");
        log_event("stray_answer",
                  {{"request", this->admitted.request.id}, {"answers", marks.request_id}});
        SARDINE_RETURN_IF_ERROR(skip_body(connection.reader, max_response_bytes,
                                          this->answer_deadline(), this->caller_watch));
    }
    return make_error(absl::StatusCode::kDataLoss, "read", "", "responses to other requests only");
}

void exchange::apply_notice(const backend_server& server, const http_response_head& head,
                            const response_marks& marks)
{
    // A response without a request id, or from another server, may not come from this server.
    if (marks.request_id.empty() || this->is_from_other_server(server, marks)) {
        return;
    }
    for (const auto& [is_bad, kind] : {std::pair{marks.invalid_leaving, "leaving"},
                                       std::pair{marks.invalid_hold_off, "hold_off"},
                                       std::pair{marks.invalid_max_rate, "limit"}}) {
        if (is_bad) {
            count("sardine_server_notices_unread_total", {{"kind", kind}});
            log_routine_event("server_notice_unread", {{"request", this->admitted.request.id},
                                                       {"server", server.id},
                                                       {"kind", kind},
                                                       {"status", head.status}});
        }
    }
    this->note_limit(server, marks);
    if (marks.notice.is_empty()) {
        return;
    }
    const server_notice applied = this->services.servers.apply_notice(server, marks.notice);
    if (applied.is_leaving) {
        count("sardine_server_notices_total", {{"kind", "leaving"}});
        log_event("server_leaves", {{"request", this->admitted.request.id},
                                    {"server", server.id},
                                    {"status", head.status}});
    }
    if (applied.hold_off.has_value()) {
        count("sardine_server_notices_total", {{"kind", "hold_off"}});
        log_event("server_holds_off", {{"request", this->admitted.request.id},
                                       {"server", server.id},
                                       {"status", head.status},
                                       {"for_ms", applied.hold_off->count()}});
    }
}

void exchange::note_limit(const backend_server& server, const response_marks& marks)
{
    if (marks.invalid_max_rate || !this->services.servers.note_limit(server, marks.max_rate)) {
        return;
    }
    count("sardine_server_notices_total", {{"kind", "limit"}});
    log_event("server_limit", {{"request", this->admitted.request.id},
                               {"server", server.id},
                               {"per_s", marks.max_rate.has_value() ? absl::StrCat(*marks.max_rate)
                                                                    : std::string("none")}});
    this->services.on_limit_change();
}

void exchange::wait_for_first_byte(server_connection& connection, steady_time end) const
{
    while (!connection.reader.has_surplus() && !connection.socket.has_input_or_end() &&
           !this->caller_watch.has_hung_up() && !this->previous_server_goes_on()) {
        const steady_time now = steady_clock::now();
        const steady_time latest = std::min(end, this->answer_deadline());
        if (now >= latest) {
            return;
        }
        wait_for_input(connection.socket.descriptor(), this->caller_watch,
                       std::min(latest, now + (this->previous.has_value() ? previous_server_check
                                                                          : shutdown_check)));
    }
}

bool exchange::exceeds_silence_timeout(server_connection& connection)
{
    milliseconds limit = silence_timeout;
    if (this->matched_route.kind == request_kind::idempotent) {
        limit = milliseconds(static_cast<std::int64_t>(
            slow_response_latency_targets *
            static_cast<double>(this->matched_route.latency_target.count())));
    }
    this->wait_for_first_byte(connection, steady_clock::now() + limit);
    if (connection.socket.has_input_or_end() || this->caller_watch.has_hung_up() ||
        this->previous_server_goes_on()) {
        return false;
    }
    return !connection.reader.has_surplus() && steady_clock::now() < this->answer_deadline();
}

bool exchange::skip_refusal(server_connection& connection)
{
    const steady_time end =
        std::min(this->answer_deadline(), steady_clock::now() + refusal_body_timeout);
    return skip_body(connection.reader, max_refusal_bytes, end, this->caller_watch).ok();
}

exchange::next_action exchange::read_response(server_connection& connection, bool all_written,
                                              attempt_record& record, bool& reusable)
{
    reusable = false;
    while (this->can_retry(attempt_state::possibly_executed) &&
           this->exceeds_silence_timeout(connection)) {
        if (!this->find_other_server(connection, record)) {
            continue;
        }
        return this->handle_failure(attempt_state::possibly_executed,
                                    make_error(absl::StatusCode::kDeadlineExceeded, "answer", "",
                                               "no response within the silence timeout"),
                                    record);
    }
    reusable = all_written;
    this->wait_for_first_byte(connection, this->deadline);
    if (this->previous_server_goes_on() && !connection.reader.has_surplus() &&
        !connection.socket.has_input_or_end()) {
        reusable = false;
        return this->give_up_move(record);
    }
    absl::StatusOr<http_response_head> head = this->read_matching_head(connection, reusable);
    record.first_byte = elapsed_since(record.started);
    if (!head.ok()) {
        reusable = false;
        return this->handle_failure(attempt_state::possibly_executed, head.status(), record);
    }
    const response_marks marks = this->services.protocol.decode_response(*head);
    this->apply_notice(record.placed.server, *head, marks);
    if (!marks.not_executed && !marks.misdirected) {
        this->services.servers.note_accepted(record.placed);
    }
    reusable = reusable && head->keeps_alive() && !marks.notice.is_leaving;
    connection.idle_timeout = idle_timeout_of(*head);
    return this->relay(connection, *head, record, reusable);
}

} // namespace sardinestream
