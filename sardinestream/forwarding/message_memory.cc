#include "sardinestream/forwarding/message_memory.h"

namespace sardinestream {
namespace {

// Messages up to this size are not counted against the limit. The number of connections bounds
// them.
constexpr std::size_t uncounted_bytes = 16 << 10;

} // namespace

bool message_memory_reservation::resize(std::size_t bytes)
{
    const std::size_t counted = bytes <= uncounted_bytes ? 0 : bytes;
    if (counted <= this->own_bytes) {
        this->memory.reserved_bytes -= this->own_bytes - counted;
        this->own_bytes = counted;
        return true;
    }
    const std::size_t more = counted - this->own_bytes;
    if (this->memory.reserved_bytes.fetch_add(more) + more > this->memory.max_bytes) {
        this->memory.reserved_bytes -= more;
        return false;
    }
    this->own_bytes = counted;
    return true;
}

} // namespace sardinestream
