#include "http1/read_ahead_buffer.h"

#include <utility>

#include "http1/client_limits.h"

namespace streampick::http1 {
namespace {

// An empty buffer with a larger capacity, in bytes, releases its memory.
constexpr std::size_t kMaxKeptCapacity = 64;

}  // namespace

bool ReadAheadBuffer::append_pipelined(std::string_view bytes, net::MemoryBudget& body_memory) {
  const std::size_t total = bytes_.size() + bytes.size();
  const bool needs_reservation = total > kMaxReadAhead && total <= kMaxReservedReadAhead && !reservation_;
  if (!has_overflowed_ && needs_reservation) {
    if (auto reservation = body_memory.reserve(kMaxReservedReadAhead)) {
      reservation_ = std::move(*reservation);
    }
  }
  has_overflowed_ = has_overflowed_ || total > (reservation_ ? kMaxReservedReadAhead : kMaxReadAhead);
  if (has_overflowed_) {
    discarded_ += bytes.size();
    return false;
  }
  bytes_ += bytes;
  return true;
}

void ReadAheadBuffer::release_unused() {
  if (bytes_.size() <= kMaxReadAhead) {
    reservation_ = {};
  }
  if (bytes_.empty() && bytes_.capacity() > kMaxKeptCapacity) {
    std::string().swap(bytes_);
  }
}

void ReadAheadBuffer::clear() {
  std::string().swap(bytes_);
  reservation_ = {};
}

}  // namespace streampick::http1
