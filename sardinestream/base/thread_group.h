// Runs threads that their owner need not join, such as one for each connection or request, and
// counts them so that a process can wait for all of them. A thread that has ended is joined by the
// next one that ends, or by the destructor. No thread is detached: glibc's pthread_detach reads a
// thread that may be ending, and be gone, at that moment.
//
//     thread_group requests;
//     requests.spawn([&] { serve(stream); });
//     requests.wait_until_empty(deadline);

#ifndef SARDINESTREAM_BASE_THREAD_GROUP_H_
#define SARDINESTREAM_BASE_THREAD_GROUP_H_

#include <chrono>
#include <functional>
#include <list>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// Runs and counts threads. Thread-safe.
class thread_group {
public:
    thread_group() = default;
    // Waits for all threads. May be called by one that has run its work, as its captures are
    // destroyed.
    ~thread_group();
    thread_group(const thread_group&) = delete;
    thread_group& operator=(const thread_group&) = delete;

    // Runs `work` on its own thread. Returns false, without running `work`, if no thread can be
    // created, also for want of memory.
    [[nodiscard]] bool spawn(std::function<void()> work);

    // Returns once no thread is running.
    void wait_until_empty();
    // Returns true once no thread is running, or false at `deadline`.
    bool wait_until_empty(std::chrono::steady_clock::time_point deadline);

    // Returns the number of running threads.
    [[nodiscard]] int size() const;

private:
    using thread_list = std::list<std::thread>;

    // Ends the count of `self`, the calling thread, and joins those that have ended before it.
    void finish(thread_list::iterator self);

    mutable absl::Mutex mutex;
    thread_list running ABSL_GUARDED_BY(mutex);
    // Have run their work and are not joined yet.
    thread_list finished ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_THREAD_GROUP_H_
