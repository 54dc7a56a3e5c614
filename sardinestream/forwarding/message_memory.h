// Limits the total memory of the messages that the connections of a process hold: bodies of
// requests, and responses that are buffered before they are relayed.
//
//     message_memory_reservation reservation(memory);
//     if (!reservation.resize(body.capacity())) { ... }
//
// Small messages are always accepted. Without the limit, many large requests at once or a few
// servers that send endless responses would exhaust the memory of the process. Thread-safe; a
// reservation belongs to one thread.

#ifndef SARDINESTREAM_FORWARDING_MESSAGE_MEMORY_H_
#define SARDINESTREAM_FORWARDING_MESSAGE_MEMORY_H_

#include <atomic>
#include <cstddef>

namespace sardinestream {

class message_memory {
public:
    explicit message_memory(std::size_t bytes) : max_bytes(bytes) {}

private:
    friend class message_memory_reservation;
    const std::size_t max_bytes;
    // Sum of `own_bytes` of all reservations; at most max_bytes.
    std::atomic<std::size_t> reserved_bytes = 0;
};

// The memory reserved for one message; released by the destructor. Must live as long as the
// message.
class message_memory_reservation {
public:
    explicit message_memory_reservation(message_memory& shared) : memory(shared) {}
    ~message_memory_reservation() { this->memory.reserved_bytes -= this->own_bytes; }
    message_memory_reservation(const message_memory_reservation&) = delete;
    message_memory_reservation& operator=(const message_memory_reservation&) = delete;

    // Changes the reservation to `bytes`. Returns false, and changes nothing, if all reservations
    // together would exceed the limit.
    [[nodiscard]] bool resize(std::size_t bytes);

private:
    message_memory& memory;
    // Share of this reservation in `memory.reserved_bytes`.
    std::size_t own_bytes = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_MESSAGE_MEMORY_H_
