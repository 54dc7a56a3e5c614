// Holds processes for half of the time, each in its turn, as if they had half of a core.
//
//     cpu_throttle throttle({first.get(), second.get()});
//
// The processes must outlive it; what is started again meanwhile is held, too. A thread of its own
// sends the signals, so that no process is held for longer because a test is busy.

#ifndef SARDINESTREAM_TESTING_SOAK_CPU_THROTTLE_H_
#define SARDINESTREAM_TESTING_SOAK_CPU_THROTTLE_H_

#include <atomic>
#include <thread>
#include <vector>

#include "sardinestream/testing/process.h"

namespace sardinestream::testing {

class cpu_throttle {
public:
    explicit cpu_throttle(std::vector<process*> to_hold);
    // Wakes all.
    ~cpu_throttle();
    cpu_throttle(const cpu_throttle&) = delete;
    cpu_throttle& operator=(const cpu_throttle&) = delete;

private:
    void run();

    const std::vector<process*> throttled;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_CPU_THROTTLE_H_
