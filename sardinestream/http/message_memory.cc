#include "sardinestream/http/message_memory.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/time/time.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Messages up to this size are not counted against the limit.
constexpr std::size_t uncounted_bytes = 16 << 10;
// The messages of a sender wait for each other for this time before one of them yields; sound ones
// complete and release their memory meanwhile.
constexpr milliseconds patience{200};
constexpr milliseconds longest_wait{50};
// A sender whose messages take less than this share yields to others only after `patience`, too:
// little would be gained.
constexpr std::size_t small_sender_divisor = 16;

} // namespace

std::size_t message_memory::reserved() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->reserved_bytes;
}

bool message_memory::fits(const sender_use* sender, std::size_t more) const
{
    const std::size_t sender_bytes = sender == nullptr ? 0 : sender->bytes;
    return this->reserved_bytes + more <= this->max_bytes &&
           sender_bytes + more <= this->max_sender_bytes;
}

message_memory::occupancy message_memory::occupancy_of(const message_memory_reservation& message,
                                                       steady_time now)
{
    const std::chrono::duration<double> held = now - message.since;
    return static_cast<double>(message.own_bytes) * held.count();
}

message_memory::occupancy message_memory::occupancy_of(const sender_use& sender, steady_time now)
{
    occupancy sum = 0;
    for (const message_memory_reservation* const message : sender.messages) {
        sum += occupancy_of(*message, now);
    }
    return sum;
}

const message_memory::sender_use* message_memory::first_to_yield(steady_time now) const
{
    const sender_use* first = nullptr;
    occupancy most = -1;
    for (const auto& [name, sender] : this->senders) {
        const occupancy occupied = occupancy_of(sender, now);
        if (occupied > most) {
            first = &sender;
            most = occupied;
        }
    }
    return first;
}

void message_memory::make_yield(const sender_use& sender, steady_time now)
{
    message_memory_reservation* const chosen = *std::max_element(
        sender.messages.begin(), sender.messages.end(), [now](const auto* one, const auto* other) {
            return occupancy_of(*one, now) < occupancy_of(*other, now);
        });
    count("sardine_messages_yielded_total");
    log_event("message_yields", {{"sender", chosen->sender}, {"bytes", chosen->own_bytes}});
    this->yielding_bytes += chosen->own_bytes;
    chosen->leave_sender();
    chosen->yielded = true;
    this->released.SignalAll();
}

message_memory_reservation::~message_memory_reservation()
{
    if (this->own_bytes > 0) {
        const absl::MutexLock lock(&this->memory.mutex);
        this->apply(0);
    }
}

message_memory::sender_use* message_memory_reservation::own_sender() const
{
    const auto found = this->memory.senders.find(this->sender);
    return this->finished || found == this->memory.senders.end() ? nullptr : &found->second;
}

void message_memory_reservation::join_sender()
{
    message_memory::sender_use& use = this->memory.senders[this->sender];
    use.bytes += this->own_bytes;
    use.messages.push_back(this);
    this->joined = true;
}

void message_memory_reservation::leave_sender()
{
    const auto found = this->memory.senders.find(this->sender);
    found->second.bytes -= this->own_bytes;
    std::erase(found->second.messages, this);
    if (found->second.messages.empty()) {
        this->memory.senders.erase(found);
    }
    this->joined = false;
}

void message_memory_reservation::apply(std::size_t bytes)
{
    const bool shrinks = bytes < this->own_bytes;
    if (this->joined) {
        this->leave_sender();
    }
    if (this->yielded) {
        this->memory.yielding_bytes += bytes;
        this->memory.yielding_bytes -= this->own_bytes;
    }
    if (this->own_bytes == 0) {
        this->since = steady_clock::now();
    }
    this->memory.reserved_bytes += bytes;
    this->memory.reserved_bytes -= this->own_bytes;
    this->own_bytes = bytes;
    if (!this->finished && !this->yielded && bytes > 0) {
        this->join_sender();
    }
    if (shrinks) {
        this->memory.released.SignalAll();
    }
}

bool message_memory_reservation::resize(std::size_t bytes, steady_time deadline)
{
    const std::size_t counted = bytes <= uncounted_bytes ? 0 : bytes;
    if (counted == this->own_bytes) {
        return !this->yielded;
    }
    const absl::MutexLock lock(&this->memory.mutex);
    if (counted < this->own_bytes) {
        this->apply(counted);
        return !this->yielded;
    }
    const std::size_t more = counted - this->own_bytes;
    const steady_time begun = steady_clock::now();
    steady_time last_yield = begun;
    while (!this->yielded) {
        const message_memory::sender_use* const own = this->own_sender();
        if (this->memory.fits(own, more)) {
            this->apply(counted);
            return true;
        }
        const steady_time now = steady_clock::now();
        // What yields and has not been released yet may be enough, unless it is not released soon.
        if (this->memory.yielding_bytes < more || now - last_yield >= patience) {
            const bool own_share_full =
                own != nullptr && own->bytes + more > this->memory.max_sender_bytes;
            const message_memory::sender_use* const first =
                own_share_full ? own : this->memory.first_to_yield(now);
            const bool at_once = first != nullptr && first != own &&
                                 first->bytes >= this->memory.max_bytes / small_sender_divisor;
            if (first != nullptr && (at_once || now - begun >= patience)) {
                this->memory.make_yield(*first, now);
                last_yield = now;
                continue;
            }
        }
        if (now >= deadline) {
            return false;
        }
        const auto wait = std::min<steady_clock::duration>(deadline - now, longest_wait);
        this->memory.released.WaitWithTimeout(&this->memory.mutex, absl::FromChrono(wait));
    }
    return false;
}

bool message_memory_reservation::finish()
{
    if (this->own_bytes == 0) {
        this->finished = true;
        return !this->yielded;
    }
    const absl::MutexLock lock(&this->memory.mutex);
    if (this->yielded) {
        return false;
    }
    if (this->joined) {
        this->leave_sender();
    }
    this->finished = true;
    return true;
}

} // namespace sardinestream
