// Runs scheduled events in order of simulated time, without waiting, for tests that simulate a
// load.

#ifndef SARDINESTREAM_BACKENDS_SIMULATED_CLOCK_H_
#define SARDINESTREAM_BACKENDS_SIMULATED_CLOCK_H_

#include <functional>
#include <map>
#include <utility>

#include "sardinestream/http/socket.h"

namespace sardinestream {

class simulated_clock {
public:
    [[nodiscard]] steady_time now() const { return this->present; }
    [[nodiscard]] steady_time start() const { return this->beginning; }
    [[nodiscard]] steady_clock::duration elapsed() const { return this->present - this->beginning; }

    void after(steady_clock::duration delay, std::function<void()> happens)
    {
        this->events.emplace(this->present + delay, std::move(happens));
    }

    // Runs the events that are due within `length` of the start.
    void play(steady_clock::duration length)
    {
        while (!this->events.empty() && this->events.begin()->first < this->beginning + length) {
            const auto next = this->events.begin();
            this->present = next->first;
            const std::function<void()> happens = std::move(next->second);
            this->events.erase(next);
            happens();
        }
    }

private:
    const steady_time beginning = steady_clock::now();
    steady_time present = beginning;
    std::multimap<steady_time, std::function<void()>> events;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SIMULATED_CLOCK_H_
