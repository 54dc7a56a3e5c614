// Turns SIGTERM and SIGINT into an event that main waits for, and SIGHUP into a call.
//
//     shutdown_signal signal = shutdown_signal::install(); // before any thread is started
//     ...
//     signal.wait([&] { report_what_is_open(); }, [&] { read_settings_again(); });
//     drain();
//
// The first SIGTERM or SIGINT ends `wait`; each later one calls the first hook on a separate
// thread. SIGHUP calls the second hook at any time, on the thread that waits.

#ifndef SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_
#define SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_

#include <functional>

namespace sardinestream {

class shutdown_signal {
public:
    // Blocks the signals in the calling thread and in every thread that it starts afterwards.
    [[nodiscard]] static shutdown_signal install();

    // Blocks until the first SIGTERM or SIGINT. Both hooks must stay callable until the
    // process ends; without `on_reload`, SIGHUP does nothing.
    void wait(std::function<void()> on_repeat, std::function<void()> on_reload = {});

private:
    shutdown_signal() = default;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_
