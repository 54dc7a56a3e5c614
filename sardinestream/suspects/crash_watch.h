// Tells a crash of the backend server from a connection that was cut, and names the suspects.
//
// One watch stands beside each agent's backend server. The agent says when a request begins and how
// it ended:
//
//     const std::uint64_t id = watch->begin(fingerprint);
//     ... the call ...
//     watch->end(id, call_end::lost);
//
// When a connection is lost, the watch waits a moment for the other requests that were in flight.
// If one of them goes on and the server still answers, a connection was cut. Otherwise
// the server crashed, and all that were lost with it become suspects. `end` returns after the peers
// have been told, so the loss is answered only when the suspicion is on its way.
//
// A server that closes its only connection without an answer counts as crashed, because it may have
// been restarted since. The suspicion is lifted as soon as the request completes.

#ifndef SARDINESTREAM_SUSPECTS_CRASH_WATCH_H_
#define SARDINESTREAM_SUSPECTS_CRASH_WATCH_H_

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

enum class call_end : std::uint8_t {
    completed, // the server answered
    lost,      // the server ended the connection without a whole answer
    given_up   // this side ended the call, or its time ran out
};

struct crash_watch_options {
    std::string agent_id;
    std::uint64_t agent_incarnation = 0;
    // True where the backend server answers now.
    std::function<bool()> server_answers;
    // Tells the peers what the registry holds; called after each change.
    std::function<void()> tell_peers;
    // How long a loss waits for the other requests that were in flight.
    absl::Duration settle_time = absl::Milliseconds(200);
};

// Thread-safe.
class crash_watch {
public:
    // `registry` must outlive the watch.
    crash_watch(suspect_registry* suspects, crash_watch_options given);

    // True after a crash until the server answers again; asks it. Requests that are sent meanwhile
    // would be lost too, and suspected for a crash that they had no part in.
    [[nodiscard]] bool server_is_down();

    // Returns the number under which `end` is called, exactly once.
    [[nodiscard]] std::uint64_t begin(digest128 fingerprint);

    // After a loss this blocks until it is known whether the server crashed.
    void end(std::uint64_t id, call_end how);

private:
    // Requests that were lost at about the same time.
    struct loss {
        std::vector<digest128> lost;
        std::uint64_t first_later_id = 0; // requests from here on began after the loss
        bool judged = false;
    };

    void end_lost(digest128 fingerprint);
    void judge(const std::shared_ptr<loss>& losses);
    void report_crash(const std::vector<digest128>& lost);
    [[nodiscard]] bool any_in_flight_before(std::uint64_t id) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    suspect_registry* const registry;
    const crash_watch_options options;
    absl::Mutex mutex;
    std::uint64_t next_id ABSL_GUARDED_BY(mutex) = 1;
    std::uint64_t crashes ABSL_GUARDED_BY(mutex) = 0;
    bool down ABSL_GUARDED_BY(mutex) = false; // has crashed and not answered since
    std::map<std::uint64_t, digest128> in_flight ABSL_GUARDED_BY(mutex);
    std::shared_ptr<loss> current ABSL_GUARDED_BY(mutex); // null where no loss is being judged
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_CRASH_WATCH_H_
