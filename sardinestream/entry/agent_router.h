// Selects an agent for each attempt from the load and cache state known to this entry.
//
// Owns one load tracker for each connected agent incarnation and an estimate of which prefixes each
// server has cached. The selection itself is made by a policy of the routing package.
//
//     agent_router router(settings.data_centre, *routing::make_policy("expected_first_token"));
//     auto directory = membership::peer_directory::create(options, router.observer());
//     std::shared_ptr<membership::peer> agent = router.choose(*directory, request, history);

#ifndef SARDINESTREAM_ENTRY_AGENT_ROUTER_H_
#define SARDINESTREAM_ENTRY_AGENT_ROUTER_H_

#include <map>
#include <memory>
#include <string>

#include "sardinestream/membership/peer_directory.h"
#include "sardinestream/requests/services.h"
#include "sardinestream/routing/load_report.h"
#include "sardinestream/routing/prefix_index.h"
#include "sardinestream/routing/routing_policy.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::entry {

// Thread-safe.
class agent_router {
public:
    agent_router(std::string own_data_centre, routing::routing_policy policy);

    // Returns the observer that keeps the trackers consistent with the directory. The router must
    // outlive the directory.
    [[nodiscard]] membership::peer_directory::observer observer();

    // Returns null if no agent can serve the request.
    [[nodiscard]] std::shared_ptr<membership::peer>
    choose(const membership::peer_directory& directory, const requests::caller_request& request,
           const requests::attempt_history& history);

    // Records that the agent's server has run the request's prompt and has probably cached it.
    void record_completion(const requests::caller_request& request, const membership::peer& agent);

private:
    [[nodiscard]] std::shared_ptr<routing::load_tracker>
    tracker_of(const membership::peer& agent) const;
    [[nodiscard]] routing::distance_class distance_to(absl::string_view data_centre) const;

    const std::string data_centre;
    const routing::routing_policy policy;
    routing::prefix_index prefixes;
    mutable absl::Mutex mutex;
    std::map<const membership::peer*, std::shared_ptr<routing::load_tracker>>
        trackers ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::entry

#endif // SARDINESTREAM_ENTRY_AGENT_ROUTER_H_
