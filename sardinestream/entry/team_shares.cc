#include "sardinestream/entry/team_shares.h"

#include <utility>

#include "sardinestream/base/error.h"

namespace sardinestream::entry {
namespace {

absl::StatusOr<std::string> call_peer(const membership::peer_directory& directory,
                                      const std::string& peer, const std::string& request,
                                      absl::Time deadline)
{
    const std::shared_ptr<membership::peer> entry = directory.find(peer);
    if (entry == nullptr) {
        return make_error(absl::StatusCode::kUnavailable, "trade_shares", peer,
                          "no link to the entry");
    }
    const std::shared_ptr<wire::stream> opened = entry->link->open_stream();
    SARDINE_RETURN_IF_ERROR(opened->send(wire::frame_type::share_request, request));
    absl::StatusOr<wire::frame> answer = opened->receive(deadline);
    if (!answer.ok()) {
        return answer.status();
    }
    opened->finish();
    return std::move(answer->payload);
}

} // namespace

team_shares::team_shares(std::string entry_id, catalogue::catalogue_state& state)
    : id(std::move(entry_id)), limiter({.entry_id = this->id})
{
    state.on_change([this](const std::shared_ptr<const catalogue::catalogue_snapshot>& now) {
        this->limiter.set_catalogue(*now);
    });
    this->limiter.set_catalogue(*state.current());
}

void team_shares::attach(wire::link_hooks& hooks)
{
    hooks.on_stream = [this, inner = std::move(hooks.on_stream)](
                          const std::shared_ptr<wire::stream>& opened, const wire::frame& first) {
        if (first.header.type != wire::frame_type::share_request) {
            if (inner) {
                inner(opened, first);
            }
            return;
        }
        const absl::StatusOr<std::string> answer =
            limits::answer_share_request(this->limiter, first.payload);
        if (answer.ok()) {
            opened->send(wire::frame_type::share_loan, *answer).IgnoreError();
            opened->finish();
        }
    };
}

void team_shares::start(identity self, const membership::peer_directory& directory,
                        const membership::fleet_view& fleet, platform::object_store& store)
{
    this->exchange = limits::share_exchange::create(
        {.peers = [this, &directory] { return this->other_entries(directory); },
         .send =
             [&directory](const std::string& peer, const std::string& request,
                          absl::Time deadline) {
                 return call_peer(directory, peer, request, deadline);
             }},
        this->limiter);
    this->slots = limits::entry_slots::create(
        {.entry_id = this->id,
         .incarnation = self.incarnation,
         .count = static_cast<std::uint32_t>(self.slot_count),
         .is_removed = [&fleet](const std::string& holder) { return fleet.is_removed(holder); },
         .on_slot =
             [this](std::optional<limits::entry_slot> slot) { this->limiter.set_slot(slot); }},
        store);
}

void team_shares::install_hooks(requests::request_services& services)
{
    services.acquire_permit = [this](const requests::caller_request& request) {
        return this->limiter.acquire(*request.entry, time_left(request.deadline));
    };
}

bool team_shares::may_attempt_again(const requests::caller_request& request)
{
    return !this->limiter.charge_attempt(*request.entry).has_value();
}

void team_shares::stop()
{
    this->exchange.reset();
    this->slots->release(this->limiter.time_until_returned());
}

std::vector<std::string>
team_shares::other_entries(const membership::peer_directory& directory) const
{
    std::vector<std::string> others;
    for (const auto& peer : directory.with_role(wire::peer_role::entry)) {
        if (peer->identity().id != this->id && peer->usable()) {
            others.push_back(peer->identity().id);
        }
    }
    return others;
}

} // namespace sardinestream::entry
