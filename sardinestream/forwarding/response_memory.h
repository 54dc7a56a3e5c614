// Limits the total memory of responses that the exchanges of a process buffer before relaying them.
//
//     response_memory_reservation reservation(memory);
//     if (!reservation.grow_to(body.size())) { ... }
//
// Small responses are always accepted. Without the limit, a few servers that send endless responses
// would exhaust the memory of the process. Thread-safe; a reservation belongs to one thread.

#ifndef SARDINESTREAM_FORWARDING_RESPONSE_MEMORY_H_
#define SARDINESTREAM_FORWARDING_RESPONSE_MEMORY_H_

#include <atomic>
#include <cstddef>

namespace sardinestream {

class response_memory {
public:
    explicit response_memory(std::size_t bytes) : max_bytes(bytes) {}

private:
    friend class response_memory_reservation;
    const std::size_t max_bytes;
    std::atomic<std::size_t> reserved_bytes = 0;
};

// The memory reserved for one response; released by the destructor.
class response_memory_reservation {
public:
    explicit response_memory_reservation(response_memory& shared) : memory(shared) {}
    ~response_memory_reservation() { this->memory.reserved_bytes -= this->own_bytes; }
    response_memory_reservation(const response_memory_reservation&) = delete;
    response_memory_reservation& operator=(const response_memory_reservation&) = delete;

    // Raises the reservation to `bytes`. Returns false, and reserves nothing more, if all
    // reservations together would exceed the limit.
    [[nodiscard]] bool grow_to(std::size_t bytes);

private:
    response_memory& memory;
    // Share of this reservation in `memory.reserved_bytes`.
    std::size_t own_bytes = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_RESPONSE_MEMORY_H_
