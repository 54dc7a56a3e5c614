// Keeps the directory's links in step with the platform's instance list and the seeds.
//
// Owns the decision whom to dial: every listed instance and every seed but this process itself. An
// instance that the platform shows as leaving gets no new work from here, even where its own notice
// was lost. The list lags; absence from it never ends a request.
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

// Thread-safe.
class fleet_view {
public:
    // `store` and `directory` must outlive the result. Dials the seeds at once.
    [[nodiscard]] static std::unique_ptr<fleet_view> create(std::string own_id,
                                                            std::vector<address> seeds,
                                                            platform::object_store& store,
                                                            peer_directory& directory);

    fleet_view(const fleet_view&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;
    // Cancel the store's watches first for a prompt end.
    ~fleet_view() = default;

    // True where the platform listed the instance before and no longer does.
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
    std::unique_ptr<platform::instance_list> list; // last, so that it ends first
};

} // namespace sardinestream::membership

#endif // SARDINESTREAM_MEMBERSHIP_FLEET_VIEW_H_
