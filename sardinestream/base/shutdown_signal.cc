#include "sardinestream/base/shutdown_signal.h"

#include <csignal>
#include <thread>
#include <utility>

namespace sardinestream {
namespace {

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

// Waits for a stop signal and handles reload signals in the meantime.
void wait_for_stop(const std::function<void()>& on_reload)
{
    const sigset_t signals = handled_signals();
    while (true) {
        int received = 0;
        sigwait(&signals, &received);
        if (received != SIGHUP) {
            return;
        }
        if (on_reload) {
            on_reload();
        }
    }
}

} // namespace

shutdown_signal shutdown_signal::install()
{
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return {};
}

void shutdown_signal::wait(std::function<void()> on_repeat, std::function<void()> on_reload)
{
    wait_for_stop(on_reload);
    std::thread([repeat = std::move(on_repeat), reload = std::move(on_reload)] {
        while (true) {
            wait_for_stop(reload);
            repeat();
        }
    }).detach();
}

} // namespace sardinestream
