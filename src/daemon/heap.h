#pragma once

/// @file
/// Settings of the process's heap.

#include <malloc.h>

namespace goldcrestwood {

/// Lets blocks of 128 KiB or more, such as the bodies of requests, return to the system as soon as they are freed. By default glibc raises
/// that size to the largest block freed so far, and each thread's part of the heap then keeps what its bodies took while they grew.
inline void returnFreedBlocks()
{
    constexpr int separateBlockBytes = 128 << 10;
    ::mallopt(M_MMAP_THRESHOLD, separateBlockBytes);
}

} // namespace goldcrestwood
