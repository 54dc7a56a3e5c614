// Turns SIGTERM and SIGINT into an event that main waits for.
//
//     shutdown_signal signal = shutdown_signal::install(); // before any thread is started
//     ...
//     signal.wait([&] { report_what_is_open(); });
//     drain();
//
// The first signal ends `wait`; each later one calls the hook, on a thread of its own.

#ifndef SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_
#define SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_

#include <functional>

namespace sardinestream {

class shutdown_signal {
public:
    // Blocks both signals in the calling thread and in every thread that it starts afterwards.
    [[nodiscard]] static shutdown_signal install();

    // Blocks until the first signal. `on_repeat` must stay callable until the process ends.
    void wait(std::function<void()> on_repeat);

private:
    shutdown_signal() = default;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_
