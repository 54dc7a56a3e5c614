#include "sardinestream/base/thread_group.h"

#include <algorithm>
#include <system_error>
#include <thread>
#include <utility>

namespace sardinestream {
namespace {

// How often a wait with a deadline looks. absl::Mutex is no help there: its waits follow the time
// of day, which may jump.
constexpr std::chrono::milliseconds poll_interval{10};

} // namespace

thread_group::~thread_group()
{
    this->wait_until_empty();
}

bool thread_group::spawn(std::function<void()> work)
{
    {
        const absl::MutexLock lock(&this->mutex);
        ++this->running;
    }
    try {
        std::thread([this, work = std::move(work)] {
            work();
            this->finish_one();
        }).detach();
    }
    catch (const std::system_error&) {
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
