// Holds each process for a part of every period, as if it had a share of a core.
//
//     cpu_throttle throttle({{entry.get(), 0.3}, {agent.get(), 0.15}});
//
// The processes must outlive it; what is started again meanwhile is held, too. A thread of its own
// sends the signals, so that no process is held for longer because a test is busy.

#ifndef SARDINESTREAM_TESTING_SOAK_CPU_THROTTLE_H_
#define SARDINESTREAM_TESTING_SOAK_CPU_THROTTLE_H_

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

#include "sardinestream/testing/process.h"

namespace sardinestream::testing {

struct throttled_process {
    process* run = nullptr;
    // Of each period, 0 to 1; at 1 the process is never held.
    double share = 1;
};

// Returns whether a process with this share is held so long after the beginning of its period.
[[nodiscard]] bool is_held(double share, std::chrono::steady_clock::duration in_period);

class cpu_throttle {
public:
    static constexpr std::chrono::milliseconds period{100};

    explicit cpu_throttle(std::vector<throttled_process> to_hold);
    // Wakes all.
    ~cpu_throttle();
    cpu_throttle(const cpu_throttle&) = delete;
    cpu_throttle& operator=(const cpu_throttle&) = delete;

private:
    void run();

    const std::vector<throttled_process> throttled;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_CPU_THROTTLE_H_
