#include "sardinestream/base/allocator.h"

#include <malloc.h>

#include "sardinestream/base/log.h"

namespace sardinestream {
namespace {

constexpr int largest_heap_block_bytes = 128 << 10;
constexpr int max_retained_bytes = 1 << 20;
constexpr int max_heaps = 2;

} // namespace

void limit_retained_memory()
{
    if (mallopt(M_MMAP_THRESHOLD, largest_heap_block_bytes) == 0 ||
        mallopt(M_TRIM_THRESHOLD, max_retained_bytes) == 0 ||
        mallopt(M_ARENA_MAX, max_heaps) == 0) {
        log_event("allocator_not_limited", {}, log_level::warning);
    }
}

} // namespace sardinestream
