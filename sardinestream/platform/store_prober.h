// Makes sure that the store's silence is noticed soon and not taken for granted: where no call of
// this process has been answered for some time, it asks the store on a new connection. Open
// connections may have gone silent while the store answers everybody else.
//
//     const store_prober prober(store, probe_interval(heartbeat), contact);
//
// A probe that fails says nothing: the watches find out when the store is away.

#ifndef SARDINESTREAM_PLATFORM_STORE_PROBER_H_
#define SARDINESTREAM_PLATFORM_STORE_PROBER_H_

#include <chrono>
#include <memory>
#include <thread>

#include "sardinestream/base/store_contact.h"
#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::platform {

// Returns the time without an answer after which to probe, so that a store which answers is never
// without one for the `heartbeat` of the servers, in which their entries might expire.
[[nodiscard]] std::chrono::milliseconds probe_interval(std::chrono::milliseconds heartbeat);

class store_prober {
public:
    // Begins once `contact` has its first answer.
    store_prober(address store, std::chrono::milliseconds probe_interval,
                 std::shared_ptr<store_contact> store_calls);
    // Waits for the open call to end, a second at most.
    ~store_prober();
    store_prober(const store_prober&) = delete;
    store_prober& operator=(const store_prober&) = delete;

private:
    void run();
    void probe();
    // Returns true if the prober is to stop.
    bool sleep_until(steady_time until);

    const address store;
    const std::chrono::milliseconds interval;
    const std::shared_ptr<store_contact> contact;
    absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_STORE_PROBER_H_
