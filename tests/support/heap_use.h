/// \file
/// How much memory this process has allocated.
#pragma once

#include <malloc.h>

#include <cstddef>

#if defined(__SANITIZE_ADDRESS__)
// Of the sanitizer's runtime; its header is not part of every compiler's package.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace streampick::test {

/// Bytes that are allocated now.
inline std::size_t heap_use() {
#if defined(__SANITIZE_ADDRESS__)
  return __sanitizer_get_current_allocated_bytes();
#else
  const struct mallinfo2 use = ::mallinfo2();
  return use.uordblks + use.hblkhd;
#endif
}

}  // namespace streampick::test
