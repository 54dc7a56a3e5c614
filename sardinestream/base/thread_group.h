// Threads that nobody joins one by one: one for each connection or request, counted so that a
// process can wait for the last of them.
//
//     thread_group requests;
//     requests.spawn([&] { serve(stream); });
//     requests.wait_until_empty(deadline);

#ifndef SARDINESTREAM_BASE_THREAD_GROUP_H_
#define SARDINESTREAM_BASE_THREAD_GROUP_H_

#include <functional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream {

// Thread-safe.
class thread_group {
public:
    thread_group() = default;
    // Waits for every thread.
    ~thread_group();
    thread_group(const thread_group&) = delete;
    thread_group& operator=(const thread_group&) = delete;

    // Runs `work` on a thread of its own. Returns false where the system has no thread left; `work`
    // is then not run.
    [[nodiscard]] bool spawn(std::function<void()> work);

    // Returns true once no thread is running, false when `deadline` comes first.
    bool wait_until_empty(absl::Time deadline);

    // The number of threads that are running.
    [[nodiscard]] int size() const;

private:
    void finish_one();

    mutable absl::Mutex mutex;
    int running ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_THREAD_GROUP_H_
