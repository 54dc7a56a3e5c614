// Implements the part of exchange that relays a stream of server-sent events.

#include <algorithm>

#include "sardinestream/base/error.h"
#include "sardinestream/forwarding/exchange.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

constexpr std::size_t max_event_bytes = 1U << 20U;
// An unfinished event is copied when it grows.
constexpr std::size_t copies_of_events = 3;
// How long an unfinished event waits for memory that others hold.
constexpr std::chrono::milliseconds event_memory_wait{500};

} // namespace

std::string exchange::begin_stream(const http_response_head& head)
{
    if (this->response_started) {
        return "";
    }
    answer_head relayed = this->make_relayed_head(head);
    relayed.chunked = this->admitted.request.accepts_chunked;
    this->response_started = true;
    this->registered.set_phase(request_phase::answering);
    this->ends_with_connection = !this->admitted.request.accepts_chunked;
    // An orderly end would make the response look complete.
    this->caller.set_abort_on_close(this->ends_with_connection);
    return encode_answer_head(relayed);
}

absl::Status exchange::write_to_caller(absl::string_view text)
{
    return this->caller.write_all(
        text, std::max(this->deadline, steady_clock::now() + local_response_timeout),
        hangup_watch());
}

absl::Status exchange::send_events(const http_response_head& head, const std::string& complete)
{
    const std::string begun = this->begin_stream(head);
    SARDINE_RETURN_IF_ERROR(this->write_to_caller(absl::StrCat(
        begun, this->admitted.request.accepts_chunked ? encode_chunk(complete) : complete)));
    this->events.mark_delivered();
    this->last_delivery = steady_clock::now();
    return absl::OkStatus();
}

absl::Status exchange::finish_stream(const http_response_head& head)
{
    const std::string begun = this->begin_stream(head);
    if (this->admitted.request.accepts_chunked) {
        return this->write_to_caller(absl::StrCat(begun, last_chunk));
    }
    SARDINE_RETURN_IF_ERROR(this->write_to_caller(begun));
    this->ends_with_connection = false;
    this->caller.set_abort_on_close(false);
    return absl::OkStatus();
}

absl::StatusOr<bool> exchange::read_stream_part(server_connection& connection,
                                                const attempt_record& record, std::string& bytes)
{
    while (true) {
        if (this->previous_server_goes_on() && !connection.socket.has_input_or_end()) {
            return make_error(absl::StatusCode::kDeadlineExceeded, "stream",
                              record.placed.server.id, "the server that the stream left goes on");
        }
        steady_time until = record.silent_since + silence_timeout;
        if (until <= steady_clock::now()) {
            if (this->find_other_server(connection, record)) {
                return make_error(absl::StatusCode::kDeadlineExceeded, "stream",
                                  record.placed.server.id,
                                  "no complete event within the silence timeout");
            }
            until = steady_clock::now() + dispatcher::recheck_interval;
        }
        if (this->previous.has_value()) {
            until = std::min(until, steady_clock::now() + previous_server_check);
        }
        absl::StatusOr<bool> ended = connection.reader.read_body_part(
            bytes, std::min(this->answer_deadline(), until), this->caller_watch);
        const bool silent = absl::IsDeadlineExceeded(ended.status()) &&
                            steady_clock::now() < this->answer_deadline();
        if (!silent) {
            return ended;
        }
    }
}

bool exchange::may_end_here(const http_response_head& head) const
{
    if (this->events.has_partial_event()) {
        return false;
    }
    // A server that crashes before its first event ends the connection as well.
    return head.framing != body_framing::until_close || this->events.delivered_events() > 0;
}

absl::Status exchange::check_stream(const http_response_head& head, const attempt_record& record,
                                    bool ended) const
{
    const std::string& server = record.placed.server.id;
    if (this->events.is_malformed()) {
        return make_error(absl::StatusCode::kDataLoss, "stream", server, "event out of order");
    }
    if (ended && !this->may_end_here(head)) {
        return make_error(absl::StatusCode::kDataLoss, "stream", server, "event truncated");
    }
    if (this->events.partial_bytes() > max_event_bytes) {
        return make_error(absl::StatusCode::kOutOfRange, "stream", server,
                          "event exceeds the size limit");
    }
    return absl::OkStatus();
}

exchange::next_action exchange::relay_stream(server_connection& connection,
                                             const http_response_head& head, attempt_record& record,
                                             bool& reusable)
{
    reusable = false;
    if (record.partial_event == nullptr) {
        record.partial_event = std::make_unique<message_memory_reservation>(
            this->services.response_memory, record.placed.server.id);
    }
    while (true) {
        std::string bytes;
        const absl::StatusOr<bool> ended = this->read_stream_part(connection, record, bytes);
        if (!ended.ok()) {
            if (absl::IsDeadlineExceeded(ended.status()) && this->previous_server_goes_on()) {
                return this->give_up_move(record);
            }
            if (this->reserved.has_value() && !this->previous.has_value()) {
                return this->leave_stream(head, record, attempt_result::unreachable,
                                          ended.status().message());
            }
            return this->handle_failure(attempt_state::possibly_executed, ended.status(), record);
        }
        if (this->events.delivered_events() == 0) {
            record.first_byte = elapsed_since(record.started);
        }
        this->events.add(bytes);
        const std::string complete = this->events.take_events();
        if (!complete.empty()) {
            this->close_previous_stream();
            record.silent_since = steady_clock::now();
            this->services.servers.note_event(record.placed.server);
            this->measured->note_first_event(record.silent_since);
            const absl::Status sent = this->send_events(head, complete);
            this->note_progress(record);
            if (!sent.ok()) {
                record.result = attempt_result::abandoned;
                this->log_attempt(record, "caller_gone");
                this->log_outcome("caller_gone", head.status, sent.message());
                return next_action::close_connection;
            }
        }
        absl::Status sound = this->check_stream(head, record, *ended);
        if (sound.ok() &&
            !record.partial_event->resize(copies_of_events * this->events.partial_bytes(),
                                          steady_clock::now() + event_memory_wait)) {
            sound = make_error(absl::StatusCode::kOutOfRange, "stream", record.placed.server.id,
                               "too many large events buffered");
        }
        if (!sound.ok()) {
            return this->handle_failure(attempt_state::possibly_executed, sound, record);
        }
        if (*ended ||
            elapsed_since(record.started) >= record.first_byte + crash_guard::time_to_prove) {
            this->note_sound(record);
        }
        if (!*ended && !complete.empty() && this->try_move_stream(record.placed.server)) {
            return this->leave_stream(head, record, attempt_result::abandoned,
                                      "rank delays its group");
        }
        if (!*ended) {
            continue;
        }
        record.result = attempt_result::succeeded;
        this->measured->end(steady_clock::now(), true);
        this->note_whole_answer();
        reusable = head.keeps_alive();
        const absl::Status finished = this->finish_stream(head);
        this->log_attempt(record, "streamed");
        this->log_outcome(finished.ok() ? "answered" : "caller_gone", head.status, "");
        const bool keep = finished.ok() && this->admitted.request.accepts_chunked;
        return keep ? next_action::answered : next_action::close_connection;
    }
}

} // namespace sardinestream
