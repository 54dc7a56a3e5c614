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

    // Schedules `event` for the time `delay` from now; a zero delay is allowed.
    void schedule(steady_clock::duration delay, std::function<void()> event)
    {
        this->events.emplace(this->present + delay, std::move(event));
    }

    // Runs the events that are due within `length` of the start.
    void run(steady_clock::duration length)
    {
        while (!this->events.empty() && this->events.begin()->first < this->beginning + length) {
            const auto next = this->events.begin();
            this->present = next->first;
            const std::function<void()> event = std::move(next->second);
            this->events.erase(next);
            event();
        }
    }

private:
    const steady_time beginning = steady_clock::now();
    steady_time present = beginning;
    std::multimap<steady_time, std::function<void()>> events;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SIMULATED_CLOCK_H_
