#include "sardinestream/forwarding/answer_memory.h"

namespace sardinestream {
namespace {

// Answers up to this size are not counted.
constexpr std::size_t free_bytes = 64 << 10;

} // namespace

bool answer_hold::grow_to(std::size_t bytes)
{
    if (bytes <= free_bytes || bytes <= this->own) {
        return true;
    }
    const std::size_t more = bytes - this->own;
    if (this->memory.held.fetch_add(more) + more > this->memory.most) {
        this->memory.held -= more;
        return false;
    }
    this->own = bytes;
    return true;
}

} // namespace sardinestream
