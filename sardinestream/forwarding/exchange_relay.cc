// Implements the part of exchange that relays an answer in one piece, or learns from a refusal.

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/forwarding/exchange.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

constexpr int http_unavailable = 503;
constexpr int first_server_error = 500;

} // namespace

exchange::next_action exchange::relay(server_connection& connection, const http_response_head& head,
                                      attempt_record& record, bool& reusable)
{
    const response_marks marks = this->services.protocol.decode_response(head);
    if (marks.not_executed || marks.misdirected) {
        reusable = reusable && this->skip_refusal(connection);
        connection.refused_ids.push_back(this->admitted.request.id);
        record.result = this->result_of_refusal(record.placed.server, marks);
        if (record.result == attempt_result::replaced) {
            this->services.on_replaced(record.placed.server);
        }
        return this->handle_failure(attempt_state::refused_by_server,
                                    make_error(absl::StatusCode::kResourceExhausted, "answer",
                                               record.placed.server.id,
                                               absl::StrCat("status ", head.status)),
                                    record);
    }
    const bool is_authentic =
        marks.is_signed && find_header(head.headers, "content-encoding") == std::nullopt;
    if (is_success(head.status) && !is_authentic) {
        reusable = false;
        record.result = attempt_result::failed;
        return this->handle_failure(attempt_state::possibly_executed,
                                    make_error(absl::StatusCode::kDataLoss, "answer",
                                               record.placed.server.id,
                                               "response without the server's signature"),
                                    record);
    }
    if (is_success(head.status) && is_event_stream(head) &&
        has_body(this->admitted.request.method, head.status)) {
        record.silent_since = steady_clock::now();
        return this->relay_stream(connection, head, record, reusable);
    }
    return this->relay_buffered(connection, head, record, reusable);
}

attempt_result exchange::result_of_refusal(const backend_server& server,
                                           const response_marks& marks) const
{
    if (!marks.misdirected) {
        return attempt_result::refused;
    }
    return this->is_from_other_server(server, marks) ? attempt_result::replaced
                                                     : attempt_result::unsuitable;
}

bool exchange::is_from_other_server(const backend_server& server, const response_marks& marks) const
{
    if (!marks.misdirected) {
        return false;
    }
    // A response that names no instance to a request for a version does not tell which was wrong.
    return marks.instance_id.empty() ? !this->admitted.request.expects_version
                                     : marks.instance_id != server.id;
}

exchange::next_action exchange::relay_buffered(server_connection& connection,
                                               const http_response_head& head,
                                               attempt_record& record, bool& reusable)
{
    if (this->previous.has_value() &&
        (this->response_started || head.status >= first_server_error)) {
        reusable = false;
        record.result = attempt_result::failed;
        return this->handle_failure(attempt_state::execution_failed,
                                    make_error(absl::StatusCode::kInternal, "answer",
                                               record.placed.server.id,
                                               absl::StrCat("no stream, status ", head.status)),
                                    record);
    }
    message_body body(this->services.response_memory, record.placed.server.id);
    const absl::Status read = body.read(connection.reader, max_response_bytes,
                                        this->answer_deadline(), this->caller_watch);
    if (!read.ok()) {
        reusable = false;
        return this->handle_failure(attempt_state::possibly_executed, read, record);
    }
    const bool success = is_success(head.status);
    if (success) {
        this->measured->end(steady_clock::now(), true);
        // A failure may have been answered before the server came to what crashes it.
        this->note_sound(record);
    }
    record.result = success ? attempt_result::succeeded : attempt_result::failed;
    if (head.status >= first_server_error && this->can_retry(attempt_state::execution_failed) &&
        this->services.take_retry(this->admitted.service)) {
        this->retry_granted = true;
        return this->handle_failure(attempt_state::execution_failed,
                                    make_error(absl::StatusCode::kInternal, "answer",
                                               record.placed.server.id,
                                               absl::StrCat("status ", head.status)),
                                    record);
    }
    if (this->response_started) {
        // Only the events of another stream could continue this one.
        this->log_attempt(record, absl::StrCat("no stream, status ", head.status));
        this->log_outcome("cut", head.status, "next server sent no stream");
        return next_action::close_connection;
    }
    answer_head relayed = this->make_relayed_head(head);
    if (has_body(this->admitted.request.method, head.status)) {
        relayed.content_length = body.size();
    }
    this->response_started = true;
    const absl::Status sent =
        body.write(encode_answer_head(relayed), this->caller,
                   std::max(this->deadline, steady_clock::now() + local_response_timeout));
    this->log_attempt(record, success ? "answered" : "server_failed");
    this->log_outcome(sent.ok() ? "answered" : "caller_gone", head.status, "");
    return sent.ok() ? next_action::answered : next_action::close_connection;
}

answer_head exchange::make_relayed_head(const http_response_head& head)
{
    answer_head relayed;
    relayed.status = head.status;
    relayed.reason = head.reason;
    relayed.headers = end_to_end_headers(head.headers);
    if (head.status == http_unavailable) {
        // The server's Retry-After applies to this process, which can use other servers.
        std::erase_if(relayed.headers, [](const http_header& header) {
            return absl::EqualsIgnoreCase(header.name, "retry-after");
        });
    }
    relayed.keeps_connection = this->promise_connection();
    return relayed;
}

} // namespace sardinestream
