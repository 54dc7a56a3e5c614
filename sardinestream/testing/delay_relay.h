// Passes the bytes of TCP connections on after a steady delay, unread.
//
//     auto relay = delay_relay::create(agent_address, absl::Microseconds(1500));
//     ... connect to (*relay)->local() ...
//     (*relay)->black_hole();
//
// For load, where fault_proxy, which reads every message, costs too much.

#ifndef SARDINESTREAM_TESTING_DELAY_RELAY_H_
#define SARDINESTREAM_TESTING_DELAY_RELAY_H_

#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include "sardinestream/base/settings.h"
#include "sardinestream/base/thread_group.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

// Thread-safe.
class delay_relay {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<delay_relay>>
    create(address server, absl::Duration one_way_delay);

    // Ends every connection.
    ~delay_relay();
    delay_relay(const delay_relay&) = delete;
    delay_relay& operator=(const delay_relay&) = delete;

    [[nodiscard]] const address& local() const { return this->listening_at; }

    // Swallows everything from now on, with the sockets open.
    void black_hole() { this->swallowing = true; }

private:
    delay_relay(address server, absl::Duration one_way_delay) : remote(server), delay(one_way_delay)
    {
    }

    [[nodiscard]] absl::Status listen();
    void accept_connections();
    void relay(int client);
    // Copies one direction until either end closes.
    void copy(int from, int to) const;

    const address remote;
    const absl::Duration delay;
    address listening_at;
    int listener = -1;
    std::atomic<bool> swallowing{false};
    absl::Mutex mutex;
    std::set<int> open ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    thread_group connections;
    std::thread accepting;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_DELAY_RELAY_H_
