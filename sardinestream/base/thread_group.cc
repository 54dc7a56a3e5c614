#include "sardinestream/base/thread_group.h"

#include <system_error>
#include <thread>
#include <utility>

namespace sardinestream {

thread_group::~thread_group()
{
    this->wait_until_empty(absl::InfiniteFuture());
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

bool thread_group::wait_until_empty(absl::Time deadline)
{
    const absl::MutexLock lock(&this->mutex);
    return this->mutex.AwaitWithDeadline(
        absl::Condition(
            +[](int* count) { return *count == 0; }, &this->running),
        deadline);
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
