// A time in which the platform's store did not answer this process. A single call that fails, such
// as a watch that the store cuts off, is a short one.

#ifndef SARDINESTREAM_BASE_STORE_OUTAGE_H_
#define SARDINESTREAM_BASE_STORE_OUTAGE_H_

#include <chrono>

namespace sardinestream {

struct store_outage {
    // From when on the store may have been away; zero if there was no outage.
    std::chrono::steady_clock::time_point begun{};
    // The first answer after it; zero as long as it lasts.
    std::chrono::steady_clock::time_point ended{};

    // Returns the end, or `now` if it lasts.
    [[nodiscard]] std::chrono::steady_clock::time_point
    end(std::chrono::steady_clock::time_point now) const
    {
        return this->ended == std::chrono::steady_clock::time_point{} ? now : this->ended;
    }
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_STORE_OUTAGE_H_
