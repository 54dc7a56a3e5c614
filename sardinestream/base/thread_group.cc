#include "sardinestream/base/thread_group.h"

#include <algorithm>
#include <memory>
#include <thread>
#include <utility>

#include <pthread.h>

namespace sardinestream {
namespace {

// How often a wait with a deadline looks. absl::Mutex is no help there: its waits follow the time
// of day, which may jump.
constexpr std::chrono::milliseconds poll_interval{10};

using thread_work = std::function<void()>;

// Runs the work on its thread. An exception of it ends the process.
void* run_work(void* owned) noexcept
{
    const std::unique_ptr<thread_work> work(static_cast<thread_work*>(owned));
    (*work)();
    return nullptr;
}

bool start_detached(std::unique_ptr<thread_work> work)
{
    pthread_attr_t attributes{};
    if (::pthread_attr_init(&attributes) != 0) {
        return false;
    }
    pthread_t started{};
    const bool has_started =
        ::pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED) == 0 &&
        ::pthread_create(&started, &attributes, run_work, work.get()) == 0;
    ::pthread_attr_destroy(&attributes);
    if (has_started) {
        // The thread owns it.
        (void)work.release();
    }
    return has_started;
}

} // namespace

thread_group::~thread_group()
{
    this->wait_until_empty();
}

bool thread_group::spawn(std::function<void()> work)
{
    auto counted = std::make_unique<thread_work>([this, work = std::move(work)] {
        work();
        this->finish_one();
    });
    {
        const absl::MutexLock lock(&this->mutex);
        ++this->running;
    }
    if (!start_detached(std::move(counted))) {
        this->finish_one();
        return false;
    }
    return true;
}

void thread_group::wait_until_empty()
{
    const absl::MutexLock lock(&this->mutex);
    this->mutex.Await(absl::Condition(
        +[](int* count) { return *count == 0; }, &this->running));
}

bool thread_group::wait_until_empty(std::chrono::steady_clock::time_point deadline)
{
    while (this->size() > 0) {
        const auto left = deadline - std::chrono::steady_clock::now();
        if (left <= std::chrono::steady_clock::duration::zero()) {
            return false;
        }
        std::this_thread::sleep_for(
            std::min<std::chrono::steady_clock::duration>(left, poll_interval));
    }
    return true;
}

int thread_group::size() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->running;
}

void thread_group::finish_one()
{
    const absl::MutexLock lock(&this->mutex);
    --this->running;
}

} // namespace sardinestream
