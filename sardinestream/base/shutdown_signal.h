// Turns SIGTERM and SIGINT into an event that main waits for, and SIGHUP into a call.
//
//     shutdown_signal signal = shutdown_signal::install(); // before any other thread is started
//     ...
//     const auto received = signal.wait({.on_repeat = [&] { report_what_is_open(); },
//                                        .on_reload = [&] { read_settings_again(); }});
//     drain(received + grace);
//
// A thread of its own receives the signals, so that a stop is noticed, and its time taken, at once:
// also while the program still starts or reads its settings again.

#ifndef SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_
#define SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_

#include <chrono>
#include <functional>
#include <memory>

namespace sardinestream {

// Hooks for the signals that do not end `wait`. They are called on one thread, one at a time, and
// must stay callable until the process ends. Each may be empty.
struct signal_hooks {
    // A further SIGTERM or SIGINT.
    std::function<void()> on_repeat;
    // SIGHUP. Signals that arrive during a call lead to one more call.
    std::function<void()> on_reload;
};

class shutdown_signal {
public:
    // Blocks the signals in the calling thread and in every thread that it starts afterwards, and
    // starts the threads that receive them. They run until the process ends.
    [[nodiscard]] static shutdown_signal install();

    // Blocks until the first SIGTERM or SIGINT. Returns when it was received. The hooks are called
    // from now on, also for signals that have arrived before, and after the return as well.
    [[nodiscard]] std::chrono::steady_clock::time_point wait(signal_hooks hooks);

private:
    class receiver;

    explicit shutdown_signal(std::shared_ptr<receiver> started);

    std::shared_ptr<receiver> signals;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_SHUTDOWN_SIGNAL_H_
