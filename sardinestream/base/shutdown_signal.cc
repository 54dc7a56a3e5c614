#include "sardinestream/base/shutdown_signal.h"

#include <csignal>
#include <thread>
#include <utility>

namespace sardinestream {
namespace {

sigset_t shutdown_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void wait_for_one()
{
    const sigset_t signals = shutdown_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace

shutdown_signal shutdown_signal::install()
{
    const sigset_t signals = shutdown_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return {};
}

void shutdown_signal::wait(std::function<void()> on_repeat)
{
    wait_for_one();
    std::thread([hook = std::move(on_repeat)] {
        while (true) {
            wait_for_one();
            hook();
        }
    }).detach();
}

} // namespace sardinestream
