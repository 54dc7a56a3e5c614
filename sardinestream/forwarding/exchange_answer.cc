// The part of an exchange that reads a server's answer and takes what the server says of itself.

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/forwarding/exchange.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// An idempotent request tries another server after this many times its latency target.
constexpr double slow_answer_targets = 1.5;
constexpr int most_stray_answers = 3;
constexpr std::size_t largest_answer_head = 65536;
constexpr std::size_t largest_whole_answer = 32U << 20U;
// Interim answers (1xx) before the final one.
constexpr int most_interim_answers = 8;
// A head of a sound server comes at once when it has begun.
constexpr milliseconds longest_head{2000};

} // namespace

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
    const server_notice news = this->services.servers.apply_notice(server, marks.notice);
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

} // namespace sardinestream
