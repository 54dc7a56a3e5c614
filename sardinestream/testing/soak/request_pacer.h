// The times at which callers send, in common: at a fixed rate, whatever becomes of the requests
// before (an open loop).
//
//     request_pacer pacer(266);
//     std::this_thread::sleep_until(pacer.next());
//
// Thread-safe.

#ifndef SARDINESTREAM_TESTING_SOAK_REQUEST_PACER_H_
#define SARDINESTREAM_TESTING_SOAK_REQUEST_PACER_H_

#include <chrono>

#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

class request_pacer {
public:
    // `per_s` must be above zero where `next` is called.
    explicit request_pacer(double per_s);

    // Returns when the next request is due. Requests that were due longer ago than `most_late`,
    // because no caller was free, are left out.
    [[nodiscard]] steady_time next(steady_time now = steady_clock::now());

    static constexpr std::chrono::milliseconds most_late{100};

private:
    const steady_clock::duration gap;
    absl::Mutex mutex;
    steady_time due ABSL_GUARDED_BY(mutex){};
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_REQUEST_PACER_H_
