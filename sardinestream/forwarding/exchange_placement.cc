// Implements the part of exchange that gets a server for an attempt, and decides when a request
// leaves a server that is silent or slow.

#include <algorithm>
#include <utility>

#include "sardinestream/backends/refusal.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/forwarding/exchange.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Callers abandon a stream if the next event takes longer than the greatest of this and these
// multiples of the route's targets.
constexpr milliseconds max_wait_for_event{2000};
constexpr int max_wait_in_latency_targets = 4;
constexpr int max_wait_in_pause_targets = 8;
// Minimum time that a server needs from a free slot to the first event.
constexpr milliseconds min_time_to_first_event{400};
// Pause before each further attempt after max_refusals.
constexpr milliseconds refusal_pause{200};
// How often it is asked whether a request may leave its silent server.
constexpr milliseconds silence_check{200};

} // namespace

placement_request exchange::make_placement_request() const
{
    placement_request wanted;
    wanted.service = this->admitted.service;
    wanted.priority = this->admitted.priority;
    wanted.has_begun = this->response_started;
    wanted.excluded_ids = this->tried_ids;
    wanted.cost = this->cost_from(this->delivered_tokens());
    wanted.is_obsolete = [this] {
        return this->shutdown_would_cut() || steady_clock::now() >= this->answer_deadline();
    };
    return wanted;
}

bool exchange::reserve(placement other)
{
    this->reserved = std::move(other);
    const absl::Status refused =
        this->services.crashes.check(this->admitted.request, this->admitted.service);
    if (!refused.ok()) {
        this->stays_until = steady_clock::now() + retry_after_of(refused);
    }
    if (!refused.ok() || !this->services.take_retry(this->admitted.service)) {
        this->release_reserved();
        return false;
    }
    this->retry_granted = true;
    return true;
}

void exchange::release_reserved()
{
    if (this->reserved.has_value()) {
        const placement unused = *std::exchange(this->reserved, std::nullopt);
        this->services.servers.finish(unused, attempt_result::abandoned, milliseconds(0));
    }
}

bool exchange::may_leave_silent_server(const backend_server& server) const
{
    const std::string& service = this->admitted.service;
    // The other ranks of a group that stands still are as silent; it usually goes on in time, rank
    // after rank.
    const bool group_may_go_on =
        steady_clock::now() < this->caller_leaves_at() - min_time_to_first_event &&
        this->services.servers.group_may_stand_still(server);
    if (group_may_go_on) {
        return false;
    }
    // A shutdown would end the request at another server sooner than at this one.
    return !this->shutdown_would_cut() && this->can_retry(attempt_state::possibly_executed) &&
           !this->services.servers.stands_still(service) && this->services.has_retry(service) &&
           steady_clock::now() >= this->stays_until;
}

bool exchange::find_other_server(server_connection& connection, const attempt_record& record)
{
    if (this->may_leave_silent_server(record.placed.server)) {
        return this->wait_for_other_server(connection, record);
    }
    this->wait_for_first_byte(connection, steady_clock::now() + silence_check);
    return false;
}

bool exchange::wait_for_other_server(server_connection& connection, const attempt_record& record)
{
    placement_request wanted = this->make_placement_request();
    wanted.excluded_ids.push_back(record.placed.server.id);
    const absl::StatusOr<std::unique_ptr<dispatcher::queued_request>> queued =
        dispatcher::queued_request::create(this->services.servers, std::move(wanted));
    if (!queued.ok()) {
        log_failure("silent_server_kept", queued.status(),
                    {{"request", this->admitted.request.id}});
        this->wait_for_first_byte(connection, steady_clock::now() + silence_check);
        return false;
    }
    const steady_time asks_until = steady_clock::now() + silence_check;
    while (true) {
        std::optional<placement> other = (*queued)->take();
        if (other.has_value()) {
            return this->reserve(*std::move(other));
        }
        const steady_time now = steady_clock::now();
        if (connection.reader.has_surplus() || connection.socket.has_input_or_end() ||
            this->caller_watch.has_hung_up() || this->previous_server_goes_on() ||
            now >= asks_until || now >= this->answer_deadline() || this->shutdown_would_cut()) {
            return false;
        }
        wait_for_any_input({connection.socket.descriptor(), (*queued)->descriptor()},
                           this->caller_watch,
                           now + (this->previous.has_value() ? previous_server_check
                                                             : dispatcher::recheck_interval));
    }
}

absl::StatusOr<placement> exchange::place()
{
    const auto check = [this] {
        return this->services.crashes.check(this->admitted.request, this->admitted.service);
    };
    if (!this->reserved.has_value()) {
        SARDINE_RETURN_IF_ERROR(check());
    }
    absl::StatusOr<placement> placed = this->reserved.has_value()
                                           ? *std::exchange(this->reserved, std::nullopt)
                                           : this->wait_for_server();
    if (!placed.ok()) {
        return placed;
    }
    // Other requests may have shown in the meantime that this one crashes servers, and a shutdown
    // may have begun.
    absl::Status refused = this->check_shutdown();
    if (refused.ok()) {
        refused = check();
    }
    if (!refused.ok()) {
        this->services.servers.finish(*placed, attempt_result::abandoned, milliseconds(0));
        return refused;
    }
    return placed;
}

absl::StatusOr<placement> exchange::wait_for_server()
{
    // Another entry can serve the request to its end.
    SARDINE_RETURN_IF_ERROR(this->check_shutdown());
    SARDINE_RETURN_IF_ERROR(this->check_size());
    if (this->response_started && this->servers_refused >= max_refusals) {
        wait_for_any_input({}, this->caller_watch, steady_clock::now() + refusal_pause);
    }
    placement_request wanted = this->make_placement_request();
    steady_time give_up_at = this->deadline;
    if (this->matched_route.kind == request_kind::streaming) {
        give_up_at = std::min(give_up_at, this->caller_leaves_at() - min_time_to_first_event);
    }
    else {
        give_up_at = steady_clock::now() + (give_up_at - steady_clock::now()) / 2;
    }
    if (this->response_started) {
        // Its caller may stay longer than expected; nothing is lost by trying.
        give_up_at = std::max(give_up_at, steady_clock::now() + min_time_to_first_event);
    }
    give_up_at = std::min(give_up_at, this->answer_deadline());
    wanted.max_wait = milliseconds(milliseconds_until(give_up_at));
    return this->services.servers.place(wanted, this->caller_watch);
}

steady_time exchange::caller_leaves_at() const
{
    return this->last_delivery +
           std::max({max_wait_for_event,
                     max_wait_in_latency_targets * this->matched_route.latency_target,
                     max_wait_in_pause_targets * this->matched_route.pause_target});
}

} // namespace sardinestream
