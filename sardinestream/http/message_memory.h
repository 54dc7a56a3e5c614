// Limits the total memory of the messages that a process holds: bodies of requests, responses that
// are buffered before they are relayed, and answers to the process's own calls.
//
//     message_memory_reservation reservation(memory, server.id);
//     if (!reservation.resize(buffer.capacity() + more, deadline)) { ... }
//     buffer.reserve(...);
//     reservation.finish();  // the message has arrived completely
//
// Memory is reserved before it is allocated. When the limit is reached, messages that are still
// arriving yield to others: first those of the sender whose messages have occupied the most memory
// for the longest time, so that a sender of endless bytes is the one to fail. Who reads a message
// looks at `has_yielded` every `yield_check_interval`, or with the next bytes; others do not rely
// on it and have further messages yield. A message that has arrived completely never yields. Small
// messages are always accepted: the number of connections bounds them. Thread-safe; a reservation
// belongs to one thread.

#ifndef SARDINESTREAM_HTTP_MESSAGE_MEMORY_H_
#define SARDINESTREAM_HTTP_MESSAGE_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

inline constexpr std::chrono::milliseconds yield_check_interval{100};

class message_memory_reservation;

class message_memory {
public:
    // The unfinished messages of one sender take at most `sender_bytes`.
    message_memory(std::size_t bytes, std::size_t sender_bytes)
        : max_bytes(bytes), max_sender_bytes(sender_bytes)
    {
    }
    explicit message_memory(std::size_t bytes) : message_memory(bytes, bytes) {}

    // Returns the sum of all reservations.
    [[nodiscard]] std::size_t reserved() const;

private:
    friend class message_memory_reservation;
    // Bytes held, multiplied by how long, in byte-seconds.
    using occupancy = double;

    // The memory of one sender's unfinished messages.
    struct sender_use {
        std::size_t bytes = 0;
        std::vector<message_memory_reservation*> messages;
    };

    [[nodiscard]] bool fits(const sender_use* sender, std::size_t more) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the sender that is the first to yield, or null if no message can yield.
    [[nodiscard]] const sender_use* first_to_yield(steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Makes the message of `sender` yield that has occupied the most.
    void make_yield(const sender_use& sender, steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    static occupancy occupancy_of(const message_memory_reservation& message, steady_time now);
    static occupancy occupancy_of(const sender_use& sender, steady_time now);

    const std::size_t max_bytes;
    const std::size_t max_sender_bytes;
    mutable absl::Mutex mutex;
    absl::CondVar released;
    // Sum of `own_bytes` of all reservations; at most max_bytes.
    std::size_t reserved_bytes ABSL_GUARDED_BY(mutex) = 0;
    // Sum of `own_bytes` of the reservations that have yielded and not been released yet.
    std::size_t yielding_bytes ABSL_GUARDED_BY(mutex) = 0;
    // Unfinished messages that hold memory and have not yielded, by sender.
    std::map<std::string, sender_use, std::less<>> senders ABSL_GUARDED_BY(mutex);
};

// The memory reserved for one message; released by the destructor. Must live as long as the
// message.
class message_memory_reservation {
public:
    // For a message that never yields.
    explicit message_memory_reservation(message_memory& shared) : memory(shared), finished(true) {}
    // For a message of `from` that is still arriving.
    message_memory_reservation(message_memory& shared, std::string from)
        : memory(shared), sender(std::move(from))
    {
    }
    ~message_memory_reservation();
    message_memory_reservation(const message_memory_reservation&) = delete;
    message_memory_reservation& operator=(const message_memory_reservation&) = delete;

    // Changes the reservation to `bytes`; waits for memory up to `deadline` if there is none.
    // Returns false, and changes nothing, if there is no memory by then or the message has to
    // yield. After it has yielded, it must be discarded.
    [[nodiscard]] bool resize(std::size_t bytes, steady_time deadline);
    // The same without waiting.
    [[nodiscard]] bool resize(std::size_t bytes) { return this->resize(bytes, steady_time::min()); }

    // Records that the message has arrived completely. Returns false if it has yielded before.
    [[nodiscard]] bool finish();

    // Returns whether the message has to be discarded, because others need its memory.
    [[nodiscard]] bool has_yielded() const { return this->yielded; }

    // Returns whether the message is counted against the limit.
    [[nodiscard]] bool holds_memory() const { return this->own_bytes > 0; }

private:
    friend class message_memory;
    void apply(std::size_t bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->memory.mutex);
    // Enters the message into `memory.senders`, or takes it out.
    void join_sender() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->memory.mutex);
    void leave_sender() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->memory.mutex);
    [[nodiscard]] message_memory::sender_use* own_sender() const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->memory.mutex);

    message_memory& memory;
    const std::string sender;
    // Share of this reservation in `memory.reserved_bytes`.
    std::size_t own_bytes = 0;
    // Whether `memory.senders` holds this message.
    bool joined = false;
    bool finished = false;
    // Written with `memory.mutex` held.
    std::atomic<bool> yielded = false;
    // When `own_bytes` last became positive.
    steady_time since{};
};

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_MESSAGE_MEMORY_H_
