// Follows one kind of object in the store on a thread of its own: a list, then watches, and a list
// again whenever history was lost. Each call has its price, so changes are told a moment late,
// several at once.
//
//     kind_follower follower(store, "config", {.on_list = ..., .on_changes = ...});
//
// The hooks are called on the follower's thread.

#ifndef SARDINESTREAM_PLATFORM_KIND_FOLLOWER_H_
#define SARDINESTREAM_PLATFORM_KIND_FOLLOWER_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "sardinestream/platform/store_client.h"

namespace sardinestream::platform {

struct follower_hooks {
    // Until `relist_until`, what the store no longer holds may come back: it was out of reach
    // before. In the past where it was not.
    std::function<void(const object_list& list, steady_time relist_until)> on_list;
    std::function<void(const change_list& changes, steady_time relist_until)> on_changes;
};

class kind_follower {
public:
    kind_follower(const address& store, std::string followed_kind, follower_hooks given);
    // Waits for the watch that is open, a few seconds at the most.
    ~kind_follower();
    kind_follower(const kind_follower&) = delete;
    kind_follower& operator=(const kind_follower&) = delete;

    // Whether the last call succeeded.
    [[nodiscard]] bool is_connected() const { return this->connected; }

private:
    void follow();
    void watch_from(std::int64_t revision);
    void note_success();
    void note_failure(const absl::Status& error);
    void pause();
    [[nodiscard]] std::chrono::milliseconds call_timeout() const;

    const std::string kind;
    const follower_hooks hooks;
    store_client store;
    std::atomic<bool> stopping = false;
    std::atomic<bool> connected = false;
    int failures_in_a_row = 0;
    // Used by the follower's thread alone; zero before the first failure.
    steady_time relist_until{};
    std::thread thread;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_KIND_FOLLOWER_H_
