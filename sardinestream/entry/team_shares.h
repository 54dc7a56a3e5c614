// Applies team limits at an entry: runs the limiter, holds the entry slot, and exchanges shares
// with other entries.
//
//     team_shares shares("entry-1", catalogue->state());
//     shares.attach(link_options.hooks);
//     shares.start({incarnation, slots}, directory, fleet, store);
//     shares.install_hooks(services);
//
// Owns the limiter, the share exchange and the slot; their logic is in the package limits.

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

    // `state` must outlive this object.
    team_shares(std::string entry_id, catalogue::catalogue_state& state);
    ~team_shares() = default;
    team_shares(const team_shares&) = delete;
    team_shares& operator=(const team_shares&) = delete;

    // Adds the hook that answers share requests of other entries. Call before links are created.
    void attach(wire::link_hooks& hooks);

    // Starts the share exchange and claims an entry slot. The arguments must outlive this object.
    void start(identity self, const membership::peer_directory& directory,
               const membership::fleet_view& fleet, platform::object_store& store);

    // Sets the hook that enforces the limits on each request.
    void install_hooks(requests::request_services& services);

    // Charges a retry or a resumption to the team's rate limit. Returns false if the rate is
    // exhausted.
    [[nodiscard]] bool may_attempt_again(const requests::caller_request& request);

    // Stops the share exchange and releases the slot. Call once no request is in progress.
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
