#include "http1/read_ahead_buffer.h"

#include <algorithm>
#include <utility>

#include "http1/client_limits.h"

namespace streampick::http1 {
namespace {

// An empty buffer with a larger capacity, in bytes, releases its memory.
constexpr std::size_t kMaxKeptCapacity = 64;
constexpr std::size_t kMaxPieces = 64;

}  // namespace

void ReadAheadBuffer::assign(std::string_view bytes, Time now) {
  bytes_.clear();
  pieces_.clear();
  append(bytes, now);
}

void ReadAheadBuffer::append(std::string_view bytes, Time now) {
  if (bytes.empty()) {
    return;
  }
  bytes_ += bytes;
  if (pieces_.size() < kMaxPieces) {
    pieces_.push_back({.size = bytes.size(), .arrived_at = now});
  } else {
    pieces_.back().size += bytes.size();
  }
}

Time ReadAheadBuffer::arrived_at(std::size_t count) const {
  auto piece = pieces_.begin();
  while (count > piece->size) {
    count -= piece->size;
    ++piece;
  }
  return piece->arrived_at;
}

void ReadAheadBuffer::consume(std::size_t count) {
  bytes_.erase(0, count);
  auto piece = pieces_.begin();
  while (piece != pieces_.end() && piece->size <= count) {
    count -= piece->size;
    ++piece;
  }
  if (piece != pieces_.end()) {
    piece->size -= count;
  }
  pieces_.erase(pieces_.begin(), piece);
}

bool ReadAheadBuffer::append_pipelined(std::string_view bytes, Time now, net::MemoryBudget& body_memory) {
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
  append(bytes, now);
  return true;
}

void ReadAheadBuffer::discard(std::string_view bytes) {
  has_overflowed_ = true;
  discarded_ += bytes.size();
}

void ReadAheadBuffer::release_unused() {
  if (bytes_.size() <= kMaxReadAhead) {
    reservation_ = {};
  }
  if (bytes_.empty() && bytes_.capacity() > kMaxKeptCapacity) {
    std::string().swap(bytes_);
  }
  if (pieces_.empty()) {
    std::vector<Piece>().swap(pieces_);
  }
}

void ReadAheadBuffer::clear() {
  std::string().swap(bytes_);
  std::vector<Piece>().swap(pieces_);
  reservation_ = {};
}

}  // namespace streampick::http1
