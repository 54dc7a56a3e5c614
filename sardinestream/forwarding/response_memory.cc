#include "sardinestream/forwarding/response_memory.h"

namespace sardinestream {
namespace {

// Responses up to this size are not counted against the limit.
constexpr std::size_t uncounted_bytes = 64 << 10;

} // namespace

bool response_memory_reservation::grow_to(std::size_t bytes)
{
    if (bytes <= uncounted_bytes || bytes <= this->own_bytes) {
        return true;
    }
    const std::size_t more = bytes - this->own_bytes;
    if (this->memory.reserved_bytes.fetch_add(more) + more > this->memory.max_bytes) {
        this->memory.reserved_bytes -= more;
        return false;
    }
    this->own_bytes = bytes;
    return true;
}

} // namespace sardinestream
