// Follows one kind of object in the store on a thread of its own: a list, then watches, and a list
// again whenever history was lost. Each call has its price, so changes are told a moment late,
// several at once.
//
//     object_watcher follower(store, "config", {.on_list = ..., .on_changes = ...});
//
// The callbacks are called on the follower's thread.

#ifndef SARDINESTREAM_PLATFORM_OBJECT_WATCHER_H_
#define SARDINESTREAM_PLATFORM_OBJECT_WATCHER_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "sardinestream/platform/store_client.h"

namespace sardinestream::platform {

struct watcher_callbacks {
    // Until `relist_until`, what the store no longer holds may come back: it was out of reach
    // before. In the past where it was not.
    std::function<void(const object_list& list, steady_time relist_until)> on_list;
    std::function<void(const change_list& changes, steady_time relist_until)> on_changes;
};

class object_watcher {
public:
    object_watcher(const address& store, std::string watched_kind, watcher_callbacks given);
    // Waits for the watch that is open, a few seconds at the most.
    ~object_watcher();
    object_watcher(const object_watcher&) = delete;
    object_watcher& operator=(const object_watcher&) = delete;

    // Whether the last call succeeded.
    [[nodiscard]] bool is_connected() const { return this->connected; }

private:
    void run();
    void watch_from(std::int64_t revision);
    void record_success();
    void record_failure(const absl::Status& error);
    void back_off();
    [[nodiscard]] std::chrono::milliseconds call_timeout() const;

    const std::string kind;
    const watcher_callbacks callbacks;
    store_client store;
    std::atomic<bool> stopping = false;
    std::atomic<bool> connected = false;
    int consecutive_failures = 0;
    // Used by the follower's thread alone; zero before the first failure.
    steady_time relist_until{};
    std::thread thread;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_OBJECT_WATCHER_H_
