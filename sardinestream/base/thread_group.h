// Runs threads that are not joined, such as one for each connection or request, and counts them so
// that a process can wait for all of them. Threads are started as detached ones: pthread_detach, by
// which std::thread detaches, reads a thread that may have ended and be gone (glibc).
//
//     thread_group requests;
//     requests.spawn([&] { serve(stream); });
//     requests.wait_until_empty(deadline);

#ifndef SARDINESTREAM_BASE_THREAD_GROUP_H_
#define SARDINESTREAM_BASE_THREAD_GROUP_H_

#include <chrono>
#include <functional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// Runs and counts threads. Thread-safe.
class thread_group {
public:
    thread_group() = default;
    // Waits until all threads have run their work.
    ~thread_group();
    thread_group(const thread_group&) = delete;
    thread_group& operator=(const thread_group&) = delete;

    // Runs `work` on its own thread. Returns false, without running `work`, if the system cannot
    // create a thread.
    [[nodiscard]] bool spawn(std::function<void()> work);

    // Returns once no thread is running.
    void wait_until_empty();
    // Returns true once no thread is running, or false at `deadline`.
    bool wait_until_empty(std::chrono::steady_clock::time_point deadline);

    // Returns the number of running threads.
    [[nodiscard]] int size() const;

private:
    void finish_one();

    mutable absl::Mutex mutex;
    int running ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_THREAD_GROUP_H_
