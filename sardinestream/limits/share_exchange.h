// Exchanges units of team limits with the other entries. One thread plans; a short-lived thread
// sends each message and waits for its response.
//
//     auto exchange = share_exchange::create(
//         {.peers = [&] { return live_entry_ids(); },
//          .send = [&](const std::string& peer, const std::string& request, absl::Time deadline) {
//              return call_peer(peer, wire::frame_type::share_request, request, deadline); }},
//         limiter);
//     ... at the receiving entry: answer_share_request(limiter, payload) -> share_loan payload ...
//
// Owns no units. If a peer does not respond, this entry may refuse requests although units are free
// elsewhere, but the limits are never exceeded.

#ifndef SARDINESTREAM_LIMITS_SHARE_EXCHANGE_H_
#define SARDINESTREAM_LIMITS_SHARE_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/limits/team_limiter.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::limits {

struct share_exchange_options {
    // Returns the ids of the other live entries.
    std::function<std::vector<std::string>()> peers;
    // Sends a `share_request` payload and returns the `share_loan` payload that answers it.
    std::function<absl::StatusOr<std::string>(const std::string& peer, const std::string& request,
                                              absl::Time deadline)>
        send;
    // Time between two plans if nothing requests an earlier one.
    absl::Duration interval = absl::Milliseconds(200);
    absl::Duration answer_timeout = absl::Milliseconds(500);
};

// Handles a peer's `share_request` payload and returns the `share_loan` payload to respond with.
// Fails if `payload` cannot be decoded.
[[nodiscard]] absl::StatusOr<std::string> answer_share_request(team_limiter& limiter,
                                                               absl::string_view payload);

// Runs the exchange for one limiter. Thread-safe.
class share_exchange {
public:
    // `limiter` must outlive the result.
    [[nodiscard]] static std::unique_ptr<share_exchange> create(share_exchange_options options,
                                                                team_limiter& limiter);
    // Waits until all messages in flight have been answered or have timed out.
    ~share_exchange();
    share_exchange(const share_exchange&) = delete;
    share_exchange& operator=(const share_exchange&) = delete;

private:
    share_exchange(share_exchange_options options, team_limiter& limiter);

    void run();
    // Sends the pending request of each peer that has no message in flight.
    void send_pending();
    void exchange_with(const std::string& peer, const share_requestT& request);
    void request_plan();

    const share_exchange_options options;
    team_limiter& limiter;
    absl::Mutex mutex;
    bool plan_requested ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    // The request to send next to each peer, and the peers with a message in flight.
    std::map<std::string, share_requestT> pending_requests ABSL_GUARDED_BY(mutex);
    std::set<std::string> peers_in_exchange ABSL_GUARDED_BY(mutex);
    thread_group message_threads;
    std::thread planner_thread;
};

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_SHARE_EXCHANGE_H_
