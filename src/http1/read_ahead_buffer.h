/// \file
/// Bytes received from one client and not parsed yet, among them requests that were pipelined after the one
/// in progress.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "engine/message.h"
#include "net/memory_budget.h"

namespace streampick::http1 {

class ReadAheadBuffer {
 public:
  [[nodiscard]] bool empty() const { return bytes_.empty(); }
  [[nodiscard]] std::size_t size() const { return bytes_.size(); }
  [[nodiscard]] std::string_view bytes() const { return bytes_; }

  void assign(std::string_view bytes, Time now);
  void append(std::string_view bytes, Time now);
  /// Appends bytes that arrived while a request is processed. The buffer holds kMaxReadAhead bytes, or
  /// kMaxReservedReadAhead if memory can be reserved. Beyond the limit it overflows permanently: these bytes
  /// and all later ones are discarded. Returns whether the bytes were kept.
  bool append_pipelined(std::string_view bytes, Time now, net::MemoryBudget& body_memory);
  /// Overflows: these bytes and all later ones are discarded.
  void discard(std::string_view bytes);
  /// When the last of the first `count` bytes arrived, or a little earlier: beyond a number of pieces, later
  /// ones count as arrived with the one before. Must not be called for an empty buffer.
  [[nodiscard]] Time arrived_at(std::size_t count) const;
  void consume(std::size_t count);
  /// Releases the reservation and the memory that the remaining bytes do not need.
  void release_unused();
  void clear();

  [[nodiscard]] bool has_overflowed() const { return has_overflowed_; }
  [[nodiscard]] std::size_t discarded() const { return discarded_; }

 private:
  /// Bytes that arrived together.
  struct Piece {
    std::size_t size = 0;
    Time arrived_at = 0;
  };

  std::string bytes_;
  std::vector<Piece> pieces_;              // of bytes_, in the order of their arrival
  engine::MemoryReservation reservation_;  // held while more than kMaxReadAhead bytes may be kept
  std::size_t discarded_ = 0;
  bool has_overflowed_ = false;
};

}  // namespace streampick::http1
