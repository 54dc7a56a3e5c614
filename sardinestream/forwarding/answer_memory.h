// Bounds what all exchanges of a process together hold of answers that are not passed on yet.
//
//     answer_hold hold(memory);
//     if (!hold.grow_to(body.size())) { ... }
//
// Small answers always fit; without the bound, a few servers that send without end would take the
// process past its memory. Thread-safe; a hold belongs to one thread.

#ifndef SARDINESTREAM_FORWARDING_ANSWER_MEMORY_H_
#define SARDINESTREAM_FORWARDING_ANSWER_MEMORY_H_

#include <atomic>
#include <cstddef>

namespace sardinestream {

class answer_memory {
public:
    explicit answer_memory(std::size_t bytes) : most(bytes) {}

private:
    friend class answer_hold;
    const std::size_t most;
    std::atomic<std::size_t> held = 0;
};

// The part of one answer. Gives it back at its end.
class answer_hold {
public:
    explicit answer_hold(answer_memory& shared) : memory(shared) {}
    ~answer_hold() { this->memory.held -= this->own; }
    answer_hold(const answer_hold&) = delete;
    answer_hold& operator=(const answer_hold&) = delete;

    // Returns false, and takes nothing more, where the answers together would be too large.
    [[nodiscard]] bool grow_to(std::size_t bytes);

private:
    answer_memory& memory;
    // Of this answer in `memory.held`.
    std::size_t own = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_ANSWER_MEMORY_H_
