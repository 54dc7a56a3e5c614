// Keeps requests that crash backend servers away from them: reports the requests that were lost
// when a server crashed, and refuses those that the registry of suspects blames.
//
// A lost connection counts as a crash if the server refuses a new one immediately afterwards. A
// request that has been answered for `time_to_prove` is sound and no longer a suspect.

#ifndef SARDINESTREAM_FORWARDING_CRASH_GUARD_H_
#define SARDINESTREAM_FORWARDING_CRASH_GUARD_H_

#include <chrono>
#include <functional>
#include <string>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/forwarding/caller_request.h"
#include "sardinestream/suspects/suspect_registry.h"

#include "absl/status/status.h"

namespace sardinestream {

struct crash_guard_hooks {
    // Returns whether the server refuses connections, so that its process must have ended. Blocks
    // for a fraction of a second at the most.
    std::function<bool(const address& server)> refuses_connections;
    // Called when the registry has learned something that other processes must know.
    std::function<void()> on_change;
};

// Thread-safe.
class crash_guard {
public:
    // A request crashes its server as the answer begins, so a stream that has gone on for this long
    // is sound.
    static constexpr std::chrono::milliseconds time_to_prove{1000};

    // `suspects` must outlive the guard.
    crash_guard(suspects::suspect_registry& suspects, crash_guard_hooks callbacks);

    // Returns a refusal with a retry delay (`retry_after_of`) if the request is blamed for crashes.
    [[nodiscard]] absl::Status check(const caller_request& request,
                                     const std::string& service) const;

    // Records that the connection to the server was lost while the request was new there.
    void note_lost(const backend_server& server, const caller_request& request);

    // Records that the request was answered, or for long enough, without a crash.
    void note_sound(const caller_request& request, const std::string& service);

private:
    suspects::suspect_registry& registry;
    const crash_guard_hooks hooks;
};

// Returns the options for servers that several processes share: requests cannot run alone on them,
// so it takes more crashes to find the cause. `trial_position` is as in the options.
[[nodiscard]] suspects::suspect_registry_options
shared_server_suspects(std::function<int(const digest128& trait)> trial_position = nullptr);

// Returns whether the server refuses a connection, as opposed to accepting or not answering it.
[[nodiscard]] bool refuses_connections(const address& server);

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_CRASH_GUARD_H_
