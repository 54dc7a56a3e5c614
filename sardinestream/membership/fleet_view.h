// Keeps the links of a peer directory up to date with the platform's instance list and the seeds.
//
// Decides which addresses to dial: every listed instance except this process, and every seed. An
// instance that the platform lists as leaving gets no new requests from this process, even if its
// own leaving notice was lost. The list may be out of date, so absence from it never ends a
// request.
//
//     auto fleet = fleet_view::create("entry-1", seeds, *store, *directory);
//     if (fleet->is_removed("agent-7")) { ... }

#ifndef SARDINESTREAM_MEMBERSHIP_FLEET_VIEW_H_
#define SARDINESTREAM_MEMBERSHIP_FLEET_VIEW_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sardinestream/membership/peer_directory.h"
#include "sardinestream/store/instance_list.h"

namespace sardinestream::membership {

// Follows the instance list and updates a `peer_directory`. Thread-safe.
class fleet_view {
public:
    // Starts to dial the seeds at once. `store` and `directory` must outlive the result.
    [[nodiscard]] static std::unique_ptr<fleet_view> create(std::string own_id,
                                                            std::vector<address> seeds,
                                                            platform::object_store& store,
                                                            peer_directory& directory);

    fleet_view(const fleet_view&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;
    // Waits for the thread that follows the list. Cancel the watches of the store first so that it
    // ends promptly.
    ~fleet_view() = default;

    // Returns true if the platform listed the instance earlier and no longer does.
    [[nodiscard]] bool is_removed(const std::string& id) const;

private:
    fleet_view(std::string own_id, std::vector<address> seed_addresses, peer_directory& known);

    void apply(const std::vector<platform::instance>& listed);

    const std::string own_id;
    const std::vector<address> seeds;
    peer_directory& directory;
    mutable absl::Mutex mutex;
    std::set<std::string> listed_now ABSL_GUARDED_BY(mutex);
    std::set<std::string> listed_before ABSL_GUARDED_BY(mutex);
    std::unique_ptr<platform::instance_list> list; // last member, so that it is destroyed first
};

} // namespace sardinestream::membership

#endif // SARDINESTREAM_MEMBERSHIP_FLEET_VIEW_H_
