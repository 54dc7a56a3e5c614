// Watches one kind of object in the store on its own thread: lists the objects, then watches for
// changes, and lists again whenever the store no longer has the history, and from time to time
// while it has not been able to read the list to its end. Store calls are costly, so
// changes are reported in batches, with a short delay.
//
//     object_watcher watcher(store, "config", {.on_list = ..., .on_changes = ...});
//
// The callbacks are called on the watcher's thread.

#ifndef SARDINESTREAM_PLATFORM_OBJECT_WATCHER_H_
#define SARDINESTREAM_PLATFORM_OBJECT_WATCHER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "sardinestream/base/store_contact.h"
#include "sardinestream/base/store_outage.h"
#include "sardinestream/platform/store_client.h"

namespace sardinestream::platform {

// Pause between watch calls, so that changes in quick succession share one call.
inline constexpr std::chrono::milliseconds batch_interval{200};
// How long one watch call waits for changes.
inline constexpr std::chrono::milliseconds watch_wait{1600};
// Timeout of a store call, not counting its wait.
inline constexpr std::chrono::milliseconds initial_timeout{700};
// The store is followed again this long after the connection of a watch has gone silent: below the
// time after which servers count as perhaps cold because their list has not been confirmed.
inline constexpr std::chrono::milliseconds max_silence{2550};

struct watcher_callbacks {
    // `outage` is the last one that any call of the process met.
    std::function<void(const object_list& list, const store_outage& outage)> on_list;
    // Also called with no changes, after a watch that saw none.
    std::function<void(const change_list& changes, const store_outage& outage)> on_changes;
    // Called with the objects that were read of a list which cannot be read to its end; changes of
    // all objects follow. If it is empty, such a list counts as a failed call.
    std::function<void(const object_list& list)> on_partial_list = nullptr;
};

class object_watcher {
public:
    // `max_specification_bytes` as for store_client. The watchers of a process share one
    // `store_contact`; without one, the watcher judges the store by its own calls.
    object_watcher(const address& store, std::string watched_kind, watcher_callbacks hooks,
                   std::size_t max_specification_bytes = any_size,
                   std::shared_ptr<store_contact> store_calls = nullptr);
    // Waits for the open watch call to end, a few seconds at most.
    ~object_watcher();
    object_watcher(const object_watcher&) = delete;
    object_watcher& operator=(const object_watcher&) = delete;

    // Returns whether the last store call succeeded. Thread-safe.
    [[nodiscard]] bool is_connected() const { return this->connected; }

private:
    void run();
    // Passes on what was read of a list. Returns false if nobody wants it.
    bool use_partial(const object_list& read);
    // Follows the changes after `followed` until `end`, or until their history is lost.
    void watch_until(steady_time end);
    void record_success();
    // Records a call made at `called` that failed, and waits until the next one may be made.
    void handle_failure(const absl::Status& error, steady_time called);
    void back_off();
    [[nodiscard]] std::chrono::milliseconds call_timeout() const;

    const std::string kind;
    const watcher_callbacks callbacks;
    store_client store;
    std::atomic<bool> stopping = false;
    std::atomic<bool> connected = false;
    const std::shared_ptr<store_contact> contact;
    // Used only by the watcher's thread, like `followed`.
    int consecutive_failures = 0;
    // Up to where the changes since the last list are known. A list that was not read to its end
    // does not set it forward: the changes of the rest would be missed.
    std::optional<store_position> followed;
    std::thread thread;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_OBJECT_WATCHER_H_
