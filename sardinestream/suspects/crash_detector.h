// Distinguishes a crash of the backend server from a lost connection, and identifies the requests
// suspected of causing a crash.
//
// Each agent has one detector for its backend server. The agent reports when a request begins and
// how it ended:
//
//     const std::uint64_t id = detector->begin(fingerprint);
//     ... the call ...
//     detector->end(id, call_outcome::lost);
//
// When a connection is lost, the detector waits for up to `settle_time` for the other requests that
// were in flight. If one of them is still in flight after that and the server still responds, only
// a connection was lost. Otherwise the server has crashed, and all requests lost with it become
// suspects. `end` returns after the peers have been notified, so the caller of a lost request is
// answered only after the suspicion has been sent.
//
// A server that closes its only connection without an answer is considered crashed, because it may
// have been restarted since. The suspicion is cleared as soon as the request completes.

#ifndef SARDINESTREAM_SUSPECTS_CRASH_DETECTOR_H_
#define SARDINESTREAM_SUSPECTS_CRASH_DETECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/base/digest128.h"
#include "sardinestream/suspects/suspect_registry.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::suspects {

enum class call_outcome : std::uint8_t {
    completed, // the server answered
    lost,      // the server closed the connection without a complete answer
    abandoned  // this side cancelled the call, or it timed out
};

struct crash_detector_options {
    std::string agent_id;
    std::uint64_t agent_incarnation = 0;
    // Returns whether the backend server responds at present.
    std::function<bool()> is_server_responding;
    // Sends the registry's changes to the peers; called after each change.
    std::function<void()> notify_peers;
    // How long a loss waits for the other requests that were in flight to end.
    absl::Duration settle_time = absl::Milliseconds(200);
};

// Thread-safe.
class crash_detector {
public:
    // `suspects` must outlive the detector.
    crash_detector(suspect_registry* suspects, crash_detector_options chosen);

    // Returns true after a crash until the server responds again, which is checked by this call.
    // Requests sent in the meantime would be lost too, and suspected of a crash that they did not
    // cause.
    [[nodiscard]] bool server_is_down();

    // Records the start of a request. Returns an id that must be passed to `end` exactly once.
    [[nodiscard]] std::uint64_t begin(digest128 fingerprint);

    // Records the end of a request. After a loss, blocks until the loss has been classified.
    void end(std::uint64_t id, call_outcome how);

private:
    // Requests that were lost at about the same time.
    struct loss_group {
        std::vector<digest128> lost;
        // Requests with this id or a higher one began after the loss.
        std::uint64_t first_later_id = 0;
        bool classified = false;
    };

    void handle_loss(digest128 fingerprint);
    void classify_loss(const std::shared_ptr<loss_group>& losses);
    void report_crash(const std::vector<digest128>& lost);
    [[nodiscard]] bool any_in_flight_before(std::uint64_t id) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    suspect_registry* const registry;
    const crash_detector_options options;
    absl::Mutex mutex;
    std::uint64_t next_id ABSL_GUARDED_BY(mutex) = 1;
    std::uint64_t crash_count ABSL_GUARDED_BY(mutex) = 0;
    bool down ABSL_GUARDED_BY(mutex) = false; // has crashed and not responded since
    std::map<std::uint64_t, digest128> in_flight ABSL_GUARDED_BY(mutex);
    // Null if no loss is being classified.
    std::shared_ptr<loss_group> current_loss ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_CRASH_DETECTOR_H_
