#include "sardinestream/base/thread_group.h"

#include <algorithm>
#include <exception>
#include <thread>
#include <utility>

namespace sardinestream {
namespace {

// How often a wait with a deadline looks. absl::Mutex is no help there: its waits follow the time
// of day, which may jump.
constexpr std::chrono::milliseconds poll_interval{10};

void join_all(std::list<std::thread> threads)
{
    for (std::thread& thread : threads) {
        // Only a thread that ends its own group meets itself; what detaches itself has not ended.
        if (thread.get_id() == std::this_thread::get_id()) {
            thread.detach();
            continue;
        }
        thread.join();
    }
}

} // namespace

thread_group::~thread_group()
{
    this->wait_until_empty();
    thread_list last;
    {
        const absl::MutexLock lock(&this->mutex);
        last.swap(this->finished);
    }
    join_all(std::move(last));
}

bool thread_group::spawn(std::function<void()> work)
{
    const absl::MutexLock lock(&this->mutex);
    const auto self = this->running.emplace(this->running.end());
    try {
        *self = std::thread([this, self, work = std::move(work)] {
            work();
            this->finish(self);
        });
    }
    catch (const std::exception&) {
        this->running.erase(self);
        return false;
    }
    return true;
}

void thread_group::finish(thread_list::iterator self)
{
    thread_list earlier;
    {
        const absl::MutexLock lock(&this->mutex);
        earlier.swap(this->finished);
        this->finished.splice(this->finished.end(), this->running, self);
    }
    join_all(std::move(earlier));
}

void thread_group::wait_until_empty()
{
    const absl::MutexLock lock(&this->mutex);
    this->mutex.Await(absl::Condition(
        +[](thread_list* threads) { return threads->empty(); }, &this->running));
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
    return static_cast<int>(this->running.size());
}

} // namespace sardinestream
