// The entry's part in team limits: the limiter, its slot, and the trade with other entries.
//
//     team_shares shares("entry-1", catalogue->state());
//     shares.attach(link_options.hooks);
//     shares.start({incarnation, slots}, directory, fleet, store);
//     shares.fill(services);
//
// Owns limiter, exchange and slot; everything else is the package limits' business.

#ifndef SARDINESTREAM_ENTRY_TEAM_SHARES_H_
#define SARDINESTREAM_ENTRY_TEAM_SHARES_H_

#include <memory>
#include <string>
#include <vector>

#include "sardinestream/catalogue/catalogue_state.h"
#include "sardinestream/limits/entry_slots.h"
#include "sardinestream/limits/share_exchange.h"
#include "sardinestream/limits/team_limiter.h"
#include "sardinestream/membership/fleet_view.h"
#include "sardinestream/membership/peer_directory.h"
#include "sardinestream/requests/services.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::entry {

// Thread-safe after `start`.
class team_shares {
public:
    struct identity {
        std::uint64_t incarnation = 0;
        int slot_count = 1;
    };

    // `state` must outlive the result.
    team_shares(std::string entry_id, catalogue::catalogue_state& state);
    ~team_shares() = default;
    team_shares(const team_shares&) = delete;
    team_shares& operator=(const team_shares&) = delete;

    // Answers other entries' requests for shares. Call before links are made.
    void attach(wire::link_hooks& hooks);

    // Starts trading and claims a slot. The arguments must outlive the result.
    void start(identity self, const membership::peer_directory& directory,
               const membership::fleet_view& fleet, platform::object_store& store);

    // Puts the limits into the request path.
    void install_hooks(requests::request_services& services);

    // Takes a retry or a resumption from the team's rate.
    [[nodiscard]] bool may_attempt_again(const requests::caller_request& request);

    // Gives the slot back. Call once no request is in progress.
    void stop();

private:
    [[nodiscard]] std::vector<std::string>
    other_entries(const membership::peer_directory& directory) const;

    const std::string id;
    limits::team_limiter limiter;
    std::unique_ptr<limits::share_exchange> exchange;
    std::unique_ptr<limits::entry_slots> slots;
};

} // namespace sardinestream::entry

#endif // SARDINESTREAM_ENTRY_TEAM_SHARES_H_
