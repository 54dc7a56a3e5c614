// Determines when the platform's store was away from what all calls of this process to it came to.
//
// One call that fails says little about the store: its connection may have gone silent while new
// ones work. The store was away only while no call of the process was answered, whichever
// connection it used.
//
//     store_contact contact([](const store_outage& outage) { ... });
//     contact.note_answer(steady_clock::now());
//     contact.note_silence(steady_clock::now());
//
// Thread-safe.

#ifndef SARDINESTREAM_BASE_STORE_CONTACT_H_
#define SARDINESTREAM_BASE_STORE_CONTACT_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "sardinestream/base/store_outage.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

class store_contact {
public:
    using time_point = std::chrono::steady_clock::time_point;
    // Called when an outage has begun, with no end, again if it turns out to have begun earlier,
    // and when it has ended. Calls are in order, and must not call the contact.
    using outage_hook = std::function<void(const store_outage& outage)>;

    explicit store_contact(outage_hook on_outage = nullptr);

    // Records that a call was answered, by whatever the store does for its callers.
    void note_answer(time_point now);
    // Records that a call was refused or cut off: the store was there until then.
    void note_refusal(time_point now);
    // Records that a call made at `called` has ended without a sign of the store. The store may
    // have been away since its last answer.
    void note_silence(time_point called);

    // Returns how long the watch of that name may wait for changes, `longest` at most, so that the
    // answers to the watches of the process come at even intervals. Called as each call is made.
    [[nodiscard]] std::chrono::milliseconds
    plan_wait(const std::string& watch, std::chrono::milliseconds longest, time_point now);

    // Returns the last outage; one without an end lasts.
    [[nodiscard]] store_outage last_outage() const;
    // Returns when the last call was answered; zero before the first.
    [[nodiscard]] time_point last_answer() const;

private:
    void begin_outage(time_point begun) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool is_away() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const outage_hook on_outage;
    mutable absl::Mutex mutex;
    time_point answered ABSL_GUARDED_BY(mutex){};
    store_outage outage ABSL_GUARDED_BY(mutex);
    // When the wait of each watch ends, or ended.
    std::map<std::string, time_point> wait_ends ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_STORE_CONTACT_H_
