#include "sardinestream/base/shutdown_signal.h"

#include <csignal>
#include <optional>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

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

} // namespace

// What has been received and not handled yet. Shared with the threads, which never end.
class shutdown_signal::receiver {
public:
    // Receives signals for ever. Never waits for a hook.
    [[noreturn]] void receive()
    {
        const sigset_t signals = handled_signals();
        while (true) {
            int received = 0;
            sigwait(&signals, &received);
            const auto now = std::chrono::steady_clock::now();
            const absl::MutexLock lock(&this->mutex);
            if (received == SIGHUP) {
                this->reload_due = true;
            }
            else if (this->stopped_at.has_value()) {
                ++this->repeats_due;
            }
            else {
                this->stopped_at = now;
            }
        }
    }

    // Calls hooks for ever.
    [[noreturn]] void call_hooks()
    {
        while (true) {
            bool reload = false;
            {
                const absl::MutexLock lock(&this->mutex);
                this->mutex.Await(absl::Condition(this, &receiver::has_due_hook));
                reload = std::exchange(this->reload_due, false);
                this->repeats_due -= reload ? 0 : 1;
            }
            const std::function<void()>& hook =
                reload ? this->hooks.on_reload : this->hooks.on_repeat;
            if (hook) {
                hook();
            }
        }
    }

    std::chrono::steady_clock::time_point wait(signal_hooks chosen)
    {
        const absl::MutexLock lock(&this->mutex);
        this->hooks = std::move(chosen);
        this->has_hooks = true;
        this->mutex.Await(absl::Condition(this, &receiver::is_stopped));
        return *this->stopped_at;
    }

private:
    [[nodiscard]] bool has_due_hook() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        return this->has_hooks && (this->reload_due || this->repeats_due > 0);
    }

    [[nodiscard]] bool is_stopped() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        return this->stopped_at.has_value();
    }

    absl::Mutex mutex;
    // When the first stop signal was received.
    std::optional<std::chrono::steady_clock::time_point> stopped_at ABSL_GUARDED_BY(mutex);
    int repeats_due ABSL_GUARDED_BY(mutex) = 0;
    bool reload_due ABSL_GUARDED_BY(mutex) = false;
    bool has_hooks ABSL_GUARDED_BY(mutex) = false;
    // Constant once `has_hooks` is set.
    signal_hooks hooks;
};

shutdown_signal::shutdown_signal(std::shared_ptr<receiver> started) : signals(std::move(started)) {}

shutdown_signal shutdown_signal::install()
{
    const sigset_t blocked = handled_signals();
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
    auto shared = std::make_shared<receiver>();
    std::thread([shared] { shared->receive(); }).detach();
    std::thread([shared] { shared->call_hooks(); }).detach();
    return shutdown_signal(std::move(shared));
}

std::chrono::steady_clock::time_point shutdown_signal::wait(signal_hooks hooks)
{
    return this->signals->wait(std::move(hooks));
}

} // namespace sardinestream
