// The part of an exchange that relays a stream of events.

#include <algorithm>

#include "sardinestream/base/error.h"
#include "sardinestream/forwarding/exchange.h"

namespace sardinestream {
namespace {

constexpr std::size_t largest_event = 1U << 20U;

} // namespace

absl::Status exchange::send_events(const http_response_head& head, const std::string& whole)
{
    std::string text;
    if (!this->answer_begun) {
        answer_head relayed = this->relayed_head(head);
        relayed.chunked = this->admitted.request.takes_chunks;
        text = encode_answer_head(relayed);
        this->answer_begun = true;
    }
    text += this->admitted.request.takes_chunks ? chunk_of(whole) : whole;
    return this->caller.write_all(text, this->deadline, hangup_watch());
}

absl::Status exchange::finish_stream(const http_response_head& head)
{
    if (!this->answer_begun) {
        SARDINE_RETURN_IF_ERROR(this->send_events(head, ""));
    }
    if (!this->admitted.request.takes_chunks) {
        return absl::OkStatus();
    }
    return this->caller.write_all(
        "0\r\n\r\n", std::max(this->deadline, steady_clock::now() + own_answer_timeout),
        hangup_watch());
}

absl::StatusOr<bool> exchange::read_stream_part(server_channel& channel, std::string& bytes,
                                                steady_time& last_event)
{
    while (true) {
        absl::StatusOr<bool> ended = channel.reader.read_body_part(
            bytes, std::min(this->deadline, last_event + longest_silence), this->caller_watch);
        const bool silent =
            absl::IsDeadlineExceeded(ended.status()) && steady_clock::now() < this->deadline;
        if (!silent) {
            return ended;
        }
        if (this->may_try_again(attempt_state::possibly_run) &&
            this->services.take_retry(this->admitted.service)) {
            this->retry_granted = true;
            return ended;
        }
        // Nothing else can be done for it: the server may still go on.
        last_event = steady_clock::now();
    }
}

exchange::next_step exchange::relay_stream(server_channel& channel, const http_response_head& head,
                                           attempt_record& record, bool& reusable)
{
    reusable = false;
    steady_time last_event = steady_clock::now();
    while (true) {
        std::string bytes;
        const absl::StatusOr<bool> ended = this->read_stream_part(channel, bytes, last_event);
        if (!ended.ok()) {
            return this->after_failure(attempt_state::possibly_run, ended.status(), record);
        }
        if (this->events.taken() == 0) {
            record.first_byte = elapsed_since(record.begun);
        }
        this->events.add(bytes);
        const std::string whole = this->events.take_events();
        if (this->events.partial_bytes() > largest_event) {
            return this->after_failure(attempt_state::possibly_run,
                                       make_error(absl::StatusCode::kOutOfRange, "stream",
                                                  record.given.server.id, "event without end"),
                                       record);
        }
        if (this->events.has_gap() || (*ended && this->events.has_partial_event())) {
            return this->after_failure(attempt_state::possibly_run,
                                       make_error(absl::StatusCode::kDataLoss, "stream",
                                                  record.given.server.id, "event missing"),
                                       record);
        }
        if (!whole.empty()) {
            last_event = steady_clock::now();
            const absl::Status sent = this->send_events(head, whole);
            if (!sent.ok()) {
                record.result = attempt_result::abandoned;
                this->log_attempt(record, "caller_gone");
                this->log_outcome("caller_gone", head.status, sent.message());
                return next_step::broken_off;
            }
        }
        if (!*ended) {
            continue;
        }
        record.result = attempt_result::succeeded;
        reusable = head.keeps_alive();
        const absl::Status finished = this->finish_stream(head);
        this->log_attempt(record, "streamed");
        this->log_outcome(finished.ok() ? "answered" : "caller_gone", head.status, "");
        const bool keep = finished.ok() && this->admitted.request.takes_chunks;
        return keep ? next_step::answered : next_step::broken_off;
    }
}

} // namespace sardinestream
