// Implements the part of exchange that moves a stream from one server to another, and back if the
// other one does not go on with it.

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/forwarding/exchange.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// A stream that has returned to a silent server looks for another one again after this time.
constexpr milliseconds min_stay{200};

} // namespace

bool exchange::try_move_stream(const backend_server& server)
{
    if (this->services.is_stopping() || this->has_returned ||
        steady_clock::now() < this->stays_until ||
        !this->can_retry(attempt_state::possibly_executed) ||
        !this->services.servers.delays_its_group(server)) {
        return false;
    }
    placement_request wanted = this->make_placement_request();
    wanted.excluded_ids.push_back(server.id);
    std::optional<placement> other = this->services.servers.place_if_free(wanted);
    return other.has_value() && this->reserve(*std::move(other));
}

exchange::next_action exchange::leave_stream(const http_response_head& head, attempt_record& record,
                                             attempt_result result, absl::string_view reason)
{
    this->possibly_executed = true;
    record.result = result;
    this->log_attempt(record, reason);
    count("sardine_retries_total",
          {{"service", this->admitted.service},
           {"reason", result == attempt_result::abandoned ? "slow_rank" : "no_whole_answer"}});
    this->tried_ids.push_back(record.placed.server.id);
    // A server that was silent altogether is back once it sends anything; another one goes on all
    // the time, so that the next server gets time to begin.
    const bool was_silent =
        result != attempt_result::abandoned && !this->events.has_partial_event();
    const steady_time now = steady_clock::now();
    const steady_time returns_at = was_silent ? now : now + silence_timeout;
    this->previous.emplace(
        previous_stream{std::move(record), nullptr, head, this->events, returns_at});
    this->events.drop_undelivered();
    return next_action::leave;
}

exchange::next_action exchange::return_to_previous_server()
{
    previous_stream back = std::move(*this->previous);
    this->previous.reset();
    this->release_reserved();
    this->has_returned = true;
    this->events = std::move(back.events);
    back.record.result = attempt_result::unreachable;
    back.record.silent_since =
        std::max(back.record.silent_since, steady_clock::now() - silence_timeout + min_stay);
    count("sardine_streams_returned_total", {{"service", this->admitted.service}});
    log_event("stream_returned",
              {{"request", this->admitted.request.id}, {"server", back.record.placed.server.id}});
    bool reusable = false;
    const next_action next = this->relay_stream(*back.connection, back.head, back.record, reusable);
    this->end_connection(std::move(back.connection), back.record, reusable, next);
    this->end_attempt(back.record, next);
    return next;
}

void exchange::close_previous_stream()
{
    if (!this->previous.has_value()) {
        return;
    }
    const previous_stream over = std::move(*this->previous);
    this->previous.reset();
    const attempt_record& record = over.record;
    if (record.result == attempt_result::unreachable) {
        this->services.connections.discard(record.placed.server);
    }
    over.connection->socket.abort();
    this->services.servers.finish(record.placed, record.result, record.first_byte);
}

bool exchange::previous_server_goes_on() const
{
    return this->previous.has_value() && steady_clock::now() >= this->previous->returns_at &&
           this->previous->connection->socket.has_input();
}

exchange::next_action exchange::give_up_move(attempt_record& record)
{
    if (elapsed_since(record.started) < silence_timeout) {
        record.result = attempt_result::abandoned;
    }
    return this->handle_failure(attempt_state::possibly_executed,
                                make_error(absl::StatusCode::kDeadlineExceeded, "stream",
                                           record.placed.server.id,
                                           "the server that the stream left goes on"),
                                record);
}

} // namespace sardinestream
