#include "sardinestream/testing/engine_batch.h"

#include "sardinestream/base/digest.h"

namespace sardinestream::testing {
namespace {

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t block_bytes = 64;
constexpr absl::Duration cancel_check_interval = absl::Milliseconds(10);

} // namespace

engine_slot::~engine_slot()
{
    this->owner->give_back();
}

std::unique_ptr<engine_slot> engine_batch::wait_for_slot(int priority,
                                                         const std::function<bool()>& is_cancelled)
{
    const absl::MutexLock lock(&this->mutex);
    const std::pair<int, std::uint64_t> place{priority, this->next_ticket++};
    this->waiting.insert(place);
    const auto is_next = [this, place] {
        return this->running < this->options.slots && *this->waiting.begin() == place;
    };
    bool cancelled = false;
    while (!cancelled &&
           !this->mutex.AwaitWithTimeout(absl::Condition(&is_next), cancel_check_interval)) {
        cancelled = is_cancelled();
    }
    this->waiting.erase(place);
    if (cancelled) {
        return nullptr;
    }
    ++this->running;
    return std::make_unique<engine_slot>(this);
}

void engine_batch::give_back()
{
    const absl::MutexLock lock(&this->mutex);
    --this->running;
}

absl::Duration engine_batch::prefill_time(absl::string_view prompt)
{
    const absl::MutexLock lock(&this->mutex);
    std::size_t cached_bytes = 0;
    std::uint64_t prefix = 0;
    for (std::size_t begin = 0; begin + block_bytes <= prompt.size(); begin += block_bytes) {
        prefix = stable_hash(prompt.substr(0, begin + block_bytes));
        if (const auto found = this->blocks.find(prefix); found != this->blocks.end()) {
            cached_bytes = begin + block_bytes;
            this->recent_blocks.splice(this->recent_blocks.begin(), this->recent_blocks,
                                       found->second);
            continue;
        }
        this->recent_blocks.push_front(prefix);
        this->blocks[prefix] = this->recent_blocks.begin();
    }
    while (this->blocks.size() > this->options.cached_blocks) {
        this->blocks.erase(this->recent_blocks.back());
        this->recent_blocks.pop_back();
    }
    this->prompt_tokens += prompt.size() / bytes_per_token;
    this->cached_prompt_tokens += cached_bytes / bytes_per_token;
    const std::size_t tokens = (prompt.size() - cached_bytes) / bytes_per_token;
    return this->options.prefill_time * static_cast<double>(tokens) / this->speed;
}

absl::Duration engine_batch::token_time() const
{
    const absl::MutexLock lock(&this->mutex);
    const double growth = 1.0 + this->options.batch_growth * std::max(0, this->running - 1);
    return this->options.token_time * growth / this->speed;
}

void engine_batch::set_speed(double factor)
{
    const absl::MutexLock lock(&this->mutex);
    this->speed = factor;
}

batch_load engine_batch::load() const
{
    const absl::MutexLock lock(&this->mutex);
    return {.running = this->running,
            .waiting = static_cast<int>(this->waiting.size()),
            .prompt_tokens = this->prompt_tokens,
            .cached_prompt_tokens = this->cached_prompt_tokens};
}

} // namespace sardinestream::testing
