// Sets up the C library's allocator for a process whose memory is limited.

#ifndef SARDINESTREAM_BASE_ALLOCATOR_H_
#define SARDINESTREAM_BASE_ALLOCATOR_H_

namespace sardinestream {

// Has large blocks returned to the system as soon as they are freed, and keeps the number of heaps
// low: by default the allocator keeps ever larger blocks once one has been freed, in a heap for
// nearly every thread. Call it before the process starts threads.
void limit_retained_memory();

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_ALLOCATOR_H_
